#pragma once

#include <libraries/base/identifier.h>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

/// Gradual rollout of versions, controlled by the leader from the reports of entry instances.
namespace catkinlanding::rollouts {

using version_key = std::pair<base::model_id, base::version_id>;

/// Counts of the answers of one version. They never decrease at their source.
struct tally {
  std::uint64_t answers = 0;
  /// Failed, empty or slow.
  std::uint64_t bad = 0;
  std::uint64_t rated = 0;
  std::uint64_t poor = 0;

  bool operator==(tally const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(answers, bad, rated, poor);
  }
};

using tallies = std::map<version_key, tally>;

/// The set of instances whose answers a report counts.
enum class report_scope : std::uint8_t {
  /// Only the sender, which reports to a control instance.
  instance,
  /// All instances that report to the sender, a control instance that reports to the leader.
  zone,
};
/// Greater numbers are refused when they are decoded.
constexpr report_scope last_enumerator(report_scope /*any*/) {
  return report_scope::zone;
}

/// Orders the reports of one sender. All reports of a stream go to the same receiver.
struct report_stamp {
  std::uint64_t incarnation = 0;
  std::uint64_t stream = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(report_stamp const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, stream, sequence);
  }
};

/// Totals since the sender's start, so that lost and duplicated reports do no harm.
struct report {
  report_scope scope = report_scope::instance;
  report_stamp stamp;
  tallies counts;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(scope, stamp, counts);
  }
};

using message = report;

struct outgoing {
  base::instance_id to;
  rollouts::message message;
};

using effects = std::vector<outgoing>;

} // namespace catkinlanding::rollouts
