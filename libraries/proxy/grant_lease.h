#pragma once

#include <libraries/base/time.h>

#include <optional>

namespace catkinlanding::proxy {

/// How long the shares that the leader granted to an entry instance are in force.
///
/// They count from the subscription that the leader answered, not from the arrival of the answer.
/// An update may arrive long after it was sent, over a slow connection or after the instance's
/// machine was suspended, when its shares belong to other instances.
class grant_lease {
public:
  explicit grant_lease(base::duration duration) : m_duration(duration) {}

  /// Records an update, and when the subscription was sent that it answers; empty if that is
  /// unknown. Returns whether its grants apply: not if those of a later subscription arrived
  /// before.
  [[nodiscard]] bool note_update(std::optional<base::monotonic_time> requested_at) {
    if (requested_at && m_requested_at && *requested_at < *m_requested_at) {
      return false;
    }
    m_requested_at = requested_at ? requested_at : m_requested_at;
    return true;
  }

  /// Also true before the first update that answers a known subscription. Until then only
  /// `subscriber::is_connected` limits how long grants are used.
  [[nodiscard]] bool is_current(base::monotonic_time now) const {
    return !m_requested_at || now < *m_requested_at + m_duration;
  }

private:
  base::duration m_duration;
  std::optional<base::monotonic_time> m_requested_at;
};

} // namespace catkinlanding::proxy
