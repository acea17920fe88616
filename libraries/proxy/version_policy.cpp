#include <libraries/base/hash.h>
#include <libraries/proxy/version_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using endpoints = std::vector<known_endpoint const*>;

constexpr std::uint32_t permille = 1000;
constexpr std::chrono::seconds sweep_interval{1};
/// Instances learn of a rollout one after the other.
constexpr std::chrono::milliseconds halftime_margin{500};

std::string session_key(base::service_id const& service, base::session_id const& session) {
  return service.value + '\n' + session.value;
}

endpoints with_version(endpoints const& all, base::version_id const& version, bool is_wanted) {
  endpoints kept;
  std::ranges::copy_if(all, std::back_inserter(kept), [&](known_endpoint const* one) {
    return (one->word.version == version) == is_wanted;
  });
  return kept;
}

/// The few endpoints of the target that take the trial's requests: the same on all instances.
endpoints trial_endpoints(endpoints target, rollout const& rollout, std::uint32_t trial_permille) {
  auto const seed = base::stable_hash(rollout.target.value, rollout.number);
  std::ranges::sort(target, {}, [&](known_endpoint const* one) {
    return base::stable_hash(one->word.id.value, seed);
  });
  auto const part = (target.size() * trial_permille + permille - 1) / permille;
  target.resize(std::clamp<std::size_t>(part, 1, target.size()));
  return target;
}

} // namespace

void version_policy::take(std::vector<rollout> const& rollouts, base::monotonic_time now) {
  for (auto const& rollout : rollouts) {
    auto& known = m_rollouts[rollout.service];
    if (known.rollout.number != rollout.number) {
      known.began_at = now;
    }
    known.rollout = rollout;
  }
}

endpoints version_policy::admit(endpoints all, base::service_id const& service,
                                request_facts const& facts, base::monotonic_time now) const {
  auto const known = m_rollouts.find(service);
  if (known == m_rollouts.end()) {
    return all;
  }
  auto const& rollout = known->second.rollout;
  auto target = with_version(all, rollout.target, true);
  auto old = with_version(all, rollout.target, false);
  switch (rollout.state) {
  case rollout_state::succeeded:
    return target.empty() ? old : target;
  case rollout_state::rolled_back:
    return old;
  case rollout_state::running:
    break;
  }
  if (target.empty() || old.empty()) {
    return target.empty() ? old : target;
  }
  auto const pinned = pinned_version(service, facts.session, now);
  bool const is_pinned_to_target = pinned == rollout.target;
  bool const is_second_half =
      now >= known->second.began_at + rollout.duration / 2 + halftime_margin;
  bool const may_move = !pinned || is_second_half;
  if (is_pinned_to_target || (may_move && is_on_trial(rollout, facts))) {
    return trial_endpoints(std::move(target), rollout, m_options.trial_permille);
  }
  return old;
}

void version_policy::note(base::service_id const& service, base::session_id const& session,
                          base::version_id const& version, base::monotonic_time now) {
  if (session.is_empty()) {
    return;
  }
  forget_old_sessions(now);
  if (m_sessions.size() < m_options.most_sessions) {
    m_sessions[session_key(service, session)] = {.version = version, .used_at = now};
  }
}

rollout const* version_policy::running(base::service_id const& service) const {
  auto const known = m_rollouts.find(service);
  bool const is_running =
      known != m_rollouts.end() && known->second.rollout.state == rollout_state::running;
  return is_running ? &known->second.rollout : nullptr;
}

bool version_policy::is_on_trial(rollout const& rollout, request_facts const& facts) const {
  auto const& subject = facts.session.is_empty() ? facts.id.value : facts.session.value;
  auto const place = base::stable_hash(subject, rollout.number) % permille;
  return place < m_options.trial_permille;
}

std::optional<base::version_id> version_policy::pinned_version(base::service_id const& service,
                                                               base::session_id const& session,
                                                               base::monotonic_time now) const {
  if (session.is_empty()) {
    return std::nullopt;
  }
  auto const found = m_sessions.find(session_key(service, session));
  bool const is_recent =
      found != m_sessions.end() && now < found->second.used_at + m_options.session_memory;
  return is_recent ? std::optional(found->second.version) : std::nullopt;
}

void version_policy::forget_old_sessions(base::monotonic_time now) {
  if (now < m_swept_at + sweep_interval) {
    return;
  }
  m_swept_at = now;
  std::erase_if(m_sessions, [&](auto const& item) {
    return now >= item.second.used_at + m_options.session_memory;
  });
}

} // namespace catkinlanding::proxy
