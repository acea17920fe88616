#pragma once

#include <libraries/base/random.h>
#include <libraries/endpoints/directory.h>

#include <tl/expected.hpp>

#include <map>
#include <vector>

namespace catkinlanding::routing {

/// Concurrency windows of this instance: the number of attempts it may have in flight at each
/// endpoint. Picks the least loaded endpoint whose window has room.
///
/// The instances of a zone share its endpoints without coordination. Each load report moves the
/// window of an instance by its part of the endpoint's free capacity only, so that a report,
/// however stale, never sends all instances to the same endpoint.
class endpoint_windows {
public:
  struct options {
    /// Entry instances that share the endpoints, this one included.
    std::size_t instances = 1;
    /// Target load of an endpoint as a share of its slots.
    double target_utilisation = 1.0;
    /// Share of the reported free capacity that one report adds to the windows.
    double gain = 0.5;
    /// Time after which a returning endpoint gets its full window.
    base::duration slow_start = std::chrono::seconds(5);
    /// Endpoints compared for one pick; more are tried while none has room.
    std::size_t candidates = 4;
    /// Time for which the list of endpoints serving a version is cached.
    base::duration ring_max_age = std::chrono::milliseconds(250);
    /// Load advantage of the endpoint that the session hashes to, as a share of the slots. It is
    /// likely to have the session's prompt prefix cached.
    double affinity_bonus = 0.25;
  };

  explicit endpoint_windows(options options) : m_options(options) {}

  /// Sets how many other entry instances share the endpoints.
  void set_peer_count(std::size_t peers) { m_options.instances = peers + 1; }

  enum class pick_error : std::uint8_t { no_endpoint, busy };

  struct pick_query {
    std::optional<base::session_id> session;
    std::set<base::endpoint_id> const& excluded;
  };

  [[nodiscard]] tl::expected<base::endpoint_id, pick_error>
  pick(endpoints::served_version const& version, pick_query const& pick_query,
       endpoints::directory const& directory, base::monotonic_time now,
       base::random_generator& random);

  /// Closes the window until the endpoint's next report, after an attempt that it refused or did
  /// not finish.
  void suspend(base::endpoint_id const& endpoint);

private:
  struct window {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    double size = 0.0;
    /// Load from other instances according to the last report.
    double peer_load = 0.0;
  };

  struct point {
    std::uint64_t hash = 0;
    base::endpoint_id endpoint;
  };

  struct ring {
    base::monotonic_time made_at{};
    std::vector<point> points;
  };

  [[nodiscard]] ring const& ring_of(endpoints::served_version const& version,
                                    endpoints::directory const& directory,
                                    base::monotonic_time now);
  [[nodiscard]] window const& window_of(endpoints::directory::record const& record,
                                        base::monotonic_time now, base::random_generator& random);
  void prune(endpoints::directory const& directory);

  options m_options;
  std::map<endpoints::served_version, ring> m_rings;
  std::map<base::endpoint_id, window> m_windows;
};

} // namespace catkinlanding::routing
