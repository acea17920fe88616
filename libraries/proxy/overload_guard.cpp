#include <libraries/proxy/overload_guard.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

bool is_rejecting(known_endpoint const& endpoint) {
  return endpoint.other_rejections > 0 || !endpoint.rejected_at.empty();
}

} // namespace

void overload_guard::divide_room(endpoint_table const& endpoints, route_table const& routes,
                                 base::monotonic_time now) {
  for (auto const& limit : m_limits.all(now)) {
    auto const* service = routes.find(limit.service);
    auto const slots = service == nullptr ? 0 : service->slots;
    divide_room(limit.service, endpoints.ready(limit.service), slots, now);
  }
}

void overload_guard::divide_room(base::service_id const& service,
                                 std::vector<known_endpoint const*> const& endpoints,
                                 std::uint32_t slots, base::monotonic_time now) {
  auto& room = m_services[service];
  room.by_endpoint.clear();
  room.max_outstanding.reset();
  std::uint64_t all_slots = 0;
  std::uint64_t free_slots = 0;
  for (auto const* one : endpoints) {
    auto const own_slots = one->slots(slots);
    if (own_slots == 0) {
      return;
    }
    all_slots += own_slots;
    free_slots += free_slots_of(*one, own_slots, now);
  }
  room.is_short = 2 * free_slots < all_slots;
  room.max_outstanding = room.outstanding + draw(static_cast<double>(free_slots) / m_instances);
  auto const overbooking = room.is_short ? 1.0 : m_options.overbooking;
  for (auto const* one : endpoints) {
    auto const free = free_slots_of(*one, one->slots(slots), now);
    auto const part = std::min(draw(overbooking * free / m_instances), free);
    room.by_endpoint[one->incarnation()] = one->own_outstanding + part;
  }
}

std::uint32_t overload_guard::free_slots_of(known_endpoint const& endpoint, std::uint32_t slots,
                                            base::monotonic_time now) {
  auto const source = endpoint.incarnation();
  auto const found = m_capacities.find(source);
  auto capacity = slots;
  if (found != m_capacities.end()) {
    auto const regained = (now - found->second.found_at) / m_options.recovery_time_per_slot;
    capacity =
        static_cast<std::uint32_t>(std::min<std::int64_t>(slots, found->second.slots + regained));
  }
  if (is_rejecting(endpoint)) {
    auto const full_at = std::min(capacity, std::max<std::uint32_t>(endpoint.load(), 1));
    m_capacities[source] = {.slots = full_at, .found_at = now};
    return 0;
  }
  auto const limit = m_limits.limit_of(endpoint.announcement.service, now).value_or(slots);
  auto const growth = static_cast<std::uint32_t>(std::max(allowed_rejections(limit), 1.0));
  auto const safe = static_cast<std::uint32_t>(m_options.safe_part * capacity);
  auto const reachable = std::max(safe, endpoint.load() + growth);
  return std::min(capacity, reachable) - std::min({capacity, reachable, endpoint.load()});
}

std::optional<deferral> overload_guard::wait_for(known_endpoint const& endpoint,
                                                 base::monotonic_time now) const {
  auto const source = endpoint.incarnation();
  auto const limit = m_limits.limit_of(endpoint.announcement.service, now);
  if (!limit) {
    return std::nullopt;
  }
  deferral found{.source = source, .kind = notice_kind::rejection_limited};
  auto const rejecting = m_rejecting.find(source);
  if (rejecting != m_rejecting.end() && now < rejecting->second) {
    found.wait = rejecting->second - now;
    return found;
  }
  bool const is_rejecting_others = endpoint.other_rejections >= allowed_rejections(*limit);
  if (is_rejecting_others || !has_room(endpoint)) {
    found.wait = m_options.news_interval;
    return found;
  }
  return std::nullopt;
}

bool overload_guard::has_room(known_endpoint const& endpoint) const {
  auto const found = m_services.find(endpoint.announcement.service);
  if (found == m_services.end() || !found->second.max_outstanding) {
    return true;
  }
  auto const& room = found->second;
  if (room.outstanding >= *room.max_outstanding) {
    return false;
  }
  auto const own = room.by_endpoint.find(endpoint.incarnation());
  // One that was not there when the room was divided is tried with one request.
  auto const max_own = own == room.by_endpoint.end() ? 1 : own->second;
  return endpoint.own_outstanding < max_own;
}

void overload_guard::end_attempt(base::service_id const& service) {
  auto const found = m_services.find(service);
  if (found != m_services.end() && found->second.outstanding > 0) {
    --found->second.outstanding;
  }
}

void overload_guard::note_rejected(endpoint_incarnation const& source,
                                   base::service_id const& service, base::monotonic_time now) {
  auto const limit = m_limits.limit_of(service, now);
  if (!limit) {
    return;
  }
  // Each instance may be rejected once in this time; a random part keeps them apart.
  auto const windows = m_instances / allowed_rejections(*limit);
  auto const pause = std::chrono::duration_cast<base::duration>(m_options.window * windows);
  auto const factor = std::uniform_real_distribution<double>(1.0, 1.5)(m_random);
  m_rejecting[source] =
      now + std::chrono::duration_cast<base::duration>(
                std::clamp(pause, m_options.min_pause, m_options.max_pause) * factor);
}

bool overload_guard::is_contended(base::monotonic_time now) const {
  return !m_rejecting.empty() || std::ranges::any_of(m_services, [&](auto const& item) {
    return item.second.is_short && m_limits.limit_of(item.first, now);
  });
}

void overload_guard::sweep(base::monotonic_time now) {
  m_limits.sweep(now);
  std::erase_if(m_capacities, [&](auto const& item) {
    return now >= item.second.found_at + m_options.max_recovery_time;
  });
  std::erase_if(m_rejecting, [&](auto const& item) { return now >= item.second; });
}

std::uint32_t overload_guard::draw(double value) {
  auto const offset = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
  return static_cast<std::uint32_t>(value + offset);
}

double overload_guard::allowed_rejections(std::uint32_t max_rejections) const {
  constexpr double min_rejections = 0.5;
  return std::max(m_options.used_part * max_rejections, min_rejections);
}

} // namespace catkinlanding::proxy
