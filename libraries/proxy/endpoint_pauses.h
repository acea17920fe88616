#pragma once

#include <libraries/base/random.h>
#include <libraries/proxy/endpoint_rate.h>
#include <libraries/proxy/endpoint_table.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Remembers which endpoints stated in their answers to this instance that they are leaving or that
/// they want no requests for some time. A statement applies to one start of the endpoint, whatever
/// its announcements say.
class endpoint_pauses {
public:
  struct options {
    /// Largest random extension of a pause, as a fraction of it, so that the instances don't return
    /// together.
    double max_extension = 0.2;
    /// How long a leaving endpoint is remembered that the leader does not know any more. It may
    /// become known again, with the same start, after a change of leader.
    base::duration retention = std::chrono::minutes(2);
    std::uint64_t seed = 0;
  };

  explicit endpoint_pauses(options options) : m_options(options), m_random(options.seed) {}

  /// Records that the endpoint is leaving. Returns whether that is new.
  bool note_leaving(endpoint_incarnation const& source, base::monotonic_time now);
  /// Records that the endpoint wants no requests for this long. Returns whether that is new.
  bool note_pause(endpoint_incarnation const& source, base::duration length,
                  base::monotonic_time now);

  [[nodiscard]] bool is_leaving(endpoint_incarnation const& source) const;
  /// A time during which the endpoint wants no requests.
  struct pause {
    base::monotonic_time stated_at{};
    base::monotonic_time until{};
  };
  /// The current pause of the endpoint, if any.
  [[nodiscard]] std::optional<pause> pause_of(endpoint_incarnation const& source,
                                              base::monotonic_time now) const;
  /// The endpoints that stated that they are leaving, for the leader.
  [[nodiscard]] std::vector<endpoint_incarnation> leaving() const;
  /// Forgets pauses that are over, and leaving endpoints that have ended.
  void sweep(endpoint_table const& endpoints, base::monotonic_time now);

private:
  struct statement {
    std::optional<base::monotonic_time> left_at;
    std::optional<pause> latest_pause;
  };

  [[nodiscard]] static bool is_paused(statement const& known, base::monotonic_time now);
  [[nodiscard]] bool is_obsolete(endpoint_incarnation const& source, statement const& known,
                                 endpoint_table const& endpoints, base::monotonic_time now) const;

  options m_options;
  base::random_generator m_random;
  std::map<endpoint_incarnation, statement> m_statements;
};

} // namespace catkinlanding::proxy
