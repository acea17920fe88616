#include <libraries/proxy/retry_limiter_table.h>

namespace catkinlanding::proxy {

retry_limiter& retry_limiter_table::of(base::service_id const& service) {
  auto const [entry, is_new] = m_limiters.try_emplace(service, m_options);
  if (is_new) {
    entry->second.set_instances(m_instances);
  }
  return entry->second;
}

void retry_limiter_table::set_instances(std::uint32_t instances) {
  m_instances = instances;
  for (auto& [service, limiter] : m_limiters) {
    limiter.set_instances(instances);
  }
}

} // namespace catkinlanding::proxy
