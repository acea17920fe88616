#pragma once

#include <atomic>
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
};

/// An endpoint of the users' platform, in threads of the test. What it does with a request is the
/// word behind the last slash of the path: answer, fail, shed, cut, unsealed, other (an answer to
/// another request), stream, broken-stream (its second event is torn where no event is named to go
/// on from), slow-stream (it waits between events until `release`), hang.
class platform_endpoint {
public:
  platform_endpoint(std::string ip, int port, std::string id);
  platform_endpoint(platform_endpoint const&) = delete;
  platform_endpoint& operator=(platform_endpoint const&) = delete;
  ~platform_endpoint();

  /// What it ran, in order. Rejected requests are not among them.
  [[nodiscard]] std::vector<received_request> executed_requests() const;
  [[nodiscard]] std::string const& id() const { return m_id; }
  [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }
  /// Whether a caller closed a connection on which its request was under way.
  [[nodiscard]] bool saw_cancellation() const { return m_saw_cancellation; }
  void release() { m_is_released = true; }

private:
  void accept();
  void serve(int socket);
  [[nodiscard]] bool answer(int socket, received_request const& request);
  [[nodiscard]] bool stream(int socket, received_request const& request,
                            std::string const& behaviour);

  std::string m_ip;
  int m_port;
  std::string m_id;
  int m_listener = -1;
  mutable std::mutex m_mutex;
  std::vector<received_request> m_executed_requests;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<bool> m_is_released = false;
  std::atomic<bool> m_saw_cancellation = false;
};

} // namespace catkinlanding::testing
