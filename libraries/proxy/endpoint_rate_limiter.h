#pragma once

#include <libraries/base/random.h>
#include <libraries/proxy/endpoint_rate.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Keeps one entry instance's requests to each endpoint within the rate that the endpoint accepts
/// from all instances together.
///
/// The leader divides the rate and grants shares. Between an answer that states a rate and the next
/// grant nothing is sent; an instance without a leader uses a part that is safe for all. Requests
/// keep a distance and save nothing up, so many instances that were idle can't all send at once.
class endpoint_rate_limiter {
public:
  struct options {
    /// An endpoint's own statement overrides grants that do not include it yet for this long.
    base::duration notice_precedence = std::chrono::seconds(2);
    /// An endpoint that states a lower rate gets this many requests a second, by which instances
    /// learn that the limit has ended.
    double min_rate = 0.2;
    /// A statement that was not seen again for this long no longer applies.
    base::duration notice_lifetime = std::chrono::seconds(30);
    /// A new leader grants no shares for this long after its election. Shares that it does not name
    /// are kept meanwhile.
    base::duration handover_time = std::chrono::seconds(2);
    /// The longest time after grants arrived until this instance counts as without a leader. Random
    /// distances are measured from its end: measured from the grants, many would already be over.
    base::duration contact_timeout = std::chrono::milliseconds(1800);
    std::uint64_t seed = 0;
  };

  /// How a statement changed what the instance knows.
  enum class change : std::uint8_t { none, limited, lifted };

  explicit endpoint_rate_limiter(options options) : m_options(options), m_random(options.seed) {}

  void set_instances(std::uint32_t count) { m_instances = count; }
  /// Records the rate that an answer states, or that it states none. `sent_at` is when its request
  /// was sent: an answer to an older request does not end a limit.
  [[nodiscard]] change note_answer(endpoint_incarnation const& source, std::optional<double> rate,
                                   base::monotonic_time sent_at, base::monotonic_time now);
  /// Replaces the shares that the leader grants. `is_complete` tells whether the leader has heard
  /// of all endpoints; until then what it does not name keeps its share for the handover time, as
  /// the former leader may have limited an endpoint that this one does not know yet.
  void apply(std::vector<rate_grant> const& grants, base::monotonic_time now,
             bool is_complete = true);

  /// Returns when the next request may be sent to the endpoint; a time in the past or present if it
  /// may be sent now. `is_connected` tells whether the leader's grants are current.
  [[nodiscard]] base::monotonic_time next_send_at(endpoint_incarnation const& source,
                                                  bool is_connected,
                                                  base::monotonic_time now) const;
  /// The mean time between two requests to the endpoint; zero if it is not limited, or if this
  /// instance has no share of its rate.
  [[nodiscard]] base::duration spacing(endpoint_incarnation const& source, bool is_connected,
                                       base::monotonic_time now) const;
  /// When this instance first learned of the endpoint's limit; empty if it knows of none.
  [[nodiscard]] std::optional<base::monotonic_time>
  learned_at(endpoint_incarnation const& source) const;
  void note_sent(endpoint_incarnation const& source, base::monotonic_time now);
  /// What the endpoints stated to this instance, for the leader.
  [[nodiscard]] std::vector<rate_notice> notices(base::monotonic_time now) const;
  /// Whether a statement waits for the leader's answer; that of one endpoint, or any.
  [[nodiscard]] bool awaits_grant(endpoint_incarnation const& source,
                                  base::monotonic_time now) const;
  [[nodiscard]] bool awaits_grant(base::monotonic_time now) const;
  /// Forgets statements that no longer apply.
  void sweep(base::monotonic_time now);

private:
  struct limit {
    /// The rate that the endpoint stated to this instance, and when; empty if it ended.
    std::optional<double> stated_rate;
    std::optional<base::monotonic_time> stated_at;
    std::optional<rate_grant> grant;
    /// When an update last named the endpoint.
    base::monotonic_time named_at{};
    base::monotonic_time learned_at{};
    /// When the last request was sent, or when the limit was learned.
    base::monotonic_time last_sent_at{};
    /// Random part of the distance between requests while the instance has no leader, so that
    /// instances which lose it together don't send together.
    double phase = 0.0;
  };

  [[nodiscard]] double random_phase();
  [[nodiscard]] bool awaits_grant(limit const& known, base::monotonic_time now) const;
  [[nodiscard]] limit& limit_for(endpoint_incarnation const& source, base::monotonic_time now);
  [[nodiscard]] base::monotonic_time next_with_grant(limit const& known) const;
  [[nodiscard]] base::monotonic_time next_without_leader(limit const& known) const;
  /// Whether an instance without a leader limits its requests. Its last grant limits them too,
  /// until `notice_lifetime` is over if the endpoint's answers state no rate: the endpoint was
  /// limited only while it was cold.
  [[nodiscard]] bool is_limited_without_leader(limit const& known, base::monotonic_time now) const;
  /// The part of the rate that is safe for an instance without a leader, in requests a second.
  [[nodiscard]] double isolated_rate(limit const& known) const;

  options m_options;
  base::random_generator m_random;
  std::uint32_t m_instances = 1;
  /// When the leader's grants last arrived.
  base::monotonic_time m_granted_at{};
  std::map<endpoint_incarnation, limit> m_limits;
};

} // namespace catkinlanding::proxy
