#include <libraries/proxy/load_totals.h>

namespace catkinlanding::proxy {

void load_totals::add(std::vector<endpoint_load> const& loads) {
  for (auto const& load : loads) {
    auto& total = m_totals[load.endpoint];
    total.endpoint = load.endpoint;
    total.outstanding += load.outstanding;
    total.pending_work += load.pending_work;
    total.rejections += load.rejections;
  }
}

void load_totals::remove(std::vector<endpoint_load> const& loads) {
  for (auto const& load : loads) {
    auto const found = m_totals.find(load.endpoint);
    if (found == m_totals.end()) {
      continue;
    }
    auto& total = found->second;
    total.outstanding -= load.outstanding;
    total.pending_work -= load.pending_work;
    total.rejections -= load.rejections;
    if (total.outstanding == 0 && total.pending_work == 0 && total.rejections == 0) {
      m_totals.erase(found);
    }
  }
}

std::vector<endpoint_load> load_totals::all() const {
  std::vector<endpoint_load> loads;
  loads.reserve(m_totals.size());
  for (auto const& [endpoint, total] : m_totals) {
    loads.push_back(total);
  }
  return loads;
}

} // namespace catkinlanding::proxy
