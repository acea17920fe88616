#pragma once

#include <cstddef>

namespace catkinlanding::daemon {

/// Counts a connection for as long as this lives.
class scoped_count {
public:
  explicit scoped_count(std::size_t& count) : m_count(count) { ++m_count; }
  ~scoped_count() { --m_count; }
  scoped_count(scoped_count const&) = delete;
  scoped_count& operator=(scoped_count const&) = delete;

private:
  std::size_t& m_count;
};

} // namespace catkinlanding::daemon
