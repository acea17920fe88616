#include <libraries/base/verify.h>
#include <libraries/consensus/replica.h>

namespace catkinlanding::consensus {

void replica::adopt_term(term_number term, base::monotonic_time now) {
  CATKINLANDING_VERIFY(term > m_hard_state.term);
  m_hard_state = {.term = term, .voted_for = {}};
  if (m_role == role::leader) {
    restart_election_timer(now);
  }
  m_role = role::follower;
  m_leader.reset();
  m_transfer_deadline.reset();
}

void replica::persist_later_term(term_number term, base::monotonic_time now, effects& out) {
  adopt_term(term, now);
  auto& write = add_write(out);
  write.hard_state = m_hard_state;
  send_when_durable(write, {}, false);
}

void replica::follow(voter const& leader, base::monotonic_time now) {
  // Two leaders in one term would mean that some voter voted twice.
  CATKINLANDING_VERIFY(m_role != role::leader);
  CATKINLANDING_VERIFY(!m_term_leader || m_term_leader->first != m_hard_state.term ||
                       m_term_leader->second == leader);
  m_term_leader = {m_hard_state.term, leader};
  m_role = role::follower;
  m_leader = leader;
  m_last_leader_contact = now;
  restart_election_timer(now);
}

void replica::restart_election_timer(base::monotonic_time now) {
  std::uniform_int_distribution<std::int64_t> jitter(0, m_options.election_jitter.count());
  m_election_due = now + m_options.election_timeout + base::duration(jitter(m_random));
}

void replica::start_pre_vote(base::monotonic_time now, effects& out) {
  m_role = role::pre_candidate;
  m_leader.reset();
  restart_election_timer(now);
  m_votes = {m_options.self};
  if (has_won_election()) {
    start_election(false, now, out);
    return;
  }
  request_votes(true, false, out.messages);
}

void replica::start_election(bool is_leadership_transfer, base::monotonic_time now, effects& out) {
  m_role = role::candidate;
  restart_election_timer(now);
  m_votes.clear();
  m_hard_state = {.term = m_hard_state.term + 1, .voted_for = m_options.self};
  auto& write = add_write(out);
  write.hard_state = m_hard_state;
  std::vector<outgoing> messages;
  request_votes(false, is_leadership_transfer, messages);
  send_when_durable(write, std::move(messages), true);
}

void replica::request_votes(bool is_pre_vote, bool is_leadership_transfer,
                            std::vector<outgoing>& messages) const {
  vote_request const request{
      .term = is_pre_vote ? m_hard_state.term + 1 : m_hard_state.term,
      .candidate = m_options.self,
      .last_index = last_index(),
      .last_term = last_term(),
      .is_pre_vote = is_pre_vote,
      .is_leadership_transfer = is_leadership_transfer,
  };
  for (auto const& elector : electors()) {
    if (elector != m_options.self.instance) {
      messages.push_back({elector, request});
    }
  }
}

bool replica::can_vote_for(vote_request const& request, base::monotonic_time now) const {
  bool const is_founding_request = request.last_index == 0;
  if (is_founding_request && !can_vote_in_founding(now)) {
    return false;
  }
  bool const has_live_leader = m_role == role::leader
                                   ? holds_lease(now)
                                   : now < m_last_leader_contact + m_options.election_timeout &&
                                         m_last_leader_contact != base::monotonic_time{};
  // A leader that transferred leadership has given up its lease, so voters need not protect it.
  // An instance that may vote in a founding has supported no lease.
  bool const must_wait = !is_founding_request && now < m_vote_not_before;
  if (!request.is_leadership_transfer && (must_wait || has_live_leader)) {
    return false;
  }
  bool const is_log_current = request.last_term != last_term() ? request.last_term > last_term()
                                                               : request.last_index >= last_index();
  return is_log_current && request.term >= m_hard_state.term;
}

void replica::handle(base::instance_id const& from, vote_request const& request,
                     base::monotonic_time now, effects& out) {
  bool const can_vote = can_vote_for(request, now);
  if (request.is_pre_vote) {
    bool const is_granted = can_vote && request.term > m_hard_state.term;
    out.messages.push_back({from, vote_response{.term = m_hard_state.term,
                                                .voter = m_options.self,
                                                .is_granted = is_granted,
                                                .is_pre_vote = true}});
    return;
  }
  if (!can_vote) {
    // The term is not adopted: a candidate must not depose a leader that still holds its lease.
    out.messages.push_back({from, vote_response{.term = m_hard_state.term,
                                                .voter = m_options.self,
                                                .is_granted = false,
                                                .is_pre_vote = false}});
    return;
  }
  if (request.term > m_hard_state.term) {
    adopt_term(request.term, now);
  }
  bool const is_granted = !m_hard_state.voted_for || *m_hard_state.voted_for == request.candidate;
  if (is_granted) {
    m_hard_state.voted_for = request.candidate;
    restart_election_timer(now);
  }
  auto& write = add_write(out);
  write.hard_state = m_hard_state;
  send_when_durable(write,
                    {{from, vote_response{.term = m_hard_state.term,
                                          .voter = m_options.self,
                                          .is_granted = is_granted,
                                          .is_pre_vote = false}}},
                    false);
}

void replica::handle(base::instance_id const& /*from*/, vote_response const& response,
                     base::monotonic_time now, effects& out) {
  if (response.term > m_hard_state.term) {
    persist_later_term(response.term, now, out);
    return;
  }
  auto const expected_role = response.is_pre_vote ? role::pre_candidate : role::candidate;
  bool const is_current = response.is_pre_vote || response.term == m_hard_state.term;
  if (m_role != expected_role || !is_current || !response.is_granted ||
      !electors().contains(response.voter.instance)) {
    return;
  }
  count_vote(response.voter);
  if (!has_won_election()) {
    return;
  }
  if (response.is_pre_vote) {
    start_election(false, now, out);
  } else {
    become_leader(now, out);
  }
}

void replica::handle(base::instance_id const& /*from*/, leadership_transfer const& request,
                     base::monotonic_time now, effects& out) {
  bool const is_current = request.target == m_options.self && request.term == m_hard_state.term;
  bool const may_campaign = m_role == role::follower && m_configuration.is_voter(m_options.self);
  if (is_current && may_campaign) {
    m_leader.reset();
    start_election(true, now, out);
  }
}

void replica::become_leader(base::monotonic_time now, effects& out) {
  CATKINLANDING_VERIFY(m_role == role::candidate);
  CATKINLANDING_VERIFY(m_hard_state.voted_for == m_options.self);
  m_role = role::leader;
  m_leader = m_options.self;
  m_term_leader = {m_hard_state.term, m_options.self};
  m_last_lease = now;
  m_progress.clear();
  m_join_requests.clear();
  track_members(last_index() + 1, now);
  append_as_leader(first_entry_of_term(), now, out);
}

} // namespace catkinlanding::consensus
