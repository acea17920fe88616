#pragma once

#include <cstddef>

namespace catkinlanding::testing {

/// The largest amount of memory that the process has had so far, in bytes.
[[nodiscard]] std::size_t peak_memory_of(int process);

/// The number of file descriptors that the process has open.
[[nodiscard]] std::size_t open_descriptors_of(int process);

} // namespace catkinlanding::testing
