#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// The right to run a non-idempotent request under its idempotency key, kept in the replicated log.
namespace catkinlanding::claims {

/// Names the one try that may run a request. Numbers never repeat within an incarnation, so no two
/// tries share a holder.
struct holder {
  base::instance_id instance;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  auto operator<=>(holder const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(instance, incarnation, number);
  }
};

/// An answer that is kept for repeats of its request.
struct stored_answer {
  std::uint32_t status = 200;
  std::string content_type;
  std::string body;

  bool operator==(stored_answer const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(status, content_type, body);
  }
};

/// What became of a request that was sent to an endpoint.
enum class run_result : std::uint8_t { answered, failed, unknown };
/// Greater numbers are refused when they are decoded.
constexpr run_result last_enumerator(run_result /*any*/) {
  return run_result::unknown;
}

/// Asks for the right to run the request. Sending it again has no further effect.
struct claim {
  base::request_id request;
  /// Stable hash of what the request asks for.
  std::uint64_t digest = 0;
  claims::holder holder;
  /// After this long without a finish the outcome counts as unknown.
  base::duration max_run_time{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(request, digest, holder, max_run_time);
  }
};

/// The holder sent the request to an endpoint, and says what became of it.
struct finish {
  base::request_id request;
  claims::holder holder;
  run_result result = run_result::unknown;
  std::optional<stored_answer> answer;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(request, holder, result, answer);
  }
};

/// The holder promises that it did not send the request and never will under this claim.
struct release {
  base::request_id request;
  claims::holder holder;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(request, holder);
  }
};

using action = std::variant<claim, finish, release>;

/// The kinds of action, in the order of the alternatives of `action`.
enum class action_kind : std::uint8_t { claim, finish, release };
/// Greater numbers are refused when they are decoded.
constexpr action_kind last_enumerator(action_kind /*any*/) {
  return action_kind::release;
}

[[nodiscard]] inline action_kind kind_of(action const& action) {
  return static_cast<action_kind>(action.index());
}

[[nodiscard]] inline holder const& holder_of(action const& action) {
  return std::visit([](auto const& a) -> holder const& { return a.holder; }, action);
}

[[nodiscard]] inline base::request_id const& request_of(action const& action) {
  return std::visit([](auto const& a) -> base::request_id const& { return a.request; }, action);
}

/// An action together with the leader's time, as the replicated log carries it.
struct command {
  /// On the clock of the state machine, which runs only while there is a leader.
  base::duration at{};
  claims::action action;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(at, action);
  }
};

enum class verdict_kind : std::uint8_t {
  /// The holder, and nobody else, may run the request.
  granted,
  /// Another holder has the right and may be running the request.
  running_elsewhere,
  /// The request was sent to an endpoint before; the result says what became of it.
  finished,
  /// The key was used for a request that asked for something else, and is not free again.
  content_mismatch,
  /// The holder has released this claim already.
  already_released,
  /// There is no room for another claim.
  full,
  /// A finish or a release is recorded.
  recorded,
};
/// Greater numbers are refused when they are decoded.
constexpr verdict_kind last_enumerator(verdict_kind /*any*/) {
  return verdict_kind::recorded;
}

struct verdict {
  verdict_kind kind = verdict_kind::granted;
  run_result result = run_result::unknown;
  std::optional<stored_answer> answer;

  bool operator==(verdict const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(kind, result, answer);
  }
};

} // namespace catkinlanding::claims
