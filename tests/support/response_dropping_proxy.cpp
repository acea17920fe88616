#include <tests/support/http_client.h>
#include <tests/support/raw_connection.h>
#include <tests/support/response_dropping_proxy.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace catkinlanding::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

response_dropping_proxy::response_dropping_proxy(int target_port)
    : m_target_port(target_port),
      m_acceptor(m_context, asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), 0}),
      m_thread([this] { run(); }) {}

response_dropping_proxy::~response_dropping_proxy() {
  m_is_stopping = true;
  // The thread blocks in accept(); a last connection wakes it.
  raw_connection const last(port());
  last.finish_sending();
  m_thread.join();
}

void response_dropping_proxy::run() {
  while (!m_is_stopping) {
    boost::system::error_code error;
    auto socket = m_acceptor.accept(error);
    beast::flat_buffer buffer;
    http::request<http::string_body> message;
    http::read(socket, buffer, message, error);
    if (error) {
      continue;
    }
    auto const answer = exchange(m_target_port, {.method = std::string(message.method_string()),
                                                 .path = std::string(message.target()),
                                                 .body = message.body(),
                                                 .headers = {}});
    m_dropped_responses += answer.status != 0 ? 1 : 0;
  }
}

} // namespace catkinlanding::testing
