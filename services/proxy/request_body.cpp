#include <services/proxy/request_body.h>

#include <boost/beast/http/read.hpp>

namespace catkinlanding::proxy {

namespace {

/// A body of unknown length grows in a buffer of up to twice its size.
constexpr std::size_t growth_factor = 2;
constexpr std::size_t discard_block_bytes = 16UL * 1024;

} // namespace

bool reserve_body(request_parser const& parser, base::memory_share& memory) {
  return memory.try_resize(parser.content_length().value_or(0));
}

daemon::awaitable<std::optional<request_body_failure>> read_body(daemon::tcp_stream& stream,
                                                                 boost::beast::flat_buffer& buffer,
                                                                 request_parser& parser,
                                                                 base::memory_share& memory) {
  while (!parser.is_done()) {
    auto const [error, size] =
        co_await http::async_read_some(stream, buffer, parser, daemon::completion);
    if (error) {
      bool const is_too_large = error == http::error::body_limit;
      co_return is_too_large ? request_body_failure::too_large
                             : request_body_failure::connection_lost;
    }
    auto const bytes = growth_factor * parser.get().body().size();
    if (!parser.content_length() && !memory.try_resize(bytes)) {
      co_return request_body_failure::no_memory;
    }
  }
  co_return std::nullopt;
}

daemon::awaitable<void> discard_rest(daemon::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                                     std::chrono::milliseconds max_pause) {
  boost::system::error_code failed;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, failed);
  while (!failed) {
    buffer.clear();
    stream.expires_after(max_pause);
    auto const [error, size] =
        co_await stream.async_read_some(buffer.prepare(discard_block_bytes), daemon::completion);
    failed = error;
  }
}

} // namespace catkinlanding::proxy
