#pragma once

#include <services/daemon/connections/open_connections.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>

namespace catkinlanding::daemon {

/// The buffer in which a connection's requests are parsed. The parser keeps a header, a chunk's
/// size with its extensions, and the trailers in it until they are complete, so its size bounds
/// them. What exceeds a small usual size is taken from the memory for the requests of all
/// connections.
class request_buffer {
public:
  enum class growth : std::uint8_t { grown, too_large, no_memory };

  explicit request_buffer(connections::open_connections::entry& connection);

  /// Gives back what the last request needed beyond what is still buffered.
  void shrink();
  /// Lets the buffer hold twice as much, but not more than this.
  [[nodiscard]] awaitable<growth> grow(std::size_t max_bytes);

  /// Notes that the first byte of a request is there.
  void note_begun() { m_begun_at = now(); }
  [[nodiscard]] base::monotonic_time begun_at() const { return m_begun_at; }

  [[nodiscard]] connections::open_connections::entry& connection() { return m_connection; }
  [[nodiscard]] boost::beast::flat_buffer& storage() { return m_storage; }
  [[nodiscard]] boost::beast::flat_buffer const& storage() const { return m_storage; }

  /// Bytes that each connection may buffer without a share of the budget.
  static constexpr std::size_t usual_bytes = 4UL * 1024;

private:
  boost::beast::flat_buffer m_storage;
  connections::open_connections::entry& m_connection;
  base::monotonic_time m_begun_at{};
};

} // namespace catkinlanding::daemon
