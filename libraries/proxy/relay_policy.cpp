#include <libraries/proxy/relay_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

std::optional<relay> relay_policy::next(active_request& request,
                                        base::random_generator& random) const {
  bool const is_needed =
      m_reachability.is_cut_off() || request.unreached.size() >= m_options.max_unreached;
  bool const may_relay = !request.facts.is_relayed && request.has_attempts_left() &&
                         request.relays.size() < m_options.max_peers;
  if (!is_needed || !may_relay) {
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
