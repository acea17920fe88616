#include <libraries/base/hash.h>
#include <libraries/routing/endpoint_windows.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::routing {

namespace {

constexpr std::size_t max_cached_rings = 256;
constexpr double min_ramp = 0.1;

} // namespace

tl::expected<base::endpoint_id, endpoint_windows::pick_error>
endpoint_windows::pick(endpoints::served_version const& version, pick_query const& pick_query,
                       endpoints::directory const& directory, base::monotonic_time now,
                       base::random_generator& random) {
  auto const& points = ring_of(version, directory, now).points;
  bool is_any_fresh = false;
  endpoints::directory::record const* best = nullptr;
  double best_score = 0.0;
  auto const consider = [&](base::endpoint_id const& endpoint, bool is_affine) {
    auto const* record = directory.find(endpoint);
    if (record == nullptr || !directory.can_receive_work(endpoint, now) ||
        pick_query.excluded.contains(endpoint)) {
      return;
    }
    is_any_fresh = true;
    auto const& window = window_of(*record, now, random);
    if (record->outstanding >= window.size) {
      return;
    }
    double const slots = std::max(1U, record->announcement.slots);
    double const score = (record->outstanding + window.peer_load) / slots -
                         (is_affine ? m_options.affinity_bonus : 0.0);
    if (best == nullptr || score < best_score) {
      best = record;
      best_score = score;
    }
  };
  if (!points.empty()) {
    if (pick_query.session) {
      auto const hash = base::stable_hash(pick_query.session->value);
      auto it = std::ranges::lower_bound(points, hash, {}, &point::hash);
      consider(it == points.end() ? points.front().endpoint : it->endpoint, true);
    }
    // Scanning consecutive points from a random start visits no endpoint twice. The scan goes on
    // past the number of candidates while none has room.
    auto const start = random() % points.size();
    for (std::size_t i = 0; i < points.size(); ++i) {
      if (i >= m_options.candidates && best != nullptr) {
        break;
      }
      if (i >= m_options.candidates * m_options.candidates) {
        break;
      }
      consider(points[(start + i) % points.size()].endpoint, false);
    }
  }
  if (best != nullptr) {
    return best->announcement.endpoint;
  }
  return tl::unexpected(is_any_fresh ? pick_error::busy : pick_error::no_endpoint);
}

void endpoint_windows::suspend(base::endpoint_id const& endpoint) {
  if (auto const it = m_windows.find(endpoint); it != m_windows.end()) {
    it->second.size = 0.0;
  }
}

endpoint_windows::ring const& endpoint_windows::ring_of(endpoints::served_version const& version,
                                                        endpoints::directory const& directory,
                                                        base::monotonic_time now) {
  auto const known = m_rings.find(version);
  if (known != m_rings.end() && now < known->second.made_at + m_options.ring_max_age) {
    return known->second;
  }
  if (m_rings.size() >= max_cached_rings) {
    m_rings.clear();
  }
  ring made{.made_at = now, .points = {}};
  for (auto const* record : directory.serving(version, now)) {
    auto const& id = record->announcement.endpoint;
    made.points.push_back({base::stable_hash(id.value), id});
  }
  std::ranges::sort(made.points, {}, &point::hash);
  prune(directory);
  return m_rings[version] = std::move(made);
}

endpoint_windows::window const&
endpoint_windows::window_of(endpoints::directory::record const& record, base::monotonic_time now,
                            base::random_generator& random) {
  auto const& announcement = record.announcement;
  auto [it, is_new] = m_windows.try_emplace(announcement.endpoint);
  auto& window = it->second;
  if (is_new || window.incarnation != announcement.incarnation) {
    window = {.incarnation = announcement.incarnation};
  }
  if (window.sequence == announcement.sequence) {
    return window;
  }
  window.sequence = announcement.sequence;
  // A stale report may show less load than this instance alone has in flight there.
  double const reported =
      std::max<double>(announcement.load.running + announcement.load.waiting, record.outstanding);
  window.peer_load = reported - record.outstanding;
  auto const instances = static_cast<double>(m_options.instances);
  double const wanted = m_options.target_utilisation * announcement.slots;
  double size = record.outstanding + m_options.gain * (wanted - reported) / instances;
  double const age = std::chrono::duration<double>(now - record.active_since) /
                     std::chrono::duration<double>(m_options.slow_start);
  // Each instance keeps at least an equal part of the endpoint, so that none is starved.
  size = std::max(size, wanted / instances * std::clamp(age, min_ramp, 1.0));
  // Randomized rounding: the windows of many instances add up to the right total on average.
  double const whole = std::floor(size);
  bool const rounds_up = std::uniform_real_distribution<double>(0.0, 1.0)(random) < size - whole;
  window.size = whole + (rounds_up ? 1.0 : 0.0);
  return window;
}

void endpoint_windows::prune(endpoints::directory const& directory) {
  std::erase_if(m_windows, [&](auto const& item) { return directory.find(item.first) == nullptr; });
}

} // namespace catkinlanding::routing
