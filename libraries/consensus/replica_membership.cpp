#include <libraries/consensus/replica.h>

#include <algorithm>

namespace catkinlanding::consensus {

namespace {

/// A learner is promoted to voter when it is at most this many entries behind the leader.
constexpr log_index max_promotion_lag = 16;
/// How long the leader keeps a join request that is not repeated.
constexpr base::duration join_request_lifetime = std::chrono::seconds(2);
/// A learner that has not responded for this long is removed.
constexpr base::duration learner_timeout = std::chrono::seconds(30);

} // namespace

void replica::handle(base::instance_id const& /*from*/, join_request const& request,
                     base::monotonic_time now, effects& /*out*/) {
  if (m_role == role::leader) {
    m_join_requests[request.voter] = now;
  }
}

void replica::reconcile_configuration(base::monotonic_time now, effects& out) {
  // Requests of current members are discarded: once such a member's disk is replaced and the member
  // removed, its old request would add the lost disk again.
  std::erase_if(m_join_requests, [&](auto const& item) {
    auto const& [joining, last_seen] = item;
    return now > last_seen + join_request_lifetime || m_configuration.is_voter(joining) ||
           m_configuration.is_learner(joining);
  });
  fill_places(now, out);
  auto next = next_configuration(now);
  if (next) {
    // If the proposal is rejected because a change is pending, a later tick proposes it again.
    static_cast<void>(propose_configuration(std::move(*next), now, out));
  }
}

void replica::fill_places(base::monotonic_time now, effects& out) {
  auto next = m_configuration;
  for (auto const& [joining, last_seen] : m_join_requests) {
    if (next.is_desired_voter(joining.instance)) {
      next.fill_place(joining);
    }
  }
  if (next != m_configuration) {
    append_as_leader({.term = m_hard_state.term,
                      .index = 0,
                      .kind = entry_kind::configuration,
                      .command = {},
                      .configuration = std::move(next)},
                     now, out);
  }
}

std::optional<configuration> replica::next_configuration(base::monotonic_time now) const {
  auto next = m_configuration;
  for (auto const& [joining, last_seen] : m_join_requests) {
    bool const is_member = next.is_voter(joining) || next.is_learner(joining);
    if (!is_member && next.is_desired_voter(joining.instance)) {
      next.learners.push_back(joining);
      return next;
    }
  }
  for (auto const& learner : m_configuration.learners) {
    auto const it = m_progress.find(learner);
    if (it == m_progress.end()) {
      continue;
    }
    bool const is_silent = now > it->second.last_contact + learner_timeout;
    if (is_silent || next.is_voter(learner) || !next.is_desired_voter(learner.instance)) {
      std::erase(next.learners, learner);
      return next;
    }
    bool const is_caught_up = it->second.match_index + max_promotion_lag >= last_index() &&
                              it->second.match_index > 0 &&
                              now < it->second.last_contact + m_options.election_timeout;
    if (is_caught_up) {
      std::erase(next.learners, learner);
      // A disk that is not the first one replaces a place like a lost disk: by growing, then
      // shrinking. The first disk may still have a vote under way.
      if (next.has_place_for(learner)) {
        next.fill_place(learner);
      } else {
        next.voters.push_back(learner);
      }
      return next;
    }
  }
  for (auto const& v : m_configuration.voters) {
    auto const is_successor = [&](voter const& other) {
      auto const it = m_progress.find(other);
      return other.instance == v.instance && other != v &&
             (other == m_options.self ||
              (it != m_progress.end() &&
               now < it->second.last_contact + m_options.election_timeout));
    };
    bool const is_replaced = std::ranges::any_of(m_configuration.voters, is_successor);
    if ((is_replaced || !next.is_desired_voter(v.instance)) && v != m_options.self) {
      std::erase(next.voters, v);
      // A voter that is no longer desired stays until enough desired voters have joined, so that
      // there are never too few.
      bool const has_enough_voters =
          is_replaced || next.voters.size() >= next.desired_voters.size();
      if (has_enough_voters && keeps_quorum(next, now)) {
        return next;
      }
      next = m_configuration;
    }
  }
  return std::nullopt;
}

bool replica::keeps_quorum(configuration const& next, base::monotonic_time now) const {
  auto const is_reachable = [&](voter const& v) {
    auto const it = m_progress.find(v);
    return v == m_options.self ||
           (it != m_progress.end() && now < it->second.last_contact + m_options.election_timeout);
  };
  auto const reachable = static_cast<std::size_t>(std::ranges::count_if(next.voters, is_reachable));
  return !next.voters.empty() && reachable >= next.quorum();
}

} // namespace catkinlanding::consensus
