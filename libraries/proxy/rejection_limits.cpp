#include <libraries/proxy/rejection_limits.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool rejection_limits::note(base::service_id const& service, std::uint32_t max_rejections,
                            base::monotonic_time now) {
  bool const is_new = limit_of(service, now) != max_rejections;
  m_statements[service] = {.max_rejections = max_rejections, .stated_at = now};
  return is_new;
}

void rejection_limits::merge(std::vector<rejection_limit> const& limits, base::monotonic_time now) {
  sweep(now);
  for (auto const& limit : limits) {
    auto const stated_at = now - std::max(limit.age, base::duration::zero());
    auto const [entry, is_new] = m_statements.try_emplace(limit.service);
    if (is_new || stated_at > entry->second.stated_at) {
      entry->second = {.max_rejections = limit.max_rejections, .stated_at = stated_at};
    }
  }
}

std::optional<std::uint32_t> rejection_limits::limit_of(base::service_id const& service,
                                                        base::monotonic_time now) const {
  auto const found = m_statements.find(service);
  bool const is_known = found != m_statements.end() && is_current(found->second, now);
  return is_known ? std::optional(found->second.max_rejections) : std::nullopt;
}

std::vector<rejection_limit> rejection_limits::all(base::monotonic_time now) const {
  std::vector<rejection_limit> limits;
  for (auto const& [service, known] : m_statements) {
    if (is_current(known, now)) {
      limits.push_back({.service = service,
                        .max_rejections = known.max_rejections,
                        .age = now - known.stated_at});
    }
  }
  return limits;
}

void rejection_limits::sweep(base::monotonic_time now) {
  std::erase_if(m_statements, [&](auto const& item) { return !is_current(item.second, now); });
}

} // namespace catkinlanding::proxy
