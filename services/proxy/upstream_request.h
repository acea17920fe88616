#pragma once

#include <services/proxy/answer_forwarder.h>
#include <services/proxy/entry_context.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace catkinlanding::proxy {

/// One transmission of a caller's request to an endpoint, or to another entry instance, until it is
/// known whether that one accepts it: until the header of a successful answer has arrived. The
/// answer's body is left to the caller of this class.
class upstream_request {
public:
  enum class purpose : std::uint8_t {
    /// It is the request's only transmission, so that any answer of an endpoint can be delivered.
    next,
    /// Another one goes on meanwhile, for which only a success is taken.
    replacement,
  };

  struct options {
    entry_context& context;
    answer_forwarder& forwarder;
    http_request const& request;
    base::request_id const& id;
    /// Where it is sent.
    proxy::replacement target;
    upstream_request::purpose purpose = purpose::next;
    /// 1 for the first transmission of the request.
    std::uint32_t number = 1;
  };

  /// An error answer of an endpoint, as it may be delivered to the caller.
  struct failure_answer {
    http_response_header header;
    std::string body;
    base::memory_share memory;
  };

  explicit upstream_request(options options) : m_options(std::move(options)) {}

  /// Sends the request and reads the header of its answer. Returns how that failed; nothing if the
  /// answer can be delivered to the caller.
  [[nodiscard]] daemon::awaitable<std::optional<attempt_failure>> ask();
  /// Closes the connection, which cancels the request at the endpoint, and makes `ask` fail.
  void close();
  /// Keeps the endpoint's connection for the next request if it is reusable.
  void return_to_pool();

  /// The attempt, unless the request was passed on to another entry instance.
  [[nodiscard]] proxy::attempt const* attempt() const {
    return std::get_if<proxy::attempt>(&m_options.target);
  }
  [[nodiscard]] std::uint32_t number() const { return m_options.number; }
  /// The status of the answer; 0 before its header arrived.
  [[nodiscard]] unsigned status() const { return m_status; }
  /// What the header of the endpoint's answer says; nothing before it arrived.
  [[nodiscard]] std::optional<answer_metadata> const& metadata() const { return m_metadata; }
  /// What the instance to which the request was passed on says of its attempts; nothing if it has
  /// not answered, or doesn't say it.
  [[nodiscard]] std::optional<relay_tally> const& tally() const { return m_tally; }
  /// The answer, of which the header has been read. Valid after `ask` has returned nothing.
  [[nodiscard]] answer_reader& answer() { return *m_answer; }
  /// Whether the body is forwarded as a stream of events.
  [[nodiscard]] bool is_event_stream() const;
  /// The error answer after `failed_answer`, if there was memory for it.
  [[nodiscard]] std::optional<failure_answer> take_failure_answer();

private:
  using result = std::optional<attempt_failure>;

  daemon::awaitable<result> ask_endpoint(proxy::attempt const& attempt);
  daemon::awaitable<result> ask_peer(relay const& relay);
  [[nodiscard]] daemon::awaitable<bool> connect(base::endpoint_id const& endpoint,
                                                base::address const& address);
  /// Sends the caller's body with this header.
  daemon::awaitable<result> send(http_request_header header);
  /// Reads response headers until one belongs to this request, skipping late answers to earlier
  /// requests.
  daemon::awaitable<result> read_header(proxy::attempt const& attempt);
  /// Whether the answer with this header can be delivered.
  daemon::awaitable<result> judge_answer();
  void keep_failure_answer(std::string body, base::memory_share memory);
  /// The id of the last event that the caller received; empty if its answer has not begun.
  [[nodiscard]] std::optional<std::string> last_delivered_event() const;

  options m_options;
  std::unique_ptr<upstream_connection> m_connection;
  std::unique_ptr<answer_reader> m_answer;
  std::optional<answer_metadata> m_metadata;
  std::optional<relay_tally> m_tally;
  std::optional<failure_answer> m_failure_answer;
  unsigned m_status = 0;
  bool m_is_closed = false;
};

} // namespace catkinlanding::proxy
