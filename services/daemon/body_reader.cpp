#include <services/daemon/body_reader.h>

#include <boost/beast/http/read.hpp>

namespace catkinlanding::daemon {

namespace {

namespace http = boost::beast::http;

/// A body of unknown length grows in a buffer of up to twice its size.
constexpr std::size_t growth_factor = 2;
/// Bound on the size line of one chunk and on the trailers, as on a header.
constexpr std::size_t max_framing_bytes = 16UL * 1024;
/// Framing that a body of any size may have, and what it may have besides for each of its bytes.
constexpr std::uint64_t min_total_framing = 64ULL * 1024;
constexpr std::uint64_t max_framing_per_byte = 16;

/// Lets the buffer grow after it was too small. Returns why it can't.
boost::beast::error_code grow(request_buffer& buffer, std::size_t max_bytes) {
  switch (buffer.grow(max_bytes)) {
  case request_buffer::growth::grown:
    return {};
  case request_buffer::growth::too_large:
    return http::error::header_limit;
  case request_buffer::growth::no_memory:
    return make_error_code(boost::system::errc::not_enough_memory);
  }
  return http::error::header_limit;
}

} // namespace

bool has_unambiguous_framing(request_parser const& parser) {
  auto const& header = parser.get();
  auto const encodings = header.count(http::field::transfer_encoding);
  if (encodings == 0) {
    // The parser takes a list of equal lengths for one length.
    return header.count(http::field::content_length) <= 1 &&
           header[http::field::content_length].find_first_not_of("0123456789") ==
               std::string_view::npos;
  }
  return encodings == 1 && header.count(http::field::content_length) == 0 &&
         header[http::field::transfer_encoding] == "chunked";
}

std::uint64_t max_bytes_on_wire(std::uint64_t body_bytes) {
  return body_bytes + min_total_framing + max_framing_per_byte * body_bytes;
}

awaitable<boost::beast::error_code> read_header(tcp_stream& stream, request_buffer& buffer,
                                                request_parser& parser, std::uint32_t max_bytes) {
  parser.header_limit(max_bytes);
  buffer.shrink();
  while (true) {
    auto const [error, size] =
        co_await http::async_read_header(stream, buffer.storage(), parser, completion);
    if (error != http::error::buffer_overflow) {
      co_return error;
    }
    if (auto const failure = grow(buffer, max_bytes)) {
      co_return failure;
    }
  }
}

bool reserve_body(request_parser const& parser, base::memory_share& memory) {
  return memory.try_resize(parser.content_length().value_or(0));
}

awaitable<boost::beast::error_code> read_body(tcp_stream& stream, request_buffer& buffer,
                                              request_parser& parser, base::memory_share& memory) {
  std::uint64_t bytes_read = 0;
  buffer.shrink();
  while (!parser.is_done()) {
    auto const [error, size] =
        co_await http::async_read_some(stream, buffer.storage(), parser, completion);
    bytes_read += size;
    if (error == http::error::buffer_overflow) {
      if (auto const failure = grow(buffer, max_framing_bytes)) {
        co_return failure;
      }
      continue;
    }
    if (error) {
      co_return error;
    }
    auto const body_bytes = parser.get().body().size();
    if (bytes_read > max_bytes_on_wire(body_bytes)) {
      co_return http::error::header_limit;
    }
    if (!parser.content_length() && !memory.try_resize(growth_factor * body_bytes)) {
      co_return make_error_code(boost::system::errc::not_enough_memory);
    }
  }
  co_return boost::beast::error_code{};
}

} // namespace catkinlanding::daemon
