#pragma once

#include <libraries/resources/plan.h>

#include <optional>

namespace catkinlanding::daemon::connections {

/// What the process may use: what its settings say, and no more descriptors than the operating
/// system allows it.
[[nodiscard]] resources::machine read_machine(std::size_t memory_bytes,
                                              std::optional<std::size_t> descriptors);

/// Makes large buffers go back to the operating system as soon as they are freed. The allocator
/// would otherwise keep them, and holes between them, once some have been freed.
void return_freed_buffers();

} // namespace catkinlanding::daemon::connections
