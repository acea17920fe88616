#include <libraries/base/hash.h>
#include <services/proxy/http.h>

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <sstream>
#include <vector>

namespace catkinlanding::proxy {

namespace {

constexpr std::array<char const*, 8> hop_by_hop_headers{
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Proxy-Authorization"};

/// Whether a response with this status has neither a body nor a Content-Length.
bool has_no_body(unsigned status) {
  constexpr unsigned no_content = 204;
  constexpr unsigned not_modified = 304;
  constexpr unsigned first_final = 200;
  return status < first_final || status == no_content || status == not_modified;
}

void set_connection_header(http_response_header& header, bool keep_alive) {
  if (!keep_alive) {
    header.set(http::field::connection, "close");
  }
}

} // namespace

void erase_hop_by_hop_headers(http::fields& fields) {
  std::vector<std::string> named;
  for (auto const& token : http::token_list(fields[http::field::connection])) {
    named.emplace_back(token);
  }
  for (auto const& name : named) {
    fields.erase(name);
  }
  for (auto const* name : hop_by_hop_headers) {
    fields.erase(name);
  }
}

std::string serialize_header(http_response_header const& header) {
  std::ostringstream text;
  text << header;
  return std::move(text).str();
}

std::string serialize_response_header(http_response_header header, std::size_t body_bytes,
                                      bool keep_alive) {
  set_connection_header(header, keep_alive);
  if (!has_no_body(header.result_int())) {
    header.set(http::field::content_length, std::to_string(body_bytes));
  }
  return serialize_header(header);
}

std::string serialize_response(http_response_header header, std::string_view body,
                               bool keep_alive) {
  return serialize_response_header(std::move(header), body.size(), keep_alive) + std::string(body);
}

std::string serialize_chunked_header(http_response_header header, bool keep_alive) {
  set_connection_header(header, keep_alive);
  header.erase(http::field::content_length);
  header.set(http::field::transfer_encoding, "chunked");
  return serialize_header(header);
}

std::string serialize_chunk(std::string_view bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return std::move(text).str();
}

std::uint64_t content_hash_of(http_request const& request) {
  auto const method = base::stable_hash(std::string(request.method_string()));
  return base::stable_hash(request.body(), method);
}

} // namespace catkinlanding::proxy
