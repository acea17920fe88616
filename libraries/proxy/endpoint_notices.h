#pragma once

#include <libraries/proxy/endpoint_notice.h>
#include <libraries/proxy/endpoint_pauses.h>
#include <libraries/proxy/endpoint_rate_limiter.h>

namespace catkinlanding::proxy {

/// What endpoints stated about themselves in their answers to this instance, and what follows for
/// the requests to them.
class endpoint_notices {
public:
  struct options {
    endpoint_rate_limiter::options rates;
    endpoint_pauses::options pauses;
    /// Time until the leader's next grants, while this instance has none.
    base::duration news_interval = std::chrono::milliseconds(200);
  };

  explicit endpoint_notices(options options)
      : m_options(options), m_rates(options.rates), m_pauses(options.pauses) {}

  /// Records the notice of an answer whose request was sent at `sent_at`. Returns what is new.
  std::vector<notice_change> note(endpoint_incarnation const& source, endpoint_notice const& notice,
                                  base::monotonic_time sent_at, base::monotonic_time now);

  [[nodiscard]] bool is_leaving(endpoint_incarnation const& source) const {
    return m_pauses.is_leaving(source);
  }
  /// The endpoints that did not say that they are leaving.
  [[nodiscard]] std::vector<known_endpoint const*>
  without_leaving(std::vector<known_endpoint const*> endpoints) const;
  [[nodiscard]] bool is_paused(endpoint_incarnation const& source, base::monotonic_time now) const {
    return m_pauses.pause_of(source, now).has_value();
  }
  /// The wait until the endpoint accepts a request; empty if it accepts one now. `is_connected`
  /// tells whether the leader's grants are current.
  [[nodiscard]] std::optional<deferral> wait_for(endpoint_incarnation const& source,
                                                 bool is_connected, base::monotonic_time now) const;
  /// The endpoints that are leaving although the table calls them ready.
  [[nodiscard]] std::vector<endpoint_incarnation>
  unknown_leaving(endpoint_table const& endpoints) const;

  [[nodiscard]] endpoint_rate_limiter& rates() { return m_rates; }
  [[nodiscard]] endpoint_rate_limiter const& rates() const { return m_rates; }

  /// Forgets what no longer applies.
  void sweep(endpoint_table const& endpoints, base::monotonic_time now);

private:
  options m_options;
  endpoint_rate_limiter m_rates;
  endpoint_pauses m_pauses;
};

} // namespace catkinlanding::proxy
