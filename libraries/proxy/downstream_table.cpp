#include <libraries/proxy/downstream_table.h>
#include <libraries/proxy/load_sum.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool downstream_table::note(base::instance_id const& from, subscription const& subscription,
                            base::monotonic_time now) {
  auto const [entry, is_new] = m_downstreams.try_emplace(from);
  auto& downstream = entry->second;
  downstream.known = subscription.known;
  downstream.is_entry = subscription.is_entry;
  downstream.last_request_at = now;
  downstream.loads = subscription.loads;
  return is_new;
}

void downstream_table::note_known(base::instance_id const& from, known_state const& known) {
  auto const found = m_downstreams.find(from);
  if (found != m_downstreams.end()) {
    found->second.known = known;
  }
}

std::vector<base::instance_id> downstream_table::drop_silent(base::monotonic_time now) {
  std::vector<base::instance_id> dropped;
  std::erase_if(m_downstreams, [&](auto const& item) {
    bool const is_silent = now >= item.second.last_request_at + m_options.timeout;
    if (is_silent) {
      dropped.push_back(item.first);
    }
    return is_silent;
  });
  return dropped;
}

std::uint32_t downstream_table::count_entries() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(m_downstreams, [](auto const& item) { return item.second.is_entry; }));
}

std::vector<endpoint_load>
downstream_table::loads_without(base::instance_id const& instance) const {
  load_sum sum;
  for (auto const& [id, downstream] : m_downstreams) {
    if (id != instance) {
      sum.add(downstream.loads);
    }
  }
  return sum.take();
}

} // namespace catkinlanding::proxy
