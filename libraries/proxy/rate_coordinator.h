#pragma once

#include <libraries/proxy/endpoint_rate.h>
#include <libraries/warmup/cold_endpoints.h>
#include <libraries/warmup/share_holders.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Divides the rates that endpoints state, and those of cold endpoints, among the entry instances.
/// Run by the leader.
///
/// A few instances, those that reported the endpoint first, share its rate; the others leave it
/// alone. With few holders each can send often enough to use its share, and the requests that all
/// of them may have saved up by their distance stay few. While an endpoint is cold, the lower of
/// its two rates is divided, by the shares of cold endpoints.
class rate_coordinator {
public:
  struct options {
    /// Number of instances that share an endpoint: this many, and one more for each request a
    /// second.
    std::size_t min_holders = 2;
    /// An endpoint that states a lower rate gets this many requests a second.
    double min_rate = 0.2;
    /// A statement that no instance saw again for this long no longer applies.
    base::duration notice_lifetime = std::chrono::seconds(30);
    /// No shares are granted for this long after an election, until the former leader's grants have
    /// ended.
    base::duration handover_time = std::chrono::seconds(2);
    warmup::share_holders::options cold_shares;
  };

  explicit rate_coordinator(options options)
      : m_options(options), m_cold_shares(options.cold_shares) {}

  /// Forgets the shares granted in an earlier term.
  void begin_term(base::monotonic_time now);
  void report(base::instance_id const& from, std::vector<rate_notice> const& notices,
              base::monotonic_time now);
  /// Takes back the shares of an instance whose grants have ended because it lost contact.
  void release(base::instance_id const& instance);
  /// Replaces the instances that may hold shares of cold endpoints.
  void use_instances(std::vector<base::instance_id> instances) {
    m_cold_shares.use_instances(std::move(instances));
  }
  /// The instance's shares of all rates that are stated now, or that hold because an endpoint is
  /// cold. They count as granted, so the instance must be sent them.
  [[nodiscard]] std::vector<rate_grant> grants_for(base::instance_id const& instance,
                                                   base::monotonic_time now);
  /// Forgets statements that no longer apply.
  void tick(base::monotonic_time now);

  [[nodiscard]] warmup::cold_endpoints& cold() { return m_cold; }
  [[nodiscard]] warmup::cold_endpoints const& cold() const { return m_cold; }

private:
  struct stated_rate {
    std::uint64_t incarnation = 0;
    /// Requests a second; empty if the endpoint no longer states a rate.
    std::optional<double> rate;
    base::monotonic_time stated_at{};
    std::vector<base::instance_id> holders;
  };

  void take(base::instance_id const& from, rate_notice const& notice, base::monotonic_time now);
  /// The rate that holds for a cold endpoint; empty if it has no limit for being cold.
  [[nodiscard]] std::optional<double> cold_rate(endpoint_incarnation const& source,
                                                base::monotonic_time now) const;
  [[nodiscard]] std::size_t max_holders(double rate) const;

  options m_options;
  base::monotonic_time m_granting_from{};
  std::map<base::endpoint_id, stated_rate> m_rates;
  warmup::cold_endpoints m_cold;
  warmup::share_holders m_cold_shares;
};

} // namespace catkinlanding::proxy
