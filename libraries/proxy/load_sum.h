#pragma once

#include <libraries/proxy/message.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Adds up the loads that instances put on endpoints.
class load_sum {
public:
  void add(std::vector<endpoint_load> const& loads);
  /// Returns the sums, ordered by endpoint, and starts anew.
  [[nodiscard]] std::vector<endpoint_load> take();

private:
  std::map<base::endpoint_id, endpoint_load> m_sums;
};

} // namespace catkinlanding::proxy
