#include <services/daemon/body_reader.h>

#include <boost/beast/http/read.hpp>

namespace catkinlanding::daemon {

namespace {

/// A body of unknown length grows in a buffer of up to twice its size.
constexpr std::size_t growth_factor = 2;

} // namespace

bool reserve_body(request_parser const& parser, base::memory_share& memory) {
  return memory.try_resize(parser.content_length().value_or(0));
}

awaitable<boost::beast::error_code> read_body(tcp_stream& stream, boost::beast::flat_buffer& buffer,
                                              request_parser& parser, base::memory_share& memory) {
  while (!parser.is_done()) {
    auto const [error, size] =
        co_await boost::beast::http::async_read_some(stream, buffer, parser, completion);
    if (error) {
      co_return error;
    }
    auto const bytes = growth_factor * parser.get().body().size();
    if (!parser.content_length() && !memory.try_resize(bytes)) {
      co_return make_error_code(boost::system::errc::not_enough_memory);
    }
  }
  co_return boost::beast::error_code{};
}

} // namespace catkinlanding::daemon
