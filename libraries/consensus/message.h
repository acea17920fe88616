#pragma once

#include <libraries/base/time.h>
#include <libraries/consensus/types.h>

namespace catkinlanding::consensus {

struct vote_request {
  term_number term = 0;
  voter candidate;
  log_index last_index = 0;
  term_number last_term = 0;
  /// Asks whether a vote would be granted, without raising anybody's term.
  bool is_pre_vote = false;
  /// The leader of the term before has given up its lease in favour of this candidate.
  bool is_leadership_transfer = false;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, candidate, last_index, last_term, is_pre_vote, is_leadership_transfer);
  }
};

struct vote_response {
  term_number term = 0;
  consensus::voter voter;
  bool is_granted = false;
  bool is_pre_vote = false;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, voter, is_granted, is_pre_vote);
  }
};

struct append_request {
  term_number term = 0;
  voter leader;
  voter target;
  log_index previous_index = 0;
  term_number previous_term = 0;
  std::vector<log_entry> entries;
  log_index commit_index = 0;
  /// The leader's clock when it sent this, echoed back to extend its lease.
  base::duration sent_at{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, leader, target, previous_index, previous_term, entries, commit_index, sent_at);
  }
};

struct append_response {
  term_number term = 0;
  consensus::voter voter;
  bool is_success = false;
  /// On success the last index known to match; otherwise where the leader should go back to.
  log_index index = 0;
  base::duration request_sent_at{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, voter, is_success, index, request_sent_at);
  }
};

/// One piece of a snapshot, for a follower whose next entry is compacted away.
struct snapshot_request {
  term_number term = 0;
  voter leader;
  voter target;
  log_index index = 0;
  term_number index_term = 0;
  consensus::configuration configuration;
  std::uint64_t offset = 0;
  std::string bytes;
  bool is_last = false;
  base::duration sent_at{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, leader, target, index, index_term, configuration, offset, bytes, is_last,
            sent_at);
  }
};

struct snapshot_response {
  term_number term = 0;
  consensus::voter voter;
  log_index index = 0;
  /// Bytes of the snapshot that the follower holds.
  std::uint64_t received = 0;
  bool is_installed = false;
  base::duration request_sent_at{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, voter, index, received, is_installed, request_sent_at);
  }
};

/// A control instance that is not a voter asks the leader to take it in.
struct join_request {
  consensus::voter voter;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(voter);
  }
};

/// A leader that resigned lets the target campaign at once. It holds no lease any more.
struct leadership_transfer {
  term_number term = 0;
  voter leader;
  voter target;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, leader, target);
  }
};

using message =
    std::variant<vote_request, vote_response, append_request, append_response, snapshot_request,
                 snapshot_response, join_request, leadership_transfer>;

} // namespace catkinlanding::consensus
