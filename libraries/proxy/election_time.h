#pragma once

#include <chrono>

namespace catkinlanding::proxy {

/// The control instances of a deployment are a few milliseconds apart, so these times detect a lost
/// leader and elect a new one in well under a second.
inline constexpr std::chrono::milliseconds election_timeout{350};
inline constexpr std::chrono::milliseconds election_jitter{250};
/// The longest time until a leader is elected, if the votes are not split.
inline constexpr std::chrono::milliseconds max_election_time = election_timeout + election_jitter;

} // namespace catkinlanding::proxy
