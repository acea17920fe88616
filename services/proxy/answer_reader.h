#pragma once

#include <libraries/proxy/request.h>
#include <services/daemon/coroutine.h>
#include <services/proxy/http.h>
#include <services/proxy/upstream_pool.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkinlanding::proxy {

/// Reads one answer from an endpoint's connection. All that is buffered is bounded, as a faulty
/// endpoint may send bytes without end. Failures are `broken` if the connection ended, and
/// `malformed` if the bytes are no answer or too many.
class answer_reader {
public:
  /// The answer to a HEAD request has no body, whatever its header says.
  answer_reader(upstream_connection& connection, bool is_head_request);

  /// Reads the header, and skips interim answers before it. Returns how that failed; nothing on
  /// success.
  daemon::awaitable<std::optional<attempt_failure>> read_header();
  /// Reads the next part of the body. It is valid until the next call.
  daemon::awaitable<tl::expected<std::string_view, attempt_failure>> read_some();

  [[nodiscard]] http_response_header const& header() const { return m_parser->get().base(); }
  [[nodiscard]] bool is_done() const { return m_parser->is_done(); }
  [[nodiscard]] bool keep_alive() const { return m_parser->keep_alive(); }

private:
  using parser = http::response_parser<http::buffer_body>;

  upstream_connection& m_connection;
  bool m_is_head_request;
  std::optional<parser> m_parser;
  std::array<char, 16 * 1024> m_buffer{};
  /// Size of the body so far.
  std::uint64_t m_body_bytes = 0;
};

} // namespace catkinlanding::proxy
