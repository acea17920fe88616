#pragma once

#include <chrono>

/// Clocks of the project. Decisions never read a clock; the time of an event is handed to them.
namespace catkinlanding::base {

/// Resolution of every duration that the reducers compare.
using duration = std::chrono::microseconds;

/// Time since an arbitrary start on one instance. Two instances never compare these.
using monotonic_time = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Time of day, for records that people and other systems read.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace catkinlanding::base
