#pragma once

#include <cstddef>

namespace catkinlanding::daemon {

/// Increments a counter, and decrements it when it goes out of scope.
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
