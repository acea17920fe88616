#pragma once

#include <libraries/operators/reply.h>
#include <libraries/operators/request.h>

namespace catkinlanding::operators {

/// A command that is forwarded to the leader.
struct forwarded_request {
  /// The instance that the operator is connected to, and its number for the command.
  base::instance_id origin;
  std::uint64_t number = 0;
  operators::request request;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(origin, number, request);
  }
};

struct forwarded_reply {
  std::uint64_t number = 0;
  operators::reply reply;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(number, reply);
  }
};

using message = std::variant<forwarded_request, forwarded_reply>;

struct outgoing {
  base::instance_id to;
  operators::message message;
};

} // namespace catkinlanding::operators
