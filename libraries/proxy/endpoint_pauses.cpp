#include <libraries/proxy/endpoint_pauses.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool endpoint_pauses::note_leaving(endpoint_incarnation const& source, base::monotonic_time now) {
  auto& known = m_statements[source];
  if (known.left_at) {
    return false;
  }
  known.left_at = now;
  return true;
}

bool endpoint_pauses::note_pause(endpoint_incarnation const& source, base::duration length,
                                 base::monotonic_time now) {
  auto& known = m_statements[source];
  bool const is_new = !is_paused(known, now);
  auto const extension =
      std::uniform_real_distribution<double>(0.0, m_options.max_extension)(m_random);
  auto const until = now + length + std::chrono::duration_cast<base::duration>(length * extension);
  if (is_new || until > known.latest_pause->until) {
    known.latest_pause = pause{.stated_at = now, .until = until};
  }
  return is_new;
}

bool endpoint_pauses::is_leaving(endpoint_incarnation const& source) const {
  auto const found = m_statements.find(source);
  return found != m_statements.end() && found->second.left_at;
}

std::optional<endpoint_pauses::pause> endpoint_pauses::pause_of(endpoint_incarnation const& source,
                                                                base::monotonic_time now) const {
  auto const found = m_statements.find(source);
  bool const is_paused_now = found != m_statements.end() && is_paused(found->second, now);
  return is_paused_now ? found->second.latest_pause : std::nullopt;
}

bool endpoint_pauses::is_paused(statement const& known, base::monotonic_time now) {
  return known.latest_pause && now < known.latest_pause->until;
}

std::vector<endpoint_incarnation> endpoint_pauses::leaving() const {
  std::vector<endpoint_incarnation> sources;
  for (auto const& [source, known] : m_statements) {
    if (known.left_at) {
      sources.push_back(source);
    }
  }
  return sources;
}

void endpoint_pauses::sweep(endpoint_table const& endpoints, base::monotonic_time now) {
  std::erase_if(m_statements, [&](auto const& item) {
    return is_obsolete(item.first, item.second, endpoints, now);
  });
}

bool endpoint_pauses::is_obsolete(endpoint_incarnation const& source, statement const& known,
                                  endpoint_table const& endpoints, base::monotonic_time now) const {
  if (is_paused(known, now)) {
    return false;
  }
  if (!known.left_at) {
    return true;
  }
  auto const* endpoint = endpoints.find(source.endpoint);
  bool const is_known = endpoint != nullptr && endpoint->incarnation() == source;
  return !is_known && now >= *known.left_at + m_options.retention;
}

} // namespace catkinlanding::proxy
