#pragma once

#include <libraries/base/random.h>
#include <libraries/proxy/active_request.h>
#include <libraries/proxy/endpoint_reachability.h>

#include <vector>

namespace catkinlanding::proxy {

/// Decides which requests are passed on to other entry instances, because this one can't reach the
/// endpoints, and to which. A request that was passed on isn't passed on again by the other
/// instance.
class relay_policy {
public:
  struct options {
    endpoint_reachability::options reachability;
    /// A request that could not be sent to this many endpoints is passed on, though others may be
    /// reached: connections that are open already may work while new ones fail.
    std::size_t max_unreached = 2;
    /// Other instances that are tried for one request.
    std::size_t max_peers = 3;
  };

  explicit relay_policy(options options)
      : m_options(options), m_reachability(options.reachability) {}

  [[nodiscard]] endpoint_reachability& reachability() { return m_reachability; }
  [[nodiscard]] endpoint_reachability const& reachability() const { return m_reachability; }
  /// Replaces the entry instances that reach the endpoints.
  void use_peers(std::vector<base::instance_id> peers) { m_peers = std::move(peers); }
  [[nodiscard]] bool has_peers() const { return !m_peers.empty(); }

  /// Whether the request is to be passed on rather than sent to an endpoint, if there is an
  /// instance for it.
  [[nodiscard]] bool is_needed(active_request const& request) const;
  /// The instance that the request is to be passed on to; nothing if it is to be sent to an
  /// endpoint, or refused.
  [[nodiscard]] std::optional<relay> next(active_request& request,
                                          base::random_generator& random) const;
  /// Whether a request that can't be passed on is refused, as no further endpoint is likely to be
  /// reached in its time.
  [[nodiscard]] bool is_hopeless(active_request const& request) const {
    return m_reachability.is_cut_off() && request.unreached.size() >= m_options.max_unreached;
  }

private:
  /// The instances that the request may be passed on to: those that were not asked, or else, if no
  /// endpoint is reached, those that had begun to answer.
  [[nodiscard]] std::vector<base::instance_id> candidates(active_request const& request) const;

  options m_options;
  endpoint_reachability m_reachability;
  std::vector<base::instance_id> m_peers;
};

} // namespace catkinlanding::proxy
