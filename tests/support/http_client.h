#pragma once

#include <map>
#include <string>

namespace catkinlanding::testing {

struct http_request {
  std::string method = "POST";
  std::string path;
  std::string body;
  std::map<std::string, std::string> headers;
};

struct http_response {
  /// Zero if no complete response was received.
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// Sends one request over a new connection to a local address and reads the response. A response
/// that is cut off counts as none.
[[nodiscard]] http_response exchange(int port, http_request const& request,
                                     std::string const& ip = "127.0.0.1");

} // namespace catkinlanding::testing
