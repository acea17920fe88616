#pragma once

#include <libraries/cascade/model_choice.h>
#include <libraries/proxy/answer_times.h>
#include <libraries/proxy/attempt_report.h>
#include <libraries/proxy/escalation_policy.h>
#include <libraries/proxy/retry_limiter_table.h>
#include <libraries/proxy/stall_policy.h>

#include <optional>

namespace catkinlanding::proxy {

/// Decides by the time that answers take, and by the time that a request's caller has left, which
/// attempts are worth beginning and which are given up. Keeps the retries within their limit.
class attempt_monitor {
public:
  struct options {
    stall_policy stalls;
    cascade::model_choice::options models;
    /// Applied to each service separately.
    retry_limiter::options retries;
  };

  explicit attempt_monitor(options options)
      : m_options(options), m_retries(options.retries), m_models(options.models) {}

  void set_instances(std::uint32_t instances) { m_retries.set_instances(instances); }
  /// Forgets the routes that the table does not have.
  void keep_only(route_table const& routes) { m_times.keep_only(routes); }

  void note_request(active_request const& request, base::monotonic_time now);
  void note_answer(active_request const& request, base::monotonic_time now);
  /// Records that events of the current attempt's stream are about to be taken.
  void note_events(active_request const& request, base::monotonic_time now);
  void note_completed(active_request const& request, base::monotonic_time now);
  void note_failure(active_request const& request, attempt_failure failure,
                    base::monotonic_time now);

  /// Whether an attempt that begins now may end in its caller's time. False only if no answer of
  /// the route has come so fast, and one has come lately.
  [[nodiscard]] bool has_time(active_request const& request, base::monotonic_time now) const;
  /// What an answer to such a request usually takes; zero if unknown.
  [[nodiscard]] base::duration usual_time(active_request const& request) const;
  /// What a whole answer to such a request takes at most, unless something is wrong; nothing if
  /// unknown.
  [[nodiscard]] std::optional<base::duration>
  longest_usual_time(active_request const& request) const {
    return m_times.of(request).whole.longest_usual();
  }
  /// The model for a request that may run once only, at one of these endpoints.
  [[nodiscard]] base::model_id
  model_for_single_attempt(active_request const& request,
                           std::vector<known_endpoint const*> const& endpoints,
                           base::monotonic_time now) const {
    return proxy::model_for_single_attempt(request, m_times, endpoints, now);
  }
  /// How many times as long the request's model takes for a prompt as the smallest of its route.
  [[nodiscard]] double relative_work(active_request const& request) const {
    return m_times.relative_work(request);
  }
  /// When the current attempt is considered stalled; nothing if no other attempt could follow it,
  /// or while too little is known. While another one is held, until when the current one is waited
  /// for. `endpoint` is nullptr if it is not known any more.
  [[nodiscard]] std::optional<base::monotonic_time>
  stall_deadline(active_request const& request, known_endpoint const* endpoint) const;

  /// What the current attempt has come to.
  [[nodiscard]] attempt_report report(active_request const& request, known_endpoint const* endpoint,
                                      base::monotonic_time now) const;

  /// Takes a retry for the request. Returns false if none is left.
  [[nodiscard]] bool try_retry(active_request const& request, base::monotonic_time now);
  /// Whether the current attempt has stalled and another one is expected to be answered in time.
  [[nodiscard]] bool may_replace_stalled(active_request const& request,
                                         known_endpoint const* endpoint,
                                         base::monotonic_time now) const;
  struct service_endpoints {
    /// Those that the request may be sent to next.
    std::vector<known_endpoint const*> others;
    /// All that are ready.
    std::vector<known_endpoint const*> ready;
  };
  /// Whether a better answer than the current one is wanted, by its confidence.
  [[nodiscard]] bool is_doubtful(active_request const& request,
                                 std::optional<double> confidence) const {
    return confidence && m_models.is_doubtful(*confidence) && may_be_escalated(request);
  }
  /// Decides whether the largest model should replace the current answer, which has this
  /// confidence, and takes a retry for it.
  [[nodiscard]] cascade::choice try_escalate(active_request const& request, double confidence,
                                             service_endpoints const& endpoints,
                                             base::monotonic_time now);

private:
  /// Until when an answer that is held back can still be delivered in its caller's time: what its
  /// model usually takes before the end of that, and at least half of the time that was left.
  [[nodiscard]] base::monotonic_time latest_delivery(active_request const& request) const;

  options m_options;
  answer_times m_times;
  retry_limiter_table m_retries;
  cascade::model_choice m_models;
};

} // namespace catkinlanding::proxy
