#include <libraries/base/hash.h>
#include <libraries/proxy/version_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using endpoints = std::vector<known_endpoint const*>;

constexpr std::uint32_t permille = 1000;
/// Load of the trial's endpoints relative to an average endpoint, so that a fault that needs load
/// shows during the trial.
constexpr std::uint32_t trial_load_percent = 150;

endpoints with_version(endpoints const& all, base::version_id const& version, bool is_wanted) {
  endpoints kept;
  std::ranges::copy_if(all, std::back_inserter(kept), [&](known_endpoint const* one) {
    return (one->announcement.version == version) == is_wanted;
  });
  return kept;
}

/// Selects the few endpoints of the target that receive the trial's requests; the same on all
/// instances.
endpoints trial_endpoints(endpoints target, rollout const& rollout, std::uint32_t trial_permille) {
  auto const seed = base::stable_hash(rollout.target.value, rollout.number);
  std::ranges::sort(target, {}, [&](known_endpoint const* one) {
    return base::stable_hash(one->announcement.id.value, seed);
  });
  auto const part = target.size() * trial_permille * 100 / (permille * trial_load_percent);
  target.resize(std::clamp<std::size_t>(part, 1, target.size()));
  return target;
}

} // namespace

void version_policy::apply(std::vector<rollout> const& rollouts) {
  for (auto const& rollout : rollouts) {
    m_rollouts[rollout.service] = rollout;
  }
}

endpoints version_policy::eligible_endpoints(endpoints all, base::service_id const& service,
                                             request_facts const& facts) const {
  auto const known = m_rollouts.find(service);
  if (known == m_rollouts.end()) {
    return all;
  }
  auto const& rollout = known->second;
  std::erase_if(all, [&](known_endpoint const* one) {
    return rollout.has_rejected(one->announcement.version);
  });
  auto target = with_version(all, rollout.target, true);
  auto old = with_version(all, rollout.target, false);
  switch (rollout.state) {
  case rollout_state::prepared:
  case rollout_state::rolled_back:
    return old;
  case rollout_state::promoted:
  case rollout_state::succeeded:
    return target.empty() ? old : target;
  case rollout_state::on_trial:
    break;
  }
  if (!target.empty() && (old.empty() || is_in_trial_share(rollout, facts))) {
    return trial_endpoints(std::move(target), rollout, m_options.trial_permille);
  }
  return old;
}

endpoints version_policy::old_endpoints(endpoints const& all,
                                        base::service_id const& service) const {
  auto const* rollout = evaluated_rollout(service);
  if (rollout == nullptr) {
    return {};
  }
  auto old = with_version(all, rollout->target, false);
  std::erase_if(old, [&](known_endpoint const* one) {
    return rollout->has_rejected(one->announcement.version);
  });
  return old;
}

rollout const* version_policy::evaluated_rollout(base::service_id const& service) const {
  auto const known = m_rollouts.find(service);
  bool const is_evaluated = known != m_rollouts.end() && known->second.is_evaluated();
  return is_evaluated ? &known->second : nullptr;
}

bool version_policy::has_promoted_rollout() const {
  return std::ranges::any_of(
      m_rollouts, [](auto const& item) { return item.second.state == rollout_state::promoted; });
}

bool version_policy::is_in_trial_share(rollout const& rollout, request_facts const& facts) const {
  auto const& subject = facts.session.is_empty() ? facts.id.value : facts.session.value;
  auto const place = base::stable_hash(subject, rollout.number) % permille;
  return place < m_options.trial_permille;
}

} // namespace catkinlanding::proxy
