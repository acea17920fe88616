#pragma once

#include <services/daemon/coroutine.h>

namespace catkinlanding::daemon {

enum class socket_state { open_without_input, has_input, closed };

/// The state of a connection, found without reading from it or waiting.
[[nodiscard]] socket_state state_of(tcp_socket& socket);

} // namespace catkinlanding::daemon
