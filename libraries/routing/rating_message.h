#pragma once

#include <libraries/base/address.h>
#include <libraries/routing/policy.h>

#include <memory>
#include <string>
#include <vector>

namespace catkinlanding::routing {

/// What the rating service says of one answer.
enum class judgement : std::uint8_t {
  good,
  poor,
  /// There is no rating service, or it did not say in time.
  unknown,
};

/// An answer as the rating service gets it.
struct rated_answer {
  base::model_id model;
  base::version_id version;
  base::class_id request_class;
  /// The caller's request, as it came.
  std::shared_ptr<std::string const> request;
  std::string answer;
};

/// Sends an answer to a rating service.
struct rating_request {
  std::uint64_t number = 0;
  base::address address;
  rated_answer subject;
};

/// What came back of an order; `unknown` where nothing that can be used did.
struct rating_result {
  std::uint64_t number = 0;
  routing::judgement judgement = judgement::unknown;
};

/// The judgement of an answer that is held back.
struct held_answer_judgement {
  /// The number of the caller's request.
  std::uint64_t request = 0;
  routing::judgement judgement = judgement::unknown;
};

struct rater_effects {
  std::vector<rating_request> rating_requests;
  std::vector<held_answer_judgement> judged;
  std::vector<rating> ratings;
};

} // namespace catkinlanding::routing
