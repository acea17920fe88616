#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/proxy/time_histogram.h>

#include <cstdint>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

enum class rollout_state : std::uint8_t {
  /// Requested. The target receives no requests yet, so that current sessions stay where they are.
  prepared = 0,
  /// The target receives a small share of the requests, by which it is evaluated.
  on_trial = 1,
  /// The target is accepted for good. Operators shut down the old version's endpoints.
  succeeded = 2,
  /// The target receives no requests.
  rolled_back = 3,
  /// The target receives all requests and is still evaluated. The old version's endpoints run on,
  /// so
  /// that it can be rolled back.
  promoted = 4,
};
/// Larger values are rejected during decoding.
constexpr rollout_state last_enumerator(rollout_state /*any*/) {
  return rollout_state::promoted;
}

/// Whether a rollout may change from one state to the other.
[[nodiscard]] constexpr bool may_follow(rollout_state current, rollout_state next) {
  switch (current) {
  case rollout_state::prepared:
    return next == rollout_state::on_trial || next == rollout_state::rolled_back;
  case rollout_state::on_trial:
    return next == rollout_state::promoted || next == rollout_state::rolled_back;
  case rollout_state::promoted:
    return next == rollout_state::succeeded || next == rollout_state::rolled_back;
  case rollout_state::succeeded:
  case rollout_state::rolled_back:
    return false;
  }
  return false;
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
  case rollout_state::promoted:
    return "promoted";
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
  /// Versions that earlier rollouts rolled back. They receive no requests while their endpoints are
  /// still running.
  std::vector<base::version_id> rejected;

  bool operator==(rollout const&) const = default;

  /// Whether the version was rolled back by this rollout or an earlier one.
  [[nodiscard]] bool has_rejected(base::version_id const& version) const;

  [[nodiscard]] bool is_running() const {
    return state == rollout_state::prepared || is_evaluated();
  }
  /// Whether requests go to the target while it is being evaluated.
  [[nodiscard]] bool is_evaluated() const {
    return state == rollout_state::on_trial || state == rollout_state::promoted;
  }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, target, duration, state, number, rejected);
  }
};

/// What the answers of one version show about it.
struct answer_statistics {
  std::uint64_t answers = 0;
  /// Failures and interrupted answers.
  std::uint64_t bad = 0;
  /// Times from an attempt to the first byte of its answer.
  time_histogram first_byte;
  /// Mean times between the events of a stream, one value a stream.
  time_histogram event_interval;

  bool operator==(answer_statistics const&) const = default;

  answer_statistics& operator+=(answer_statistics const& other);
  /// Removes what an earlier state of these statistics had counted.
  answer_statistics& operator-=(answer_statistics const& earlier);

  template<class Archive>
  void serialize(Archive& archive) {
    archive(answers, bad, first_byte, event_interval);
  }
};

/// The statistics of one version of a service on one route since the start of a rollout, as
/// measured by one instance.
struct version_tally {
  base::service_id service;
  base::version_id version;
  /// The number of the rollout that the statistics belong to.
  std::uint64_t rollout = 0;
  std::string route;
  answer_statistics statistics;

  bool operator==(version_tally const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, version, rollout, route, statistics);
  }
};

} // namespace catkinlanding::proxy
