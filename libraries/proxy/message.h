#pragma once

#include <libraries/base/envelope.h>
#include <libraries/consensus/message.h>
#include <libraries/proxy/document.h>
#include <libraries/proxy/endpoint.h>
#include <libraries/proxy/endpoint_rate.h>
#include <libraries/proxy/rejection_limits.h>
#include <libraries/proxy/rollout.h>
#include <libraries/proxy/shared_list.h>
#include <libraries/proxy/trait_evidence.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinlanding::proxy {

/// The revisions of the state that an instance holds.
struct known_state {
  std::uint64_t document_revision = 0;
  /// The leader's term that the registry revision belongs to.
  std::uint64_t registry_term = 0;
  std::uint64_t registry_revision = 0;
  std::uint64_t rollouts_revision = 0;

  bool operator==(known_state const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(document_revision, registry_term, registry_revision, rollouts_revision);
  }
};

/// The load that one instance puts on an endpoint: its requests in flight.
struct endpoint_load {
  base::endpoint_id endpoint;
  std::uint32_t outstanding = 0;
  /// Prompt tokens of the requests without a response yet, weighted by the model's size.
  std::uint64_t pending_work = 0;
  /// Requests that the endpoint rejected within the last second.
  std::uint32_t rejections = 0;

  bool operator==(endpoint_load const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, outstanding, pending_work, rejections);
  }
};

/// The loads that all instances put on endpoints. The receiver's own ones are part of them, so that
/// the same list serves all receivers.
struct load_summary {
  shared_list<endpoint_load> totals;
  /// Number of the receiver's report that is part of the totals; 0 if there is none.
  std::uint64_t counted_report = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(totals, counted_report);
  }
};

/// Requests missing state from the leader and reports the sender's measurements. Sent periodically,
/// so that a lost reply is requested again.
struct subscription {
  known_state known;
  /// Whether the sender is an entry instance.
  bool is_entry = false;
  std::vector<version_tally> tallies;
  std::vector<endpoint_load> loads;
  /// Number of this subscription, and of its report of loads, counted from 1 at each start of the
  /// sender.
  std::uint64_t report = 0;
  /// Rates of requests that endpoints stated to the sender.
  std::vector<rate_notice> rate_notices;
  /// Endpoints that stated to the sender that they are leaving, and that the leader calls ready.
  std::vector<endpoint_incarnation> leaving_endpoints;
  std::vector<trait_evidence> evidence;
  /// Whether the sender reaches no endpoint.
  bool is_cut_off = false;
  std::vector<rejection_limit> rejection_limits;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(known, is_entry, tallies, loads, report, rate_notices, leaving_endpoints, evidence,
            is_cut_off, rejection_limits);
  }
};

/// The state that an instance lacks. Sent only by a leader that holds a lease.
struct update {
  /// The revisions that the receiver holds after applying the update.
  known_state state;
  std::optional<proxy::document> document;
  /// The revision of a document that is too large for an update; 0 if there is none that the
  /// receiver lacks. It is to be requested.
  std::uint64_t offered_document = 0;
  /// `endpoints` holds the registry changes after this revision. A receiver with a lower revision
  /// can't apply them completely and requests them again.
  std::uint64_t base_registry_revision = 0;
  shared_list<endpoint_record> endpoints;
  /// Whether the leader has led long enough for every live endpoint to have announced itself.
  bool is_registry_complete = false;
  std::optional<std::vector<rollout>> rollouts;
  /// Number of entry instances, which divide the limits that apply to all of them together.
  std::uint32_t entry_instances = 1;
  std::optional<load_summary> loads;
  /// The receiver's shares of the rates that endpoints state, which replace the shares before.
  std::vector<rate_grant> rate_grants;
  /// Control instances to contact if the leader is lost.
  std::vector<base::instance_id> control_instances;
  std::vector<trait_evidence> evidence;
  /// A few entry instances that reach the endpoints, for one that does not; empty if unchanged.
  std::vector<base::instance_id> relay_peers;
  std::vector<rejection_limit> rejection_limits;

  /// Whether the update says that an endpoint leaves or has ended.
  [[nodiscard]] bool has_departure() const;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(state, document, offered_document, base_registry_revision, endpoints,
            is_registry_complete, rollouts, entry_instances, loads, rate_grants, control_instances,
            evidence, relay_peers, rejection_limits);
  }
};

/// Tells the leader at once that an update arrived which says that an endpoint leaves or has ended.
struct confirmation {
  known_state known;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

/// Requests a part of a document from the leader.
struct document_request {
  std::uint64_t revision = 0;
  /// Bytes that the sender already has.
  std::uint64_t offset = 0;

  bool operator==(document_request const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(revision, offset);
  }
};

/// A part of an encoded document. All leaders encode a document alike.
struct document_part {
  std::uint64_t revision = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t offset = 0;
  std::string bytes;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(revision, total_bytes, offset, bytes);
  }
};

/// The reply to a subscription from an instance that does not lead, naming the leader if it is
/// known.
struct referral {
  std::optional<base::instance_id> leader;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(leader);
  }
};

/// The state of a control instance that has lost contact with the leader, for an entry instance
/// that started without reaching one. It may be older than the state in force elsewhere.
struct last_known_state {
  proxy::document document;
  shared_list<endpoint_record> endpoints;
  std::vector<rollout> rollouts;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(document, endpoints, rollouts);
  }
};

/// Sent to the leader by a control instance that stops.
struct departure_notice {
  template<class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Announcements of endpoints that an instance which does not lead accepted for the leader. None of
/// them says that its endpoint leaves.
struct relayed_announcements {
  std::vector<endpoint_announcement> announcements;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(announcements);
  }
};

using message = std::variant<consensus::message, subscription, update, referral, last_known_state,
                             departure_notice, document_request, document_part, confirmation,
                             relayed_announcements>;

/// A message in its wire format, with the protocol identifier.
using envelope = base::envelope<message, 0x43505809>;

[[nodiscard]] std::string encode(envelope const& envelope);
[[nodiscard]] tl::expected<envelope, base::envelope_error> decode(std::string_view bytes);

} // namespace catkinlanding::proxy
