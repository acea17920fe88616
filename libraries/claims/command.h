#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// The right to run a non-idempotent request under its idempotency key, kept in the replicated log.
namespace catkinlanding::claims {

/// Identifies the caller's request that claims an idempotency key. Numbers never repeat within an
/// incarnation, so each retry of the caller has its own holder.
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

/// An answer that is stored for duplicates of its request.
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

/// The outcome of a request that was sent to an endpoint.
enum class run_result : std::uint8_t { answered, failed, unknown };
/// The decoder rejects greater values.
constexpr run_result last_enumerator(run_result /*any*/) {
  return run_result::unknown;
}

/// Asks for the right to run the request. Applying it twice has no further effect.
struct claim {
  base::request_id request;
  /// A stable hash of the request's content.
  std::uint64_t digest = 0;
  claims::holder holder;
  /// After this long without a finish the outcome counts as unknown.
  base::duration max_run_time{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(request, digest, holder, max_run_time);
  }
};

/// Reports the outcome of a request that the holder sent to an endpoint.
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

/// Gives up the claim: the holder has not sent the request and never will under this claim.
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
/// The decoder rejects greater values.
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

/// An entry of the replicated log: an action with the leader's time.
struct command {
  /// Time on the clock of the state machine, which advances only while there is a leader.
  base::duration at{};
  claims::action action;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(at, action);
  }
};

enum class verdict_kind : std::uint8_t {
  /// Only this holder may run the request.
  granted,
  /// Another holder has the claim and may be running the request.
  running_elsewhere,
  /// The request was sent to an endpoint before; `result` tells the outcome.
  finished,
  /// The key was used for a request with different content, and is not free again.
  content_mismatch,
  /// The holder has already released this claim.
  already_released,
  /// The registry has reached its maximum number of claims.
  full,
  /// The reply to a finish or a release.
  recorded,
};
/// The decoder rejects greater values.
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
