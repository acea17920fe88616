#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <thread>

namespace catkinlanding::testing {

/// An HTTP proxy on loopback that simulates lost responses: it forwards each request to the server,
/// waits for the complete response, and closes the client's connection without sending it.
class response_dropping_proxy {
public:
  explicit response_dropping_proxy(int target_port);
  response_dropping_proxy(response_dropping_proxy const&) = delete;
  response_dropping_proxy& operator=(response_dropping_proxy const&) = delete;
  ~response_dropping_proxy();

  [[nodiscard]] int port() const { return m_acceptor.local_endpoint().port(); }
  /// The number of complete responses that were dropped.
  [[nodiscard]] int dropped_responses() const { return m_dropped_responses; }

private:
  void run();

  int m_target_port = 0;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<int> m_dropped_responses = 0;
  std::thread m_thread;
};

} // namespace catkinlanding::testing
