#include <libraries/proxy/load_sum.h>

#include <utility>

namespace catkinlanding::proxy {

void load_sum::add(std::vector<endpoint_load> const& loads) {
  for (auto const& load : loads) {
    auto& sum = m_sums[load.endpoint];
    sum.outstanding += load.outstanding;
    sum.pending_work += load.pending_work;
  }
}

std::vector<endpoint_load> load_sum::take() {
  std::vector<endpoint_load> loads;
  loads.reserve(m_sums.size());
  for (auto& [endpoint, sum] : std::exchange(m_sums, {})) {
    loads.push_back({endpoint, sum.outstanding, sum.pending_work});
  }
  return loads;
}

} // namespace catkinlanding::proxy
