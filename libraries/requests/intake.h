#pragma once

#include <libraries/requests/active_request.h>
#include <libraries/requests/environment.h>

#include <optional>

namespace catkinlanding::requests {

/// Looks up what the catalogue says of a request that has arrived, and names it.
class intake {
public:
  /// `incarnation` increases with each start of the instance, so that request ids never repeat.
  intake(base::instance_id self, std::uint64_t incarnation)
      : m_self(std::move(self)), m_incarnation(incarnation) {}

  /// Fills in the request's customer, class, deadline, id and session. Returns why it is refused
  /// if the catalogue does not allow it, or if this instance takes no requests.
  [[nodiscard]] std::optional<failure> admit(active_request& request,
                                             environment const& environment);
  /// Refuses all requests from now on.
  void drain() { m_is_draining = true; }

private:
  base::instance_id m_self;
  std::uint64_t m_incarnation;
  std::uint64_t m_last_request = 0;
  bool m_is_draining = false;
};

} // namespace catkinlanding::requests
