#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>

namespace catkinlanding::proxy {

enum class rollout_state : std::uint8_t {
  /// Ordered. The target gets no requests yet, so that sessions under way stay where they are.
  prepared,
  /// The target gets a small share, by which it is judged.
  on_trial,
  /// The target gets all requests.
  succeeded,
  /// The target gets none.
  rolled_back,
};
/// Greater numbers are refused when they are decoded.
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

/// The latest change of a service to endpoints of another software version.
struct rollout {
  base::service_id service;
  base::version_id target;
  /// From the order to the moment by which a sound version should have all requests.
  base::duration duration{};
  rollout_state state = rollout_state::prepared;
  /// Grows with each order for this service.
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

/// Answers of one version of a service, as one instance saw them since a rollout began.
struct version_tally {
  base::service_id service;
  base::version_id version;
  /// The rollout that is judged by this.
  std::uint64_t rollout = 0;
  std::uint64_t answers = 0;
  /// Failures and broken answers.
  std::uint64_t bad = 0;
  /// Sum of the times to the first byte of the good ones, in milliseconds.
  std::uint64_t milliseconds = 0;

  bool operator==(version_tally const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, version, rollout, answers, bad, milliseconds);
  }
};

} // namespace catkinlanding::proxy
