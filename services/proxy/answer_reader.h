#pragma once

#include <libraries/base/memory_budget.h>
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

/// Reads one answer from an endpoint's connection. All that is buffered is bounded, for each answer
/// and for all together, as faulty endpoints may send bytes without end. Failures are `broken` if
/// the connection ended, and `malformed` if the bytes are no answer or too many.
class answer_reader {
public:
  /// The answer to a HEAD request has no body, whatever its header says.
  answer_reader(upstream_connection& connection, base::memory_budget& memory, bool is_head_request);

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

  daemon::awaitable<std::optional<attempt_failure>> read_one_header();
  /// Lets the connection buffer twice as much of a header. Returns false if that is too much.
  [[nodiscard]] bool grow_buffer();
  /// Gives back what the header needed in the connection's buffer, and accounts for its fields.
  /// Returns false if they take up too much.
  [[nodiscard]] bool account_for_header();

  upstream_connection& m_connection;
  /// What the header takes up while it is read and afterwards.
  base::memory_share m_header_memory;
  bool m_is_head_request;
  std::optional<parser> m_parser;
  std::array<char, 4 * 1024> m_buffer{};
  /// Size of the body so far.
  std::uint64_t m_body_bytes = 0;
};

} // namespace catkinlanding::proxy
