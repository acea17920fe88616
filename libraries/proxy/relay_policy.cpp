#include <libraries/proxy/relay_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool relay_policy::is_needed(active_request const& request) const {
  bool const is_unreachable =
      m_reachability.is_cut_off() || request.unreached.size() >= m_options.max_unreached;
  bool const has_peer = std::ranges::any_of(m_peers, [&](base::instance_id const& one) {
    return std::ranges::find(request.relays, one) == request.relays.end();
  });
  return is_unreachable && has_peer && !request.facts.is_relayed && request.has_attempts_left() &&
         request.relays.size() < m_options.max_peers;
}

std::optional<relay> relay_policy::next(active_request& request,
                                        base::random_generator& random) const {
  if (!is_needed(request)) {
    return std::nullopt;
  }
  auto peers = m_peers;
  std::erase_if(peers, [&](base::instance_id const& one) {
    return std::ranges::find(request.relays, one) != request.relays.end();
  });
  if (peers.empty()) {
    return std::nullopt;
  }
  return request.begin_relay(peers[random() % peers.size()]);
}

} // namespace catkinlanding::proxy
