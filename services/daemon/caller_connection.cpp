#include <services/daemon/caller_connection.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

} // namespace

awaitable<beast::error_code> caller_connection::read_body(request_parser& parser) {
  if (!has_unambiguous_framing(parser)) {
    co_return http::error::bad_content_length;
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> response{http::status::continue_, 11};
    auto const [error, size] = co_await http::async_write(stream, response, completion);
    if (error) {
      co_return error;
    }
  }
  co_return co_await daemon::read_body(stream, buffer, parser);
}

awaitable<void> caller_connection::drain(std::chrono::seconds timeout) {
  constexpr std::size_t max_drained_bytes = 8 * 1024 * 1024;
  beast::error_code ignored;
  stream.socket().shutdown(tcp_socket::shutdown_send, ignored);
  std::array<char, 16 * 1024> discarded{};
  stream.expires_after(timeout);
  for (std::size_t read = 0; read < max_drained_bytes;) {
    auto const [error, size] = co_await stream.async_read_some(asio::buffer(discarded), completion);
    if (error) {
      co_return;
    }
    read += size;
  }
}

} // namespace catkinlanding::daemon
