#pragma once

#include <libraries/base/random.h>
#include <libraries/proxy/request.h>

namespace catkinlanding::proxy {

/// Decides when the callers of refused requests are asked to come back.
class refusal_policy {
public:
  struct options {
    /// Range of the randomized retry delay that is suggested to callers whose request was not
    /// executed.
    base::duration min_retry_after = std::chrono::milliseconds(250);
    base::duration max_retry_after = std::chrono::milliseconds(750);
    /// Added to the retry delay before the first document arrives, since the control instances may
    /// still have to elect a leader.
    base::duration recovery_retry_delay = std::chrono::milliseconds(600);
  };

  explicit refusal_policy(options options) : m_options(options) {}

  [[nodiscard]] refusal make(refusal_kind kind, base::random_generator& random) const;

private:
  options m_options;
};

} // namespace catkinlanding::proxy
