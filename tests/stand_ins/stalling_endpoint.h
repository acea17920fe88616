#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace catkinlanding::testing {

/// A test double for a faulty endpoint behind the proxy that has many connections at once. The last
/// segment of a request's path selects the place in the answer at which it sends bytes without an
/// end and then waits, with the connection open: interim, header, fields, failure, failure-header,
/// chunk, trailer, event, events (whole ones), body; or `answer`, which is a whole answer. One
/// thread serves all connections.
class stalling_endpoint {
public:
  struct options {
    std::string ip;
    int port = 0;
    std::string id;
    /// Bytes that are sent of each answer.
    std::size_t bytes = 0;
  };

  explicit stalling_endpoint(options options);
  stalling_endpoint(stalling_endpoint const&) = delete;
  stalling_endpoint& operator=(stalling_endpoint const&) = delete;
  ~stalling_endpoint();

  [[nodiscard]] std::string const& id() const { return m_options.id; }
  [[nodiscard]] std::string address() const;
  /// Requests that arrived so far.
  [[nodiscard]] std::size_t requests() const { return m_requests; }
  /// Bytes that the system took so far, for all answers together.
  [[nodiscard]] std::size_t sent_bytes() const { return m_sent_bytes; }

private:
  struct connection {
    int socket = -1;
    std::string received;
    std::string unsent;
    /// What follows, again and again.
    std::string filler;
    std::size_t filler_offset = 0;
    std::size_t filler_left = 0;
    bool is_closed = false;
  };

  void run();
  void accept_all();
  void receive(connection& connection);
  void begin_answer(connection& connection, std::string const& head) const;
  void send_some(connection& connection);

  options m_options;
  int m_listener;
  std::vector<connection> m_connections;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<std::size_t> m_requests = 0;
  std::atomic<std::size_t> m_sent_bytes = 0;
  std::thread m_thread;
};

} // namespace catkinlanding::testing
