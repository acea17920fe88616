#include <tests/support/http_client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace catkinlanding::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

http_response exchange(int port, http_request const& request, std::string const& ip) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  boost::system::error_code error;
  stream.connect(
      asio::ip::tcp::endpoint{asio::ip::make_address(ip), static_cast<std::uint16_t>(port)}, error);
  if (error) {
    return {};
  }
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.path);
  message.set(http::field::host, "127.0.0.1");
  message.set(http::field::content_type, "application/json");
  message.keep_alive(false);
  for (auto const& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = request.body;
  message.prepare_payload();
  http::write(stream, message, error);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(stream, buffer, response, error);
  if (error) {
    return {};
  }
  http_response answer{
      .status = static_cast<int>(response.result_int()), .body = response.body(), .headers = {}};
  for (auto const& field : response) {
    answer.headers[std::string(field.name_string())] = std::string(field.value());
  }
  return answer;
}

} // namespace catkinlanding::testing
