#include <libraries/proxy/relay_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool relay_policy::is_needed(active_request const& request) const {
  bool const is_unreachable =
      m_reachability.is_cut_off() || request.unreached.size() >= m_options.max_unreached;
  return is_unreachable && !request.facts.is_relayed && request.may_run_again() &&
         request.relays.size() < m_options.max_peers && !candidates(request).empty();
}

std::optional<relay> relay_policy::next(active_request& request,
                                        base::random_generator& random) const {
  if (!is_needed(request)) {
    return std::nullopt;
  }
  auto const peers = candidates(request);
  return request.begin_relay(peers[random() % peers.size()]);
}

std::vector<base::instance_id> relay_policy::candidates(active_request const& request) const {
  auto const contains = [](std::vector<base::instance_id> const& all) {
    return
        [&all](base::instance_id const& one) { return std::ranges::find(all, one) != all.end(); };
  };
  std::vector<base::instance_id> chosen;
  std::ranges::remove_copy_if(m_peers, std::back_inserter(chosen), contains(request.relays));
  // One that broke off its answer may be ending, so that an endpoint is the better choice.
  if (chosen.empty() && m_reachability.is_cut_off()) {
    std::ranges::copy_if(m_peers, std::back_inserter(chosen), contains(request.interrupted_relays));
  }
  return chosen;
}

} // namespace catkinlanding::proxy
