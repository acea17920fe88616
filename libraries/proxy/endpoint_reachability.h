#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <map>
#include <optional>

namespace catkinlanding::proxy {

/// Decides whether this instance is cut off from all endpoints, from connections to them that could
/// not be opened. A few endpoints in a row without a sign of any other are no coincidence of their
/// own failures. Whoever is cut off tries one connection at a time until one opens.
class endpoint_reachability {
public:
  struct options {
    /// Endpoints that could not be connected to, of any service, since any endpoint was heard.
    std::size_t min_unreachable = 3;
    /// Older failures say nothing about now.
    base::duration evidence_lifetime = std::chrono::seconds(2);
    base::duration probe_interval = std::chrono::milliseconds(250);
  };

  explicit endpoint_reachability(options options) : m_options(options) {}

  void note_unreachable(base::endpoint_id const& endpoint, base::monotonic_time now);
  /// An endpoint accepted a connection. Returns whether this instance was cut off.
  bool note_reached();
  /// An endpoint answered on an open connection. That does not tell whether new ones can be opened,
  /// so it does not end a cut.
  void note_heard();

  [[nodiscard]] bool is_cut_off() const { return m_is_cut_off; }
  /// Whether a connection to an endpoint is to be tried now. Counts as tried if so.
  [[nodiscard]] bool take_probe(base::monotonic_time now);

private:
  options m_options;
  /// When each endpoint could not be connected to, since any endpoint was heard.
  std::map<base::endpoint_id, base::monotonic_time> m_unreachable;
  base::monotonic_time m_probed_at{};
  bool m_is_cut_off = false;
};

} // namespace catkinlanding::proxy
