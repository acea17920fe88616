#pragma once

#include <libraries/billing/bill.h>
#include <libraries/catalogue/document.h>
#include <libraries/consensus/replica.h>
#include <libraries/distribution/publisher.h>

#include <variant>

namespace catkinlanding::operators {

/// The outcome of a committed change, and how far it has been distributed.
struct change_reply {
  catalogue::change_outcome outcome;
  /// Whether every known instance has applied the change.
  bool is_in_force_everywhere = false;
  /// The maximum time until no instance sends new work to a version that the change withdrew, even
  /// in a partitioned availability zone. Zero once the change is in force everywhere.
  base::duration in_force_within{};
  std::vector<distribution::zone_status> zones;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(outcome, is_in_force_everywhere, in_force_within, zones);
  }
};

struct catalogue_reply {
  catalogue::document document;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(document);
  }
};

struct history_reply {
  std::vector<catalogue::change> changes;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(changes);
  }
};

struct status_reply {
  base::instance_id instance;
  base::availability_zone_id zone;
  catalogue::revision revision = 0;
  bool has_lease = false;
  base::duration lease_left{};
  consensus::role role = consensus::role::follower;
  consensus::term_number term = 0;
  base::instance_id leader;
  consensus::log_index commit_index = 0;
  consensus::configuration configuration;
  std::uint32_t endpoints = 0;
  std::uint32_t requests = 0;
  std::uint32_t unsettled_bills = 0;
  std::vector<distribution::zone_status> zones;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(instance, zone, revision, has_lease, lease_left, role, term, leader, commit_index,
            configuration, endpoints, requests, unsettled_bills, zones);
  }
};

struct bills_reply {
  std::vector<billing::bill> bills;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(bills);
  }
};

struct done_reply {
  template<class Archive>
  void serialize(Archive& /*archive*/) {}
};

enum class refusal_kind : std::uint8_t {
  /// There was no leader, and the command can't take effect later.
  no_leader,
  /// The command may have taken effect. It is safe to retry it with the same change id.
  outcome_unknown,
  overloaded,
  already_founded,
  configuration_pending,
  not_a_control_instance,
  malformed,
};
/// The decoder rejects greater values.
constexpr refusal_kind last_enumerator(refusal_kind /*any*/) {
  return refusal_kind::malformed;
}

struct refusal {
  refusal_kind kind = refusal_kind::no_leader;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(kind);
  }
};

using reply = std::variant<change_reply, catalogue_reply, history_reply, status_reply, bills_reply,
                           done_reply, refusal>;

} // namespace catkinlanding::operators
