#include <services/proxy/answer_header.h>
#include <services/proxy/answer_reader.h>

#include <boost/beast/http/read.hpp>

namespace catkinlanding::proxy {

namespace {

using daemon::awaitable;
using daemon::completion;

constexpr std::uint32_t max_header_bytes = 32 * 1024;
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

answer_reader::answer_reader(upstream_connection& connection, bool is_head_request)
    : m_connection(connection), m_is_head_request(is_head_request) {}

awaitable<std::optional<attempt_failure>> answer_reader::read_header() {
  for (int interim_answers = 0; interim_answers <= max_interim_answers; ++interim_answers) {
    m_parser.emplace();
    m_parser->header_limit(max_header_bytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_is_head_request);
    auto const [error, size] = co_await http::async_read_header(
        m_connection.stream, m_connection.buffer, *m_parser, completion);
    if (error) {
      co_return failure_of(error);
    }
    if (!is_interim(header().result_int())) {
      co_return std::nullopt;
    }
  }
  co_return attempt_failure::malformed;
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
