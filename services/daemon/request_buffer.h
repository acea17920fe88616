#pragma once

#include <libraries/base/memory_budget.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>

namespace catkinlanding::daemon {

/// The buffer in which a connection's requests are parsed. The parser keeps a header, a chunk's
/// size with its extensions, and the trailers in it until they are complete, so its size bounds
/// them. What exceeds a small usual size is taken from a budget of all connections.
class request_buffer {
public:
  enum class growth : std::uint8_t { grown, too_large, no_memory };

  explicit request_buffer(base::memory_budget const& memory);

  /// Gives back what the last request needed beyond what is still buffered.
  void shrink();
  /// Lets the buffer hold twice as much, but not more than this.
  [[nodiscard]] growth grow(std::size_t max_bytes);

  [[nodiscard]] boost::beast::flat_buffer& storage() { return m_storage; }
  [[nodiscard]] boost::beast::flat_buffer const& storage() const { return m_storage; }

  /// Bytes that each connection may buffer without a share of the budget.
  static constexpr std::size_t usual_bytes = 4UL * 1024;

private:
  boost::beast::flat_buffer m_storage;
  base::memory_share m_memory;
};

} // namespace catkinlanding::daemon
