#pragma once

#include <libraries/base/time.h>
#include <libraries/consensus/types.h>

namespace catkinlanding::consensus {

struct vote_request {
  term_number term = 0;
  voter candidate;
  log_index last_index = 0;
  term_number last_term = 0;
  /// Set for a pre-vote, which asks whether a vote would be granted without raising any term.
  bool is_pre_vote = false;
  /// The leader of the previous term gave up its lease and transferred leadership to the candidate.
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
  /// Send time on the leader's clock. The response returns it, and the leader extends its lease
  /// from it.
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
  /// On success the last index known to match the leader's log; otherwise the index after which the
  /// leader should retry.
  log_index index = 0;
  base::duration request_sent_at{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, voter, is_success, index, request_sent_at);
  }
};

/// One chunk of a snapshot, for a follower whose next entry is already compacted.
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
  /// Number of bytes of the snapshot that the follower has received.
  std::uint64_t received = 0;
  bool is_installed = false;
  base::duration request_sent_at{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(term, voter, index, received, is_installed, request_sent_at);
  }
};

/// Sent by a control instance that is not a voter to ask the leader to add it.
struct join_request {
  consensus::voter voter;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(voter);
  }
};

/// Sent by a leader that resigned, and no longer holds its lease, to make the target start an
/// election at once.
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
