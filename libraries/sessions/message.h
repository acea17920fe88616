#pragma once

#include <libraries/sessions/command.h>

#include <variant>

namespace catkinlanding::sessions {

/// A proposal that is sent to the leader.
struct forwarded_proposal {
  sessions::proposal proposal;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(proposal);
  }
};

/// The log's reply to a proposal.
struct decision {
  session_key key;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  sessions::verdict verdict;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(key, incarnation, number, verdict);
  }
};

using message = std::variant<forwarded_proposal, decision>;

struct outgoing {
  base::instance_id to;
  sessions::message message;
};

} // namespace catkinlanding::sessions
