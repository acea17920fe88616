#pragma once

#include <libraries/base/random.h>
#include <libraries/proxy/endpoint_notice.h>
#include <libraries/proxy/endpoint_table.h>
#include <libraries/proxy/rejection_limits.h>
#include <libraries/proxy/route_table.h>

#include <algorithm>
#include <map>
#include <optional>

namespace catkinlanding::proxy {

/// Keeps requests away from endpoints that have no room for them, where endpoints state that they
/// fail when they have to reject many. Of no effect on other services.
///
/// All instances together use up the free room that they last heard of, each an equal part of it:
/// within a service as a whole, and, more generously, at each endpoint. An endpoint that has
/// rejected a request is left alone for so long that all instances together stay below its limit,
/// however wrong the known loads are. What a service has no room for can be refused at once.
class overload_guard {
public:
  struct options {
    rejection_limits::options limits;
    /// Fraction of the stated rejections that all instances together may cause.
    double used_part = 0.4;
    /// How many times an instance's equal part of an endpoint's free room it may use. Below 1 many
    /// instances with few requests each would find no endpoint though all have room.
    double overbooking = 2.0;
    /// Up to this fraction of its slots an endpoint is expected to have room. Beyond, its load
    /// grows in steps that would not be too many rejections.
    double safe_part = 0.6;
    /// Time in which endpoints count rejections.
    base::duration window = std::chrono::seconds(1);
    /// The shortest and the longest mean time for which an endpoint is left alone after a
    /// rejection. Instances also learn of each other's rejections.
    base::duration min_pause = std::chrono::milliseconds(250);
    base::duration max_pause = std::chrono::seconds(5);
    /// Time until the loads are known anew, and with them the room.
    base::duration news_interval = std::chrono::milliseconds(200);
    /// An endpoint that rejected requests is trusted with one more in each of these times, until it
    /// has all its slots, or until max_recovery_time has passed.
    base::duration recovery_time_per_slot = std::chrono::milliseconds(500);
    base::duration max_recovery_time = std::chrono::seconds(30);
    std::uint64_t seed = 0;
  };

  explicit overload_guard(options options)
      : m_options(options), m_random(options.seed), m_limits(options.limits) {}

  void set_instances(std::uint32_t count) { m_instances = std::max<std::uint32_t>(count, 1); }
  [[nodiscard]] rejection_limits& limits() { return m_limits; }
  [[nodiscard]] rejection_limits const& limits() const { return m_limits; }

  /// Divides the free room of the endpoints of each service that has a limit. Their loads are known
  /// anew.
  void divide_room(endpoint_table const& endpoints, route_table const& routes,
                   base::monotonic_time now);

  /// Why and how long a request has to wait for the endpoint; empty if it may be sent now.
  [[nodiscard]] std::optional<deferral> wait_for(known_endpoint const& endpoint,
                                                 base::monotonic_time now) const;
  void begin_attempt(base::service_id const& service) { ++m_services[service].outstanding; }
  void end_attempt(base::service_id const& service);
  /// Records that the endpoint rejected a request of this instance.
  void note_rejected(endpoint_incarnation const& source, base::service_id const& service,
                     base::monotonic_time now);

  /// Whether the loads should be known sooner than usual: requests were rejected, or less than half
  /// of a service's slots are free.
  [[nodiscard]] bool is_contended(base::monotonic_time now) const;
  /// Forgets what no longer applies.
  void sweep(base::monotonic_time now);

private:
  /// `slots` is the number of concurrent requests of an endpoint that announces none; 0 if unknown.
  void divide_room(base::service_id const& service,
                   std::vector<known_endpoint const*> const& endpoints, std::uint32_t slots,
                   base::monotonic_time now);

  struct service_room {
    /// Requests of this instance in flight, and the most that there may be.
    std::uint32_t outstanding = 0;
    std::optional<std::uint32_t> max_outstanding;
    /// Whether less than half of the slots were free.
    bool is_short = false;
    /// The most at each endpoint.
    std::map<endpoint_incarnation, std::uint32_t> by_endpoint;
  };

  /// The requests that an endpoint held when it rejected one.
  struct capacity {
    std::uint32_t slots = 0;
    base::monotonic_time found_at{};
  };

  /// How many more requests the endpoint can take. One that rejects requests can take none, and
  /// what it held then is its capacity for some time, whatever it announces: its memory may be
  /// short.
  [[nodiscard]] std::uint32_t free_slots_of(known_endpoint const& endpoint, std::uint32_t slots,
                                            base::monotonic_time now);
  /// A whole number whose mean is `value`, so that the parts of all instances add up to the whole.
  [[nodiscard]] std::uint32_t draw(double value);
  /// The rejections in a second that all instances together may cause at an endpoint.
  [[nodiscard]] double allowed_rejections(std::uint32_t max_rejections) const;
  [[nodiscard]] bool has_room(known_endpoint const& endpoint) const;

  options m_options;
  base::random_generator m_random;
  rejection_limits m_limits;
  std::uint32_t m_instances = 1;
  /// Of endpoints that rejected requests although they announce more slots.
  std::map<endpoint_incarnation, capacity> m_capacities;
  std::map<base::service_id, service_room> m_services;
  /// Until when endpoints that rejected a request of this instance are left alone.
  std::map<endpoint_incarnation, base::monotonic_time> m_rejecting;
};

} // namespace catkinlanding::proxy
