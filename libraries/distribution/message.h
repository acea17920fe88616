#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/stamp.h>
#include <libraries/catalogue/document.h>

#include <optional>
#include <variant>
#include <vector>

/// Distributes the catalogue from the leader to all instances, under leases.
namespace catkinlanding::distribution {

/// The state of the catalogue in one availability zone.
struct zone_status {
  base::availability_zone_id zone;
  /// Number of instances that were live recently, and of expected instances that were not.
  std::uint32_t live = 0;
  std::uint32_t silent = 0;
  /// The lowest revision among the live instances, and among all known instances.
  catalogue::revision in_force = 0;
  catalogue::revision known_by_all = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(zone, live, silent, in_force, known_by_all);
  }
};

/// An instance that polls another one, directly or through others, as of its latest poll.
struct known_instance {
  base::instance_id instance;
  base::availability_zone_id zone;
  /// The revision that it had in force.
  catalogue::revision in_force = 0;
  /// When it sent the poll, by its own clock. Of two reports on an instance, the one with the later
  /// stamp holds.
  base::stamp stamp;
  /// Time since it is known to have run; absent if no answer of this start has reached it.
  std::optional<base::duration> age;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(instance, zone, in_force, stamp, age);
  }
};

/// A subscriber's request for catalogue changes and for a new lease.
struct poll {
  base::availability_zone_id zone;
  /// The subscriber's own revision.
  catalogue::revision revision = 0;
  /// When the poll was sent. A lease that the publisher grants runs from this time.
  base::stamp stamp;
  /// The stamp of the latest answer received from the publisher. The poll was sent after that time.
  std::optional<base::stamp> acknowledged;
  /// The instances that poll the subscriber, directly or through others, and are live or may hold a
  /// lease.
  std::vector<known_instance> descendants;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(zone, revision, stamp, acknowledged, descendants);
  }
};

/// Catalogue data from a publisher: the changes if it still has them, otherwise the whole document.
struct update {
  std::vector<catalogue::change> changes;
  std::optional<catalogue::document> document;
  /// The publisher's revision. A subscriber that doesn't reach it with this update takes no lease.
  catalogue::revision revision = 0;
  /// The stamp of the poll that this update answers; absent in a push.
  std::optional<base::stamp> poll_stamp;
  /// When the publisher sent the answer.
  base::stamp stamp;
  /// Duration of the lease, counted from `poll_stamp`. A negative value means that the publisher's
  /// own lease ended that long ago; absent when the publisher never had a lease.
  std::optional<base::duration> lease;
  /// The leader of the replicated log, if the publisher has the control role and knows the leader.
  std::optional<base::instance_id> leader;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(changes, document, revision, poll_stamp, stamp, lease, leader);
  }
};

using message = std::variant<poll, update>;

struct outgoing {
  base::instance_id to;
  distribution::message message;
  /// Whether a connection that is open now may have lost what was last sent to the recipient.
  bool needs_new_connection = false;
};

using effects = std::vector<outgoing>;

} // namespace catkinlanding::distribution
