#pragma once

#include <chrono>
#include <cstddef>

/// Measures the resource usage of the reducers in order to extrapolate it to larger deployments.
namespace catkinlanding::capacity {

/// CPU time used by this process so far.
[[nodiscard]] std::chrono::nanoseconds processor_time();

/// Bytes currently allocated on the heap.
[[nodiscard]] std::size_t heap_bytes();

} // namespace catkinlanding::capacity
