#include <services/proxy/request_body.h>

#include <boost/beast/http/error.hpp>

namespace catkinlanding::proxy {

namespace {

constexpr std::size_t discard_block_bytes = 16UL * 1024;

} // namespace

daemon::awaitable<std::optional<request_body_failure>> read_body(daemon::tcp_stream& stream,
                                                                 boost::beast::flat_buffer& buffer,
                                                                 request_parser& parser,
                                                                 base::memory_share& memory) {
  auto const error = co_await daemon::read_body(stream, buffer, parser, memory);
  if (!error) {
    co_return std::nullopt;
  }
  if (error == http::error::body_limit) {
    co_return request_body_failure::too_large;
  }
  co_return error == boost::system::errc::not_enough_memory ? request_body_failure::no_memory
                                                            : request_body_failure::connection_lost;
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
