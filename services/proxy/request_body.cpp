#include <services/daemon/clock.h>
#include <services/proxy/request_body.h>

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace catkinlanding::proxy {

daemon::awaitable<std::optional<request_body_failure>>
read_body(daemon::tcp_stream& stream, daemon::request_buffer& buffer, request_parser& parser) {
  auto const error = co_await daemon::read_body(stream, buffer, parser);
  if (!error) {
    co_return std::nullopt;
  }
  if (error == http::error::body_limit) {
    co_return request_body_failure::too_large;
  }
  if (error == http::error::header_limit) {
    co_return request_body_failure::framing_too_large;
  }
  co_return error == boost::system::errc::not_enough_memory ? request_body_failure::no_memory
                                                            : request_body_failure::connection_lost;
}

daemon::awaitable<void> discard_rest(daemon::tcp_stream& stream, daemon::request_buffer& buffer,
                                     discard_limits limits) {
  boost::system::error_code failed;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, failed);
  buffer.storage().clear();
  auto const end = daemon::now() + limits.max_time;
  std::array<char, 4 * 1024> discarded{};
  for (std::uint64_t bytes = 0; !failed && bytes < limits.max_bytes;) {
    auto const left = end - daemon::now();
    if (left <= base::duration::zero()) {
      break;
    }
    stream.expires_after(std::min(limits.max_pause, left));
    auto const [error, size] =
        co_await stream.async_read_some(boost::asio::buffer(discarded), daemon::completion);
    failed = error;
    bytes += size;
  }
}

} // namespace catkinlanding::proxy
