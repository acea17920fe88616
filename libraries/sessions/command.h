#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/catalogue/change.h>

#include <cstdint>

/// The version that a session stays on, kept in the replicated log.
namespace catkinlanding::sessions {

/// Identifies a session. Callers choose the session id; the same id of another customer, or for
/// another model, is a different session.
struct session_key {
  base::customer_id customer;
  base::session_id session;
  base::model_id model;

  auto operator<=>(session_key const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(customer, session, model);
  }
};

/// The version that a session is pinned to.
struct pin {
  base::version_id version;
  /// Increases with each pin that the log grants, across all sessions, so that it also orders the
  /// pins of a session that has expired in between.
  std::uint64_t sequence = 0;
  /// The version that the session was pinned to before; empty if it never moved.
  base::version_id moved_from;

  bool operator==(pin const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(version, sequence, moved_from);
  }
};

/// Asks for the session's pin, and proposes a version in case it has no usable pin yet. Applying it
/// twice has no further effect.
struct proposal {
  session_key key;
  base::version_id version;
  /// The instance that the decision is sent to.
  base::instance_id instance;
  std::uint64_t incarnation = 0;
  /// Never repeats within an incarnation.
  std::uint64_t number = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(key, version, instance, incarnation, number);
  }
};

/// An entry of the replicated log: a proposal with the leader's time.
struct command {
  /// Time on the clock of the state machine, which advances only while there is a leader.
  base::duration at{};
  sessions::proposal proposal;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(at, proposal);
  }
};

enum class verdict_kind : std::uint8_t {
  /// The session is pinned to the version in `pin`.
  pinned,
  /// The proposed version is withdrawn or not allowed, and the session has no usable pin.
  version_unusable,
  /// The registry, or the customer's share of it, has reached its maximum number of pins.
  full,
};
/// The decoder rejects greater values.
constexpr verdict_kind last_enumerator(verdict_kind /*any*/) {
  return verdict_kind::full;
}

struct verdict {
  verdict_kind kind = verdict_kind::pinned;
  sessions::pin pin;
  /// The catalogue's revision at the proposal's position in the log.
  catalogue::revision revision = 0;

  bool operator==(verdict const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(kind, pin, revision);
  }
};

} // namespace catkinlanding::sessions
