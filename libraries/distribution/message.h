#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/stamp.h>
#include <libraries/catalogue/document.h>

#include <optional>
#include <variant>
#include <vector>

/// Brings the catalogue from the leader to every entry instance, under leases.
namespace catkinlanding::distribution {

/// How far one availability zone has followed.
struct zone_status {
  base::availability_zone_id zone;
  /// Instances that were heard of lately, and those that should be there and were not.
  std::uint32_t live = 0;
  std::uint32_t silent = 0;
  /// The lowest revision among the live ones, and among all that are known.
  catalogue::revision in_force = 0;
  catalogue::revision known_by_all = 0;
  /// The sum of the hashes of the live instances' ids. It tells apart sets of equal size, so that
  /// an instance that was counted twice does not stand in for one that is missing.
  std::uint64_t fingerprint = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(zone, live, silent, in_force, known_by_all, fingerprint);
  }
};

/// A subscriber asks its publisher for news and for a new lease.
struct poll {
  base::availability_zone_id zone;
  /// The revision that the subscriber, and everybody who polls it, has in force.
  catalogue::revision in_force = 0;
  /// The revision that the subscriber itself has.
  catalogue::revision revision = 0;
  /// When the subscriber asked; its lease runs from then.
  base::stamp stamp;
  /// The stamp of the publisher's last answer: this poll was sent after that.
  std::optional<base::stamp> acknowledged;
  /// Live instances that poll the subscriber, directly or through others; one item for each zone.
  std::vector<zone_status> descendants;
  /// How long ago the longest unheard of those was heard.
  base::duration descendants_age{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(zone, in_force, revision, stamp, acknowledged, descendants, descendants_age);
  }
};

/// News from a publisher: changes where it still has them, otherwise the whole document.
struct update {
  std::vector<catalogue::change> changes;
  std::optional<catalogue::document> document;
  /// The publisher's revision. Who does not reach it by this update takes no lease from it.
  catalogue::revision revision = 0;
  /// The stamp of the poll that this answers; absent when it was sent unasked.
  std::optional<base::stamp> poll_stamp;
  /// When the publisher answered.
  base::stamp stamp;
  /// How long after `echoed` the subscriber may count on hearing of every change. A negative value
  /// says how long ago the publisher's own lease ended; absent when it never had one.
  std::optional<base::duration> lease;
  /// The leader of the replicated log, where the publisher has the control role and knows one.
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
};

using effects = std::vector<outgoing>;

} // namespace catkinlanding::distribution
