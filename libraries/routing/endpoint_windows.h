#pragma once

#include <libraries/base/random.h>
#include <libraries/endpoints/directory.h>

#include <tl/expected.hpp>

#include <map>
#include <vector>

namespace catkinlanding::routing {

/// How many attempts this instance may have at each endpoint, and which endpoint it should prefer.
///
/// The instances of a zone share its endpoints without asking each other. Each report of load moves
/// the window of an instance by its part of the room that the endpoint has left, so that no report,
/// however old, makes all instances run to one endpoint.
class endpoint_windows {
public:
  struct options {
    /// Entry instances that share the endpoints, this one included.
    std::size_t instances = 1;
    /// Work that an endpoint should hold, as a share of its slots.
    double target_utilisation = 1.0;
    /// Part of the room reported that is taken up at one report.
    double gain = 0.5;
    /// An endpoint that came back gets its full window after this time.
    base::duration slow_start = std::chrono::seconds(5);
    /// Endpoints that are looked at for one choice.
    std::size_t candidates = 4;
    /// The list of endpoints that serve a version is kept for this long.
    base::duration ring_max_age = std::chrono::milliseconds(250);
    /// A cached prefix is worth this much load, as a share of the slots.
    double affinity_bonus = 0.25;
  };

  explicit endpoint_windows(options options) : m_options(options) {}

  /// How many other entry instances share the endpoints from now on.
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

  /// The endpoint did not take or finish an attempt: it gets nothing more before its next report.
  void suspend(base::endpoint_id const& endpoint);

private:
  struct window {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    double size = 0.0;
    /// Work of other instances, by the last report.
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
