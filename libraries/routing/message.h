#pragma once

#include <libraries/base/identifier.h>

#include <cstdint>
#include <vector>

namespace catkinlanding::routing {

/// Rating counts of one arm for one request class.
struct rating_counts {
  base::model_id model;
  base::version_id first;
  base::version_id second;
  base::class_id request_class;
  std::uint32_t good = 0;
  std::uint32_t poor = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(model, first, second, request_class, good, poor);
  }
};

/// Outcome counts of the attempts at one version.
struct outcome_counts {
  base::model_id model;
  base::version_id version;
  std::uint32_t attempts = 0;
  std::uint32_t failed = 0;
  std::uint32_t empty = 0;
  std::uint32_t slow = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(model, version, attempts, failed, empty, slow);
  }
};

/// What one instance has observed of the versions since its last message. A lost message costs
/// evidence and nothing else.
struct evidence {
  std::vector<rating_counts> ratings;
  std::vector<outcome_counts> outcomes;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(ratings, outcomes);
  }
};

using message = evidence;

/// A message and its recipient.
struct outgoing {
  base::instance_id to;
  routing::message message;
};

using effects = std::vector<outgoing>;

} // namespace catkinlanding::routing
