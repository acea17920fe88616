#pragma once

#include <libraries/base/identifier.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The replicated log: elections, replication, durable state, snapshots and membership changes.
namespace catkinlanding::consensus {

using term_number = std::uint64_t;
using log_index = std::uint64_t;
/// Identifies one disk write, so that its completion can be matched to it.
using write_id = std::uint64_t;

/// A control instance together with the disk it writes to. An instance that lost its disk returns
/// with a new disk id and therefore counts as a different voter.
///
/// A voter without a disk id holds the place of an instance whose first disk is not known yet. It
/// counts for the size of a majority. Only the first disk of the instance can fill the place.
struct voter {
  base::instance_id instance;
  std::uint64_t disk_id = 0;

  auto operator<=>(voter const&) const = default;

  [[nodiscard]] bool has_disk() const { return disk_id != 0; }
  /// Whether the disk is the first one of its instance, so that no disk was lost before it. Holds
  /// for ids made by `make_disk_id`.
  [[nodiscard]] bool has_first_disk() const { return disk_id % 2 == 1; }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(instance, disk_id);
  }
};

/// The id of a new disk, from a random number. Odd ids belong to disks that were empty when all
/// instances started for the first time. The id is kept on the disk, so a restart preserves this.
[[nodiscard]] constexpr std::uint64_t make_disk_id(std::uint64_t random, bool is_first_start) {
  auto const even = random < 2 ? std::uint64_t{2} : random - random % 2;
  return is_first_start ? even + 1 : even;
}

/// The membership: voters, learners (which receive the log but don't vote), and the instances that
/// the operators want as voters.
struct configuration {
  std::vector<voter> voters;
  std::vector<voter> learners;
  std::vector<base::instance_id> desired_voters;

  bool operator==(configuration const&) const = default;

  [[nodiscard]] bool is_voter(voter const& v) const {
    return std::ranges::find(voters, v) != voters.end();
  }
  /// Whether a place is held for this instance, and the disk is a first one by its id. Relies on
  /// each instance having one first disk only, as a second one would be counted too.
  [[nodiscard]] bool has_place_for(voter const& v) const {
    return v.has_first_disk() && is_voter({.instance = v.instance, .disk_id = 0});
  }
  /// Whether the vote of this disk counts. The disk that a place is held for is a voter by that, as
  /// an instance has one first disk only.
  [[nodiscard]] bool can_vote(voter const& v) const { return is_voter(v) || has_place_for(v); }
  /// Fills the place that is held for the disk, if there is one. This changes no majority: it only
  /// names a voter. The disk may also be a learner, in a log that an older version wrote; it is
  /// removed there, as its promotion would make it a voter twice.
  void fill_place(voter const& v) {
    if (has_place_for(v)) {
      std::erase(learners, v);
      std::ranges::replace(voters, voter{.instance = v.instance, .disk_id = 0}, v);
    }
  }
  [[nodiscard]] bool is_learner(voter const& v) const {
    return std::ranges::find(learners, v) != learners.end();
  }
  [[nodiscard]] bool is_desired_voter(base::instance_id const& instance) const {
    return std::ranges::find(desired_voters, instance) != desired_voters.end();
  }
  [[nodiscard]] std::size_t quorum() const { return voters.size() / 2 + 1; }
  [[nodiscard]] bool has_voter_without_disk() const {
    return std::ranges::any_of(voters, [](voter const& v) { return !v.has_disk(); });
  }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(voters, learners, desired_voters);
  }
};

enum class entry_kind : std::uint8_t {
  /// Appended by a new leader: committing it also commits the entries of earlier terms.
  no_op,
  command,
  configuration,
};
/// Decoding rejects greater values.
constexpr entry_kind last_enumerator(entry_kind /*any*/) {
  return entry_kind::configuration;
}

struct log_entry {
  term_number term = 0;
  log_index index = 0;
  entry_kind kind = entry_kind::no_op;
  /// Encoded command for the state machine.
  std::string command;
  std::optional<consensus::configuration> configuration;

  bool operator==(log_entry const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, index, kind, command, configuration);
  }
};

/// The part of a voter's state that must be durable before it takes part in an election.
struct hard_state {
  term_number term = 0;
  std::optional<voter> voted_for;

  bool operator==(hard_state const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, voted_for);
  }
};

/// The state of the state machine at `index`. It replaces the log entries up to that index.
struct snapshot {
  log_index index = 0;
  term_number term = 0;
  consensus::configuration configuration;
  std::string state;

  bool operator==(snapshot const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(index, term, configuration, state);
  }
};

/// The state that was read back from the disk at startup.
struct recovered_state {
  consensus::hard_state hard_state;
  consensus::snapshot snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<log_entry> entries;
};

/// A disk write that must be synced before it is reported complete.
struct durable_write {
  write_id id = 0;
  std::optional<consensus::hard_state> hard_state;
  /// If set, entries from this index on are removed before the new ones are appended.
  std::optional<log_index> truncate_from;
  std::vector<log_entry> entries;
  std::optional<consensus::snapshot> snapshot;
};

} // namespace catkinlanding::consensus
