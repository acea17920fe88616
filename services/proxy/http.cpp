#include <services/proxy/http.h>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <sstream>
#include <vector>

namespace catkinlanding::proxy {

namespace {

constexpr std::array<char const*, 8> connection_headers{
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Proxy-Authorization"};

/// Answers with these have no body and no length.
bool is_bodiless(unsigned status) {
  constexpr unsigned no_content = 204;
  constexpr unsigned not_modified = 304;
  constexpr unsigned first_final = 200;
  return status < first_final || status == no_content || status == not_modified;
}

void set_connection(http_response_header& header, bool keeps_connection) {
  if (!keeps_connection) {
    header.set(http::field::connection, "close");
  }
}

} // namespace

void erase_connection_headers(http::fields& fields) {
  std::vector<std::string> named;
  for (auto const& token : http::token_list(fields[http::field::connection])) {
    named.emplace_back(token);
  }
  for (auto const& name : named) {
    fields.erase(name);
  }
  for (auto const* name : connection_headers) {
    fields.erase(name);
  }
}

std::string render(http_response_header const& header) {
  std::ostringstream text;
  text << header;
  return std::move(text).str();
}

std::string render_whole(http_response_header header, std::string_view body,
                         bool keeps_connection) {
  set_connection(header, keeps_connection);
  if (!is_bodiless(header.result_int())) {
    header.set(http::field::content_length, std::to_string(body.size()));
  }
  return render(header) + std::string(body);
}

std::string render_chunked_head(http_response_header header, bool keeps_connection) {
  set_connection(header, keeps_connection);
  header.erase(http::field::content_length);
  header.set(http::field::transfer_encoding, "chunked");
  return render(header);
}

std::string render_chunk(std::string_view bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return std::move(text).str();
}

} // namespace catkinlanding::proxy
