#pragma once

#include <libraries/cascade/capacity.h>

#include <cstdint>

namespace catkinlanding::cascade {

/// What becomes of an answer in which its model has too little confidence.
enum class choice_reason : std::uint8_t {
  /// The largest model is asked to take its place.
  replaced,
  /// Its confidence is not below the limit that follows from the idle capacity.
  short_of_capacity,
  /// The retry limit allows no second run.
  short_of_retries,
  /// The largest model's answer would come too late, or no endpoint takes it.
  not_possible,
};

[[nodiscard]] constexpr char const* name_of(choice_reason reason) {
  switch (reason) {
  case choice_reason::replaced:
    return "replaced";
  case choice_reason::short_of_capacity:
    return "short_of_capacity";
  case choice_reason::short_of_retries:
    return "short_of_retries";
  case choice_reason::not_possible:
    return "not_possible";
  }
  return "unknown";
}

/// A decision on a doubtful answer and its inputs, for the log.
struct choice {
  choice_reason reason = choice_reason::not_possible;
  /// The confidence of the answer, from 0 to 1.
  double confidence = 0.0;
  /// The confidence below which it is replaced.
  double limit = 0.0;
  double idle_share = 0.0;
};

/// Decides which answers of the smaller models of a route are replaced by the largest one, so that
/// as many requests as the endpoints have capacity for get an answer that is more likely good than
/// poor, at the lowest cost.
///
/// The smallest model runs first: it takes a fraction of the time, and its confidence tells for
/// which requests that was enough.
class model_choice {
public:
  struct options {
    /// An answer in which the model has less confidence, from 0 to 1, is more likely poor than
    /// good.
    double min_confidence = 0.5;
    /// With a larger part of the endpoints idle every doubtful answer may be replaced. Below it the
    /// limit falls in proportion: the least confident answers gain most by a second run, and a run
    /// of the largest model takes the time of many first ones.
    double ample_idle_share = 0.25;
    /// Whether the limit follows the capacity. If not, it is `min_confidence`.
    bool follows_capacity = false;
  };

  explicit model_choice(options options) : m_options(options) {}

  /// Whether an answer with this confidence is more likely poor than good.
  [[nodiscard]] bool is_doubtful(double confidence) const {
    return confidence < m_options.min_confidence;
  }
  /// The confidence below which an answer is replaced, with this capacity left.
  [[nodiscard]] double limit(capacity const& left) const;

private:
  options m_options;
};

} // namespace catkinlanding::cascade
