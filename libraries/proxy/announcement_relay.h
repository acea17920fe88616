#pragma once

#include <libraries/proxy/message.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Collects the endpoint announcements that a control instance accepts on behalf of the leader, so
/// that the leader gets them in a few messages and holds no connection to each endpoint. Keeps the
/// newest announcement of each endpoint.
class announcement_relay {
public:
  struct options {
    /// Bounds the memory that announcements take up while no leader is known.
    std::size_t max_waiting = 10'000;
    /// Keeps one message from delaying others on the same link.
    std::size_t max_per_message = 256;
    /// With the rest of a message they fit into a datagram. Nobody confirms announcements, and a
    /// connection may lose all of them; what a datagram loses is announced again.
    std::size_t max_bytes_per_message = 1000;
  };

  explicit announcement_relay(options options) : m_options(options) {}

  /// Returns whether the announcement will be passed on, or is known to be superseded.
  [[nodiscard]] bool add(endpoint_announcement const& announcement);
  /// The announcements since the last call.
  [[nodiscard]] std::vector<relayed_announcements> take();

  /// Number of announcements that were accepted so far.
  [[nodiscard]] std::uint64_t accepted() const { return m_accepted; }

private:
  options m_options;
  std::map<base::endpoint_id, endpoint_announcement> m_waiting;
  std::uint64_t m_accepted = 0;
};

} // namespace catkinlanding::proxy
