#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace catkinlanding::warmup {

/// Requests a second that a cold endpoint of each service can sustain. A service that is not listed
/// has no limit.
using service_rates = std::map<base::service_id, double>;

/// Reads the rates from a document as its operator wrote it.
using rate_reader = std::function<service_rates(std::string const& source)>;

/// The endpoints that are cold, and until when. Bounded by the number of endpoints in the registry.
class cold_endpoints {
public:
  struct cold_endpoint {
    std::uint64_t incarnation = 0;
    base::service_id service;
    base::monotonic_time cold_until{};
  };

  void use_rates(service_rates rates) { m_rates = std::move(rates); }

  /// Records the newest announcement of an endpoint. `cold_left` is the time for which it stays
  /// cold; zero if it is warm.
  void note(base::endpoint_id const& endpoint, std::uint64_t incarnation,
            base::service_id const& service, base::duration cold_left, base::monotonic_time now);
  /// Treats the endpoint as cold until its next announcement says whether it is. An endpoint that
  /// sends none must be erased by the caller once it is found to be silent.
  void await_announcement(base::endpoint_id const& endpoint, std::uint64_t incarnation,
                          base::service_id const& service);
  /// Forgets the endpoints that became warm, or for which `has_ended` returns true.
  void sweep(base::monotonic_time now,
             std::function<bool(base::endpoint_id const&, cold_endpoint const&)> const& has_ended);

  /// Includes the endpoints of services without a limit.
  [[nodiscard]] std::map<base::endpoint_id, cold_endpoint> const& all() const { return m_cold; }
  /// Requests a second that the endpoint can sustain now; empty if it is warm, of another start, or
  /// has no limit.
  [[nodiscard]] std::optional<double> rate_of(base::endpoint_id const& endpoint,
                                              std::uint64_t incarnation,
                                              base::monotonic_time now) const;
  /// Number of cold endpoints of each service that has a limit.
  [[nodiscard]] std::map<base::service_id, std::size_t> count_by_service() const;
  [[nodiscard]] bool has_limit(base::service_id const& service) const {
    return m_rates.contains(service);
  }

private:
  service_rates m_rates;
  std::map<base::endpoint_id, cold_endpoint> m_cold;
};

} // namespace catkinlanding::warmup
