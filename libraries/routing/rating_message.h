#pragma once

#include <libraries/base/address.h>
#include <libraries/routing/policy.h>

#include <memory>
#include <string>
#include <vector>

namespace catkinlanding::routing {

/// Verdict of a rating service on one answer.
enum class judgement : std::uint8_t {
  good,
  poor,
  /// There is no rating service, or it did not answer in time.
  unknown,
};

/// An answer and its request, as sent to a rating service.
struct rated_answer {
  base::model_id model;
  base::version_id version;
  base::class_id request_class;
  /// The caller's request, unmodified.
  std::shared_ptr<std::string const> request;
  std::string answer;
};

/// Sends an answer to a rating service.
struct rating_request {
  std::uint64_t number = 0;
  base::address address;
  rated_answer subject;
};

/// Result of a rating request; `unknown` if no usable reply came.
struct rating_result {
  std::uint64_t number = 0;
  routing::judgement judgement = judgement::unknown;
};

/// The judgement on an answer that was held back. A poor answer is replaced by another version's
/// where there is time and capacity; any other is delivered.
struct held_answer_judgement {
  /// The number of the caller's request.
  std::uint64_t request = 0;
  routing::judgement judgement = judgement::unknown;
};

struct rater_effects {
  std::vector<rating_request> rating_requests;
  std::vector<held_answer_judgement> judgements;
  std::vector<rating> ratings;
};

} // namespace catkinlanding::routing
