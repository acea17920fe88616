#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>

namespace catkinlanding::proxy {

enum class rollout_state : std::uint8_t {
  /// Requested. The target receives no requests yet, so that current sessions stay where they are.
  prepared,
  /// The target receives a small share of the requests, by which it is evaluated.
  on_trial,
  /// The target receives all requests.
  succeeded,
  /// The target receives no requests.
  rolled_back,
};
/// Larger values are rejected during decoding.
constexpr rollout_state last_enumerator(rollout_state /*any*/) {
  return rollout_state::rolled_back;
}

[[nodiscard]] constexpr char const* name_of(rollout_state state) {
  switch (state) {
  case rollout_state::prepared:
    return "prepared";
  case rollout_state::on_trial:
    return "on_trial";
  case rollout_state::succeeded:
    return "succeeded";
  case rollout_state::rolled_back:
    return "rolled_back";
  }
  return "unknown";
}

/// The latest migration of a service to endpoints with another software version.
struct rollout {
  base::service_id service;
  base::version_id target;
  /// Time from the start request until a healthy version should have received all requests.
  base::duration duration{};
  rollout_state state = rollout_state::prepared;
  /// Increases with each rollout of the service.
  std::uint64_t number = 0;

  bool operator==(rollout const&) const = default;

  [[nodiscard]] bool is_running() const {
    return state == rollout_state::prepared || state == rollout_state::on_trial;
  }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, target, duration, state, number);
  }
};

/// Response statistics of one version of a service since the start of a rollout, as measured by one
/// instance.
struct version_tally {
  base::service_id service;
  base::version_id version;
  /// The number of the rollout that the statistics belong to.
  std::uint64_t rollout = 0;
  std::uint64_t answers = 0;
  /// Failures and interrupted answers.
  std::uint64_t bad = 0;
  /// Sum of the times to the first byte of the good answers, in milliseconds.
  std::uint64_t milliseconds = 0;

  bool operator==(version_tally const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, version, rollout, answers, bad, milliseconds);
  }
};

} // namespace catkinlanding::proxy
