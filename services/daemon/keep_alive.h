#pragma once

#include <services/daemon/coroutine.h>

#include <chrono>

namespace catkinlanding::daemon {

/// When the kernel probes a TCP connection on which nothing is sent, and gives it up. A
/// `TCP_USER_TIMEOUT` that is set decides the latter instead of `max_unanswered`.
struct keep_alive_options {
  std::chrono::seconds idle_time{};
  std::chrono::seconds interval{};
  int max_unanswered = 0;
};

void set_keep_alive(tcp_socket& socket, keep_alive_options const& options);

} // namespace catkinlanding::daemon
