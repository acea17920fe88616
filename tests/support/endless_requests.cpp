#include <tests/support/endless_requests.h>

#include <algorithm>
#include <ostream>

namespace catkinlanding::testing {

namespace {

constexpr std::size_t block_bytes = 64UL * 1024;
constexpr std::size_t padding_bytes = 4000;
/// A connection that takes nothing for this long is not read any more.
constexpr std::chrono::milliseconds max_pause{500};

std::string repeat_to_block(std::string const& text) {
  std::string block;
  while (block.size() < block_bytes) {
    block += text;
  }
  return block;
}

} // namespace

std::ostream& operator<<(std::ostream& out, endless_request const& request) {
  return out << request.name;
}

std::vector<endless_request> endless_requests(std::string const& path, std::string const& headers) {
  auto const start = "POST " + path + " HTTP/1.1\r\nHost: api.example\r\n" + headers;
  auto const chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  auto const line = repeat_to_block("x");
  return {
      {"trailers", chunked + "1\r\nx\r\n0\r\n", repeat_to_block("X-Trailer: y\r\n")},
      {"extension", chunked + "1;", line},
      {"chunk_size", chunked, repeat_to_block("0")},
      {"padded_chunks", chunked,
       repeat_to_block("1;" + std::string(padding_bytes, 'x') + "\r\nx\r\n")},
      {"header_lines", start, repeat_to_block("X-Line: y\r\n")},
      {"header_line", start + "X-Line: ", line},
      {"target", "POST " + path, line},
  };
}

endless_callers::endless_callers(int port, std::string const& ip, std::size_t number) {
  for (std::size_t i = 0; i < number; ++i) {
    m_connections.push_back(std::make_unique<raw_connection>(port, ip));
  }
}

std::size_t endless_callers::send(endless_request const& request, std::size_t bytes_each) {
  std::vector<std::size_t> taken(m_connections.size());
  std::vector<bool> is_open(m_connections.size());
  for (std::size_t i = 0; i < m_connections.size(); ++i) {
    is_open[i] = m_connections[i]->send(request.beginning);
  }
  for (std::size_t sent = 0; sent < bytes_each; sent += request.repeated.size()) {
    for (std::size_t i = 0; i < m_connections.size(); ++i) {
      if (is_open[i]) {
        auto const size = m_connections[i]->send_within(request.repeated, max_pause);
        taken[i] += size;
        is_open[i] = size == request.repeated.size();
      }
    }
  }
  return std::ranges::max(taken);
}

} // namespace catkinlanding::testing
