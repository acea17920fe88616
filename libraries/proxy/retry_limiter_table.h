#pragma once

#include <libraries/base/identifier.h>
#include <libraries/proxy/retry_limiter.h>

#include <map>

namespace catkinlanding::proxy {

/// The retry limiters of all services.
class retry_limiter_table {
public:
  explicit retry_limiter_table(retry_limiter::options options) : m_options(options) {}

  /// The limiter of the service, which is created at its first use.
  retry_limiter& of(base::service_id const& service);
  /// Divides each limit among this many entry instances.
  void set_instances(std::uint32_t instances);

private:
  retry_limiter::options m_options;
  std::uint32_t m_instances = 1;
  std::map<base::service_id, retry_limiter> m_limiters;
};

} // namespace catkinlanding::proxy
