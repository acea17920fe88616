#include <services/daemon/body_reader.h>

#include <boost/beast/http/read.hpp>

namespace catkinlanding::daemon {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t first_read_bytes = 2048;
/// Reads that follow each other without another turn of the event loop, so that a body takes few
/// turns while there are many other connections.
constexpr int max_reads_per_turn = 16;
/// Bound on the size line of one chunk and on the trailers, as on a header.
constexpr std::size_t max_framing_bytes = 16UL * 1024;
/// Framing that a body of any size may have, and what it may have besides for each of its bytes.
constexpr std::uint64_t min_total_framing = 64ULL * 1024;
constexpr std::uint64_t max_framing_per_byte = 16;

/// Lets the buffer grow after it was too small. Returns why it can't.
awaitable<boost::beast::error_code> grow(request_buffer& buffer, std::size_t max_bytes) {
  auto const result = co_await buffer.grow(max_bytes);
  switch (result) {
  case request_buffer::growth::grown:
    co_return boost::beast::error_code{};
  case request_buffer::growth::too_large:
    co_return http::error::header_limit;
  case request_buffer::growth::no_memory:
    co_return make_error_code(boost::system::errc::not_enough_memory);
  }
  co_return http::error::header_limit;
}

boost::beast::error_code error_of(connections::open_connections::closing_reason reason) {
  using reasons = connections::open_connections::closing_reason;
  return reason == reasons::memory
             ? make_error_code(boost::system::errc::not_enough_memory)
             : boost::beast::error_code(boost::asio::error::operation_aborted);
}

/// Parses what is buffered of a body.
void parse_buffered(request_buffer& buffer, request_parser& parser,
                    boost::beast::error_code& error) {
  auto& storage = buffer.storage();
  while (storage.size() > 0 && !parser.is_done()) {
    storage.consume(parser.put(storage.data(), error));
    if (error == http::error::need_more) {
      error = {};
      return;
    }
    if (error) {
      return;
    }
  }
}

/// Reads what has arrived of a body meanwhile. Returns the number of bytes. A connection that has
/// ended is noticed with the next read.
std::size_t read_waiting(tcp_stream& stream, request_buffer& buffer, request_parser& parser,
                         boost::beast::error_code& error) {
  auto& storage = buffer.storage();
  std::size_t total = 0;
  for (int reads = 0; reads < max_reads_per_turn && !parser.is_done() && !error; ++reads) {
    auto const room = storage.max_size() - storage.size();
    if (room == 0) {
      break;
    }
    boost::system::error_code ended;
    auto const size = stream.socket().read_some(storage.prepare(room), ended);
    storage.commit(size);
    total += size;
    parse_buffered(buffer, parser, error);
    if (size < room) {
      break;
    }
  }
  return total;
}

/// Reads what is there of a body, or waits for more. `bytes_read` counts the bytes on the wire.
awaitable<boost::beast::error_code> read_part(tcp_stream& stream, request_buffer& buffer,
                                              request_parser& parser, std::uint64_t& bytes_read) {
  auto& connection = buffer.connection();
  auto [error, size] = co_await http::async_read_some(stream, buffer.storage(), parser, completion);
  if (connection.closing()) {
    co_return error_of(*connection.closing());
  }
  if (!error) {
    size += read_waiting(stream, buffer, parser, error);
  }
  bytes_read += size;
  connection.note_received(size);
  if (error == http::error::buffer_overflow) {
    co_return co_await grow(buffer, max_framing_bytes);
  }
  if (error) {
    co_return error;
  }
  auto const& body = parser.get().body();
  if (bytes_read > max_bytes_on_wire(body.size())) {
    co_return http::error::header_limit;
  }
  if (!co_await connection.hold_body(body.capacity())) {
    co_return make_error_code(boost::system::errc::not_enough_memory);
  }
  co_return boost::beast::error_code{};
}

} // namespace

boost::beast::http::request<http::string_body> take_request(request_parser& parser) {
  auto message = parser.release();
  http::request<http::string_body> request;
  request.base() = std::move(message.base());
  request.body() = std::move(message.body());
  return request;
}

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
                                                request_parser& parser, header_limits limits) {
  auto& connection = buffer.connection();
  parser.header_limit(limits.max_bytes);
  buffer.shrink();
  if (buffer.storage().size() == 0) {
    stream.expires_after(limits.idle_timeout);
    auto const [error, size] =
        co_await stream.async_read_some(buffer.storage().prepare(first_read_bytes), completion);
    buffer.storage().commit(size);
    if (error) {
      co_return error;
    }
  }
  buffer.note_begun();
  connection.begin(resources::connection_phase::reading);
  stream.expires_after(limits.timeout);
  while (true) {
    auto const [error, size] =
        co_await http::async_read_header(stream, buffer.storage(), parser, completion);
    if (connection.closing()) {
      co_return error_of(*connection.closing());
    }
    if (error != http::error::buffer_overflow) {
      co_return error;
    }
    auto const failure = co_await grow(buffer, limits.max_bytes);
    if (failure) {
      co_return failure;
    }
  }
}

awaitable<boost::beast::error_code> read_body(tcp_stream& stream, request_buffer& buffer,
                                              request_parser& parser) {
  buffer.shrink();
  boost::beast::error_code error;
  std::uint64_t bytes_read = 0;
  while (!error && !parser.is_done()) {
    error = co_await read_part(stream, buffer, parser, bytes_read);
  }
  if (error) {
    // The connection may stay open until its caller has read why.
    std::string().swap(parser.get().body());
    buffer.connection().release_body();
  }
  co_return error;
}

} // namespace catkinlanding::daemon
