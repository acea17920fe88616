#pragma once

#include <libraries/claims/command.h>

namespace catkinlanding::claims {

/// An action that is sent to the leader.
struct forwarded_action {
  claims::action action;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(action);
  }
};

/// The log's reply to an action.
struct decision {
  base::request_id request;
  claims::holder holder;
  action_kind kind = action_kind::claim;
  claims::verdict verdict;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(request, holder, kind, verdict);
  }
};

using message = std::variant<forwarded_action, decision>;

/// A message and its recipient.
struct outgoing {
  base::instance_id to;
  claims::message message;
};

} // namespace catkinlanding::claims
