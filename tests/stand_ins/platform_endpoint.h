#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace catkinlanding::testing {

/// A request as an endpoint received it.
struct received_request {
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  std::chrono::steady_clock::time_point arrived_at{};
};

/// A test double for an endpoint behind the proxy, which runs in threads of the test. The last
/// segment of a request's path selects its behaviour:
/// - answer: answers with the request's body;
/// - fail: answers with status 500;
/// - shed: rejects the request without executing it;
/// - shed-twice: the same, and repeats the rejection before the answer to the next request on the
///   connection;
/// - cut: closes the connection in the middle of the answer;
/// - cut-header-field, cut-header-line: closes the connection in the middle of the answer's header,
///   within a field or after a whole line;
/// - unsealed: omits the seal from the answer;
/// - other: answers with the attempt id of another request;
/// - stream: streams five events, or those after `Last-Event-Id`;
/// - broken-stream: closes the connection in the middle of the third event, unless the request has
///   a `Last-Event-Id`;
/// - broken-stream-400, -404, -500: the same, and answers with this status if the request has a
///   `Last-Event-Id`;
/// - trickling-stream: sends bytes of the second event without end, unless the request has a
///   `Last-Event-Id`;
/// - slow-stream: waits after the first event until `release`;
/// - slow-stream-shed, slow-stream-hang: the same, but a request with a `Last-Event-Id` is rejected
///   without being executed, or never answered;
/// - breaking-stream-hang-once: waits after the first event until `release` and closes the
/// connection;
///   the first request of a test with a `Last-Event-Id` is never answered;
/// - small-stream: streams five events in which the model has little confidence, and rejects a
///   request for the model `large`; small-stream-hang: does not answer that;
/// - doubtful-stream: streams five events in which the model has little confidence, if it is
/// `small`;
/// - hang: never answers;
/// - endless-interim, endless-header, endless-failure, endless-body, endless-chunk, endless-event,
///   endless-stale: sends bytes that are no answer until the connection is closed.
class platform_endpoint {
public:
  platform_endpoint(std::string ip, int port, std::string id);
  platform_endpoint(platform_endpoint const&) = delete;
  platform_endpoint& operator=(platform_endpoint const&) = delete;
  ~platform_endpoint();

  /// The executed requests in order of arrival, without rejected ones.
  [[nodiscard]] std::vector<received_request> executed_requests() const;
  /// When requests arrived, rejected ones included.
  [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> arrivals() const;
  [[nodiscard]] std::string const& id() const { return m_id; }
  [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }
  /// Whether a client closed the connection during a `hang` request.
  [[nodiscard]] bool saw_cancellation() const { return m_saw_cancellation; }
  /// Bytes of the `endless-` answers that the system took before it closed their connections.
  [[nodiscard]] std::uint64_t endless_bytes() const { return m_endless_bytes; }
  /// Adds these header lines, each with its line end, to all later answers and rejections.
  void add_to_answers(std::string header_lines);
  /// Lets all `slow-stream` answers continue.
  void release() { m_is_released = true; }

private:
  [[nodiscard]] std::string added_lines() const;
  void accept();
  void serve(int socket);
  [[nodiscard]] bool answer(int socket, received_request const& request);
  /// Sends the beginning, and then the rest again and again, until the connection is closed.
  void flood(int socket, std::string const& beginning, std::string_view rest);
  [[nodiscard]] bool answer_endlessly(int socket, received_request const& request,
                                      std::string const& behaviour);
  /// Sends an event's bytes without its end until the connection is closed.
  void trickle(int socket);
  [[nodiscard]] bool stream(int socket, received_request const& request,
                            std::string const& behaviour);

  std::string m_ip;
  int m_port;
  std::string m_id;
  int m_listener = -1;
  mutable std::mutex m_mutex;
  std::vector<received_request> m_executed_requests;
  std::vector<std::chrono::steady_clock::time_point> m_arrivals;
  std::string m_added_lines;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<bool> m_is_released = false;
  std::atomic<bool> m_saw_cancellation = false;
  std::atomic<std::uint64_t> m_endless_bytes = 0;
};

} // namespace catkinlanding::testing
