#include <services/proxy/answer_header.h>
#include <services/proxy/answer_reader.h>

#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using daemon::awaitable;
using daemon::completion;

constexpr std::uint32_t max_header_bytes = 32 * 1024;
/// Bytes that each connection may buffer without a share of the memory for answers. No more is
/// buffered after the header, so that longer chunk headers and trailers are malformed.
constexpr std::size_t usual_buffer_bytes = 4UL * 1024;
/// The largest buffer while a header is read.
constexpr std::size_t max_buffer_bytes = 64UL * 1024;
/// The parsed header and its copy that is passed on.
constexpr std::size_t header_copies = 2;
/// Interim answers that are skipped before the answer itself.
constexpr int max_interim_answers = 8;
/// Bound on a body whose header states no length, which otherwise ends only with its connection or
/// its last chunk.
constexpr std::uint64_t max_body_bytes_without_length = 64ULL * 1024 * 1024;

attempt_failure failure_of(boost::system::error_code error) {
  bool const is_connection_lost =
      error.category() != http::make_error_code(http::error{}).category() ||
      error == http::error::end_of_stream || error == http::error::partial_message;
  return is_connection_lost ? attempt_failure::broken : attempt_failure::malformed;
}

} // namespace

answer_reader::answer_reader(upstream_connection& connection, base::memory_budget& memory,
                             bool is_head_request)
    : m_connection(connection), m_header_memory(memory), m_is_head_request(is_head_request) {}

awaitable<std::optional<attempt_failure>> answer_reader::read_header() {
  for (int interim_answers = 0; interim_answers <= max_interim_answers; ++interim_answers) {
    if (auto const failure = co_await read_one_header()) {
      co_return failure;
    }
    if (!is_interim(header().result_int())) {
      co_return account_for_header() ? std::nullopt : std::optional(attempt_failure::malformed);
    }
  }
  co_return attempt_failure::malformed;
}

awaitable<std::optional<attempt_failure>> answer_reader::read_one_header() {
  m_parser.emplace();
  m_parser->header_limit(max_header_bytes);
  m_parser->body_limit(boost::none);
  m_parser->skip(m_is_head_request);
  auto& buffer = m_connection.buffer;
  buffer.max_size(std::max(buffer.size(), usual_buffer_bytes));
  while (true) {
    auto const [error, size] =
        co_await http::async_read_header(m_connection.stream, buffer, *m_parser, completion);
    if (!error) {
      co_return std::nullopt;
    }
    if (error != http::error::buffer_overflow || !grow_buffer()) {
      co_return failure_of(error);
    }
  }
}

bool answer_reader::grow_buffer() {
  auto& buffer = m_connection.buffer;
  auto const bytes = buffer.max_size() * 2;
  if (bytes > max_buffer_bytes || !m_header_memory.try_resize(bytes)) {
    return false;
  }
  buffer.max_size(bytes);
  return true;
}

bool answer_reader::account_for_header() {
  auto& buffer = m_connection.buffer;
  if (buffer.capacity() > usual_buffer_bytes) {
    buffer.shrink_to_fit();
  }
  buffer.max_size(std::max(buffer.size(), usual_buffer_bytes));
  auto const buffered = buffer.capacity() > usual_buffer_bytes ? buffer.capacity() : 0;
  return m_header_memory.try_resize(buffered + header_copies * memory_of(header()));
}

awaitable<tl::expected<std::string_view, attempt_failure>> answer_reader::read_some() {
  auto& body = m_parser->get().body();
  body.data = m_buffer.data();
  body.size = m_buffer.size();
  body.more = true;
  auto const [error, size] = co_await http::async_read_some(
      m_connection.stream, m_connection.buffer, *m_parser, completion);
  if (error && error != http::error::need_buffer) {
    co_return tl::unexpected(failure_of(error));
  }
  std::string_view const piece(m_buffer.data(), m_buffer.size() - body.size);
  m_body_bytes += piece.size();
  if (!m_parser->content_length() && m_body_bytes > max_body_bytes_without_length) {
    co_return tl::unexpected(attempt_failure::malformed);
  }
  co_return piece;
}

} // namespace catkinlanding::proxy
