#include <services/daemon/keep_alive.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>

namespace catkinlanding::daemon {

namespace {

namespace socket_option = boost::asio::detail::socket_option;

template<int Name>
using tcp_option = socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

void set_keep_alive(tcp_socket& socket, keep_alive_options const& options) {
  boost::system::error_code error;
  auto const set = [&](auto const& option) {
    if (!error) {
      socket.set_option(option, error);
    }
  };
  set(boost::asio::socket_base::keep_alive(true));
  set(tcp_option<TCP_KEEPIDLE>(static_cast<int>(options.idle_time.count())));
  set(tcp_option<TCP_KEEPINTVL>(static_cast<int>(options.interval.count())));
  set(tcp_option<TCP_KEEPCNT>(options.max_unanswered));
  if (error) {
    spdlog::warn("peers: can't set the probes of a connection that rests: {}", error.message());
  }
}

} // namespace catkinlanding::daemon
