#pragma once

#include <libraries/proxy/message.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// The loads that instances put on endpoints, summed over all instances. A report costs as much as
/// it has endpoints, however many instances there are.
class load_totals {
public:
  void add(std::vector<endpoint_load> const& loads);
  /// Takes loads away that were added before.
  void remove(std::vector<endpoint_load> const& loads);
  void clear() { m_totals.clear(); }
  /// The totals, ordered by endpoint.
  [[nodiscard]] std::vector<endpoint_load> all() const;

private:
  std::map<base::endpoint_id, endpoint_load> m_totals;
};

} // namespace catkinlanding::proxy
