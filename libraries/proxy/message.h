#pragma once

#include <libraries/base/envelope.h>
#include <libraries/consensus/message.h>
#include <libraries/proxy/document.h>
#include <libraries/proxy/endpoint.h>
#include <libraries/proxy/rollout.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinlanding::proxy {

/// How much of the state an instance holds.
struct known_state {
  std::uint64_t document_revision = 0;
  /// The term in which the registry's revision was counted.
  std::uint64_t registry_term = 0;
  std::uint64_t registry_revision = 0;
  std::uint64_t rollouts_revision = 0;

  bool operator==(known_state const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(document_revision, registry_term, registry_revision, rollouts_revision);
  }
};

/// An endpoint's requests in flight from one instance.
struct endpoint_load {
  base::endpoint_id endpoint;
  std::uint32_t outstanding = 0;
  /// Work of those that have not begun to answer: prompt tokens, weighted by the model's size.
  std::uint64_t pending_work = 0;

  bool operator==(endpoint_load const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, outstanding, pending_work);
  }
};

/// An instance asks the leader for what it lacks, and reports what it saw. Sent again and again,
/// so that a lost answer is asked for once more.
struct subscription {
  known_state known;
  /// Whether the sender takes callers' requests.
  bool is_entry = false;
  std::vector<version_tally> tallies;
  std::vector<endpoint_load> loads;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(known, is_entry, tallies, loads);
  }
};

/// What an instance lacks. Only a leader with a lease sends it.
struct update {
  /// What the receiver holds afterwards.
  known_state state;
  std::optional<proxy::document> document;
  /// What changed in the registry after this revision; a receiver that holds less asks again.
  std::uint64_t base_registry_revision = 0;
  std::vector<endpoint_record> endpoints;
  /// The leader has led for long enough to have heard from every live endpoint.
  bool is_registry_complete = false;
  std::optional<std::vector<rollout>> rollouts;
  /// Entry instances that share what is budgeted for all.
  std::uint32_t entry_instances = 1;
  /// Requests in flight at each endpoint from all other instances.
  std::vector<endpoint_load> loads;
  /// Control instances, to turn to when the leader is lost.
  std::vector<base::instance_id> control_instances;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(state, document, base_registry_revision, endpoints, is_registry_complete, rollouts,
            entry_instances, loads, control_instances);
  }
};

/// The receiver of a subscription does not lead.
struct referral {
  std::optional<base::instance_id> leader;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(leader);
  }
};

/// What a control instance held when it lost the leader, for an entry instance that started without
/// a way to one. It may be older than what is in force elsewhere.
struct last_known_state {
  proxy::document document;
  std::vector<endpoint_record> endpoints;
  std::vector<rollout> rollouts;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(document, endpoints, rollouts);
  }
};

using message = std::variant<consensus::message, subscription, update, referral, last_known_state>;

/// A message as it travels, with the format of this protocol.
using envelope = base::envelope<message, 0x43505802>;

[[nodiscard]] std::string encode(envelope const& envelope);
[[nodiscard]] tl::expected<envelope, base::envelope_error> decode(std::string_view bytes);

} // namespace catkinlanding::proxy
