#include <libraries/base/verify.h>
#include <libraries/consensus/replica.h>

#include <algorithm>
#include <iterator>

namespace catkinlanding::consensus {

namespace {

/// A learner is promoted to voter when it is at most this many entries behind the leader.
constexpr log_index max_promotion_lag = 16;
/// How long the leader keeps a join request that is not repeated.
constexpr base::duration join_request_lifetime = std::chrono::seconds(2);
constexpr base::duration join_interval = std::chrono::milliseconds(500);
/// A learner that has not responded for this long is removed.
constexpr base::duration learner_timeout = std::chrono::seconds(30);

} // namespace

replica replica::create(options options, recovered_state recovered, base::monotonic_time now) {
  return replica(std::move(options), std::move(recovered), now);
}

replica::replica(options options, recovered_state recovered, base::monotonic_time now)
    : m_options(std::move(options)), m_random(m_options.seed),
      m_hard_state(std::move(recovered.hard_state)), m_snapshot(std::move(recovered.snapshot)),
      m_log(std::make_move_iterator(recovered.entries.begin()),
            std::make_move_iterator(recovered.entries.end())),
      m_commit_index(m_snapshot.index), m_join_due(now) {
  CATKINLANDING_VERIFY(m_log.empty() || m_log.front().index == m_snapshot.index + 1);
  CATKINLANDING_VERIFY(m_options.lease_duration < m_options.election_timeout);
  // A term is synced before, or together with, its first entry.
  CATKINLANDING_VERIFY(last_term() <= m_hard_state.term);
  m_durable_index = last_index();
  m_vote_not_before = now + m_options.election_timeout;
  refresh_configuration();
  restart_election_timer(now);
}

tl::expected<void, propose_error> replica::initialise(std::vector<base::instance_id> desired_voters,
                                                      base::monotonic_time now, effects& out) {
  if (last_index() != 0 || m_hard_state.term != 0) {
    return tl::unexpected(propose_error::already_initialised);
  }
  m_hard_state = {.term = 1, .voted_for = m_options.self};
  m_role = role::leader;
  m_leader = m_options.self;
  configuration first{
      .voters = {m_options.self}, .learners = {}, .desired_voters = std::move(desired_voters)};
  m_log.push_back({.term = 1,
                   .index = 1,
                   .kind = entry_kind::configuration,
                   .command = {},
                   .configuration = std::move(first)});
  refresh_configuration();
  track_members(now);
  // Term and configuration go into one write: a crash that kept only the term would leave an
  // instance that can neither bootstrap a deployment nor join one.
  auto& write = add_write(out);
  write.hard_state = m_hard_state;
  write.entries.push_back(m_log.back());
  send_when_durable(write, {}, false);
  return {};
}

void replica::receive(base::instance_id const& from, message const& message,
                      base::monotonic_time now, effects& out) {
  std::visit([&](auto const& alternative) { handle(from, alternative, now, out); }, message);
}

void replica::tick(base::monotonic_time now, effects& out) {
  if (m_role == role::leader) {
    tick_as_leader(now, out);
    return;
  }
  bool const is_voter = m_configuration.is_voter(m_options.self);
  if (is_voter && now >= m_election_due) {
    start_pre_vote(now, out);
  }
  // A voter without a leader may have been removed while it was partitioned, without learning of
  // it.
  if ((!is_voter || !m_leader) && now >= m_join_due) {
    m_join_due = now + join_interval;
    for (auto const& peer : join_targets()) {
      out.messages.push_back({peer, join_request{m_options.self}});
    }
  }
}

std::set<base::instance_id> replica::join_targets() const {
  // The peers from the settings may all be gone by now, and so may the known voters.
  std::set<base::instance_id> targets(m_options.peers.begin(), m_options.peers.end());
  for (auto const& voter : m_configuration.voters) {
    targets.insert(voter.instance);
  }
  targets.erase(m_options.self.instance);
  return targets;
}

void replica::tick_as_leader(base::monotonic_time now, effects& out) {
  if (m_transfer_deadline) {
    replicate(now, out);
    transfer_leadership(now, out);
    return;
  }
  reconcile_configuration(now, out);
  replicate(now, out);
  // A leader that should no longer vote hands leadership to a successor, which then removes it.
  bool const is_removal_desired = !m_configuration.is_desired_voter(m_options.self.instance);
  bool const is_settled = m_configuration_index <= m_commit_index && !next_configuration(now);
  if (is_removal_desired && is_settled && successor(now)) {
    resign(now, out);
  }
}

void replica::complete_write(write_id id, base::monotonic_time now, effects& out) {
  // Writes are synced in the order in which they were issued, so this one covers all earlier ones.
  while (!m_pending_writes.empty() && m_pending_writes.front().id <= id) {
    auto write = std::move(m_pending_writes.front());
    m_pending_writes.pop_front();
    m_durable_index = std::max(m_durable_index, write.last_index);
    CATKINLANDING_VERIFY(m_durable_index <= last_index());
    for (auto& message : write.messages) {
      out.messages.push_back(std::move(message));
    }
    if (write.is_self_vote && m_role == role::candidate && write.term == m_hard_state.term) {
      m_votes.insert(m_options.self);
      if (m_votes.size() >= m_configuration.quorum()) {
        become_leader(now, out);
      }
    }
  }
  if (m_role == role::leader) {
    advance_commit(out);
  }
}

tl::expected<log_index, propose_error> replica::propose(std::string command,
                                                        base::monotonic_time now, effects& out) {
  if (m_role != role::leader || m_transfer_deadline) {
    return tl::unexpected(propose_error::not_leader);
  }
  if (last_index() - m_commit_index >= m_options.max_uncommitted_entries) {
    return tl::unexpected(propose_error::overloaded);
  }
  return append_as_leader({.term = m_hard_state.term,
                           .index = 0,
                           .kind = entry_kind::command,
                           .command = std::move(command),
                           .configuration = {}},
                          now, out);
}

tl::expected<log_index, propose_error>
replica::propose_desired_voters(std::vector<base::instance_id> desired_voters,
                                base::monotonic_time now, effects& out) {
  auto next = m_configuration;
  next.desired_voters = std::move(desired_voters);
  return propose_configuration(std::move(next), now, out);
}

tl::expected<log_index, propose_error>
replica::propose_configuration(configuration next, base::monotonic_time now, effects& out) {
  if (m_role != role::leader || m_transfer_deadline) {
    return tl::unexpected(propose_error::not_leader);
  }
  // Until an entry of its own term is committed, a leader may not know the current configuration.
  if (m_configuration_index > m_commit_index || term_at(m_commit_index) != m_hard_state.term) {
    return tl::unexpected(propose_error::configuration_pending);
  }
  return append_as_leader({.term = m_hard_state.term,
                           .index = 0,
                           .kind = entry_kind::configuration,
                           .command = {},
                           .configuration = std::move(next)},
                          now, out);
}

void replica::compact(log_index index, std::string state, effects& out) {
  CATKINLANDING_VERIFY(index <= m_commit_index);
  if (index <= m_snapshot.index) {
    return;
  }
  snapshot next{.index = index,
                .term = *term_at(index),
                .configuration = m_snapshot.configuration,
                .state = std::move(state)};
  for (auto const& entry : m_log) {
    if (entry.index <= index && entry.configuration) {
      next.configuration = *entry.configuration;
    }
  }
  m_log.erase(m_log.begin(), m_log.begin() + static_cast<std::ptrdiff_t>(index - m_snapshot.index));
  m_snapshot = std::move(next);
  auto& write = add_write(out);
  write.snapshot = m_snapshot;
  send_when_durable(write, {}, false);
  for (auto& [target, progress] : m_progress) {
    progress.snapshot_offset = 0;
  }
}

void replica::resign(base::monotonic_time now, effects& out) {
  if (m_role != role::leader || m_transfer_deadline) {
    return;
  }
  m_transfer_deadline = now + m_options.leadership_transfer_timeout;
  replicate(now, out);
  transfer_leadership(now, out);
}

std::optional<voter> replica::successor(base::monotonic_time now) const {
  auto const it = std::ranges::find_if(m_progress, [&](auto const& item) {
    auto const& [target, progress] = item;
    return m_configuration.is_voter(target) && m_configuration.is_desired_voter(target.instance) &&
           progress.match_index == last_index() &&
           now < progress.last_contact + m_options.election_timeout;
  });
  return it == m_progress.end() ? std::nullopt : std::optional(it->first);
}

void replica::transfer_leadership(base::monotonic_time now, effects& out) {
  auto const target = successor(now);
  bool const is_only_voter = m_configuration.voters.size() == 1;
  if (!target && !is_only_voter && now < *m_transfer_deadline) {
    return;
  }
  // The lease ends here, before the successor can learn that it may start an election.
  m_role = role::follower;
  m_leader.reset();
  m_transfer_deadline.reset();
  m_election_due = now + 4 * m_options.election_timeout;
  if (target) {
    out.messages.push_back({target->instance, leadership_transfer{.term = m_hard_state.term,
                                                                  .leader = m_options.self,
                                                                  .target = *target}});
  }
}

bool replica::holds_lease(base::monotonic_time now) const {
  // Until an entry of its own term is committed, a leader may not know all committed entries.
  if (m_role != role::leader || term_at(m_commit_index) != m_hard_state.term) {
    return false;
  }
  std::vector<base::monotonic_time> lease_starts;
  for (auto const& v : m_configuration.voters) {
    if (v == m_options.self) {
      lease_starts.push_back(now);
    } else if (auto const it = m_progress.find(v); it != m_progress.end()) {
      lease_starts.push_back(it->second.acknowledged_sent_at);
    }
  }
  auto const quorum = m_configuration.quorum();
  if (lease_starts.size() < quorum) {
    return false;
  }
  std::ranges::sort(lease_starts, std::greater{});
  return now < lease_starts[quorum - 1] + m_options.lease_duration;
}

std::optional<base::monotonic_time>
replica::last_response(base::instance_id const& instance) const {
  std::optional<base::monotonic_time> latest;
  if (m_role != role::leader) {
    return latest;
  }
  for (auto const& [member, progress] : m_progress) {
    if (member.instance == instance) {
      latest = std::max(latest.value_or(progress.last_contact), progress.last_contact);
    }
  }
  return latest;
}

bool replica::is_safe_to_stop() const {
  bool const has_successor = m_leader && *m_leader != m_options.self;
  bool const is_voter = m_configuration.is_voter(m_options.self);
  return has_successor || !is_voter || m_configuration.voters.size() == 1;
}

// Elections.

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
  if (m_votes.size() >= m_configuration.quorum()) {
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
  for (auto const& v : m_configuration.voters) {
    if (v != m_options.self) {
      messages.push_back({v.instance, request});
    }
  }
}

bool replica::can_vote_for(vote_request const& request, base::monotonic_time now) const {
  bool const has_live_leader = m_role == role::leader
                                   ? holds_lease(now)
                                   : now < m_last_leader_contact + m_options.election_timeout &&
                                         m_last_leader_contact != base::monotonic_time{};
  // A leader that transferred leadership has given up its lease, so voters need not protect it.
  if (!request.is_leadership_transfer && (now < m_vote_not_before || has_live_leader)) {
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
      !m_configuration.is_voter(response.voter)) {
    return;
  }
  m_votes.insert(response.voter);
  if (m_votes.size() < m_configuration.quorum()) {
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
  m_progress.clear();
  m_join_requests.clear();
  track_members(now);
  append_as_leader({.term = m_hard_state.term,
                    .index = 0,
                    .kind = entry_kind::no_op,
                    .command = {},
                    .configuration = {}},
                   now, out);
}

// Replication, at the leader.

log_index replica::append_as_leader(log_entry entry, base::monotonic_time now, effects& out) {
  entry.index = last_index() + 1;
  auto const index = entry.index;
  auto& write = add_write(out);
  write.entries.push_back(entry);
  bool const has_configuration = entry.configuration.has_value();
  m_log.push_back(std::move(entry));
  if (has_configuration) {
    refresh_configuration();
    track_members(now);
  }
  send_when_durable(write, {}, false);
  replicate(now, out);
  return index;
}

void replica::track_members(base::monotonic_time now) {
  auto const is_member = [this](voter const& v) {
    return v != m_options.self && (m_configuration.is_voter(v) || m_configuration.is_learner(v));
  };
  std::erase_if(m_progress, [&](auto const& item) { return !is_member(item.first); });
  auto const track = [&](voter const& v) {
    if (is_member(v) && !m_progress.contains(v)) {
      progress fresh;
      fresh.next_index = last_index() + 1;
      fresh.last_contact = now;
      m_progress.emplace(v, fresh);
    }
  };
  std::ranges::for_each(m_configuration.voters, track);
  std::ranges::for_each(m_configuration.learners, track);
}

void replica::replicate(base::monotonic_time now, effects& out) {
  for (auto& [target, progress] : m_progress) {
    bool const has_new_entries =
        progress.next_index <= last_index() && !progress.is_receiving_snapshot;
    bool const is_due = now >= progress.last_sent + m_options.heartbeat_interval;
    if (has_new_entries || is_due) {
      replicate_to(target, progress, now, out);
    }
  }
}

void replica::replicate_to(voter const& target, progress& progress, base::monotonic_time now,
                           effects& out) {
  progress.last_sent = now;
  if (progress.next_index <= m_snapshot.index) {
    send_snapshot_chunk(target, progress, now, out);
    return;
  }
  progress.is_receiving_snapshot = false;
  auto entries = entries_from(progress.next_index);
  append_request request{
      .term = m_hard_state.term,
      .leader = m_options.self,
      .target = target,
      .previous_index = progress.next_index - 1,
      .previous_term = *term_at(progress.next_index - 1),
      .entries = std::move(entries),
      .commit_index = m_commit_index,
      .sent_at = now.time_since_epoch(),
  };
  // Entries are pipelined without waiting for the response. If a request is lost, the follower
  // rejects the next heartbeat, because it doesn't have the entry at its previous index.
  progress.next_index += request.entries.size();
  out.messages.push_back({target.instance, std::move(request)});
}

void replica::send_snapshot_chunk(voter const& target, progress& progress, base::monotonic_time now,
                                  effects& out) {
  progress.is_receiving_snapshot = true;
  auto const& state = m_snapshot.state;
  auto const offset = std::min<std::uint64_t>(progress.snapshot_offset, state.size());
  auto chunk = state.substr(offset, m_options.snapshot_chunk_bytes);
  bool const is_last = offset + chunk.size() == state.size();
  out.messages.push_back({target.instance, snapshot_request{
                                               .term = m_hard_state.term,
                                               .leader = m_options.self,
                                               .target = target,
                                               .index = m_snapshot.index,
                                               .index_term = m_snapshot.term,
                                               .configuration = m_snapshot.configuration,
                                               .offset = offset,
                                               .bytes = std::move(chunk),
                                               .is_last = is_last,
                                               .sent_at = now.time_since_epoch(),
                                           }});
}

void replica::handle(base::instance_id const& /*from*/, append_response const& response,
                     base::monotonic_time now, effects& out) {
  if (response.term > m_hard_state.term) {
    persist_later_term(response.term, now, out);
    return;
  }
  auto const it = m_progress.find(response.voter);
  if (m_role != role::leader || response.term != m_hard_state.term || it == m_progress.end()) {
    return;
  }
  auto& progress = it->second;
  progress.last_contact = now;
  progress.acknowledged_sent_at =
      std::max(progress.acknowledged_sent_at, base::monotonic_time(response.request_sent_at));
  if (response.is_success) {
    progress.match_index = std::max(progress.match_index, response.index);
    progress.next_index = std::max(progress.next_index, progress.match_index + 1);
    advance_commit(out);
    replicate(now, out);
    if (m_transfer_deadline) {
      transfer_leadership(now, out);
    }
    return;
  }
  auto const missing =
      std::max(progress.match_index + 1, std::min(progress.next_index, response.index + 1));
  resend(it->first, progress, missing, now, out);
}

void replica::resend(voter const& target, progress& progress, log_index from,
                     base::monotonic_time now, effects& out) {
  bool const was_just_resent =
      from >= progress.resent_from && now < progress.resent_at + m_options.resend_interval;
  if (was_just_resent && from < progress.next_index) {
    return;
  }
  bool const were_entries_sent = from < progress.next_index;
  progress.next_index = from;
  progress.resent_from = from;
  progress.resent_at = now;
  auto const first = out.messages.size();
  replicate_to(target, progress, now, out);
  for (auto i = first; i < out.messages.size(); ++i) {
    out.messages[i].needs_new_connection = were_entries_sent;
  }
}

void replica::handle(base::instance_id const& /*from*/, snapshot_response const& response,
                     base::monotonic_time now, effects& out) {
  if (response.term > m_hard_state.term) {
    persist_later_term(response.term, now, out);
    return;
  }
  auto const it = m_progress.find(response.voter);
  if (m_role != role::leader || response.term != m_hard_state.term || it == m_progress.end()) {
    return;
  }
  auto& progress = it->second;
  progress.last_contact = now;
  progress.acknowledged_sent_at =
      std::max(progress.acknowledged_sent_at, base::monotonic_time(response.request_sent_at));
  if (response.index != m_snapshot.index) {
    progress.snapshot_offset = 0;
  } else if (response.is_installed) {
    progress.is_receiving_snapshot = false;
    progress.snapshot_offset = 0;
    progress.match_index = std::max(progress.match_index, response.index);
    progress.next_index = std::max(progress.next_index, progress.match_index + 1);
  } else {
    progress.snapshot_offset = response.received;
  }
  replicate_to(it->first, progress, now, out);
}

void replica::advance_commit(effects& out) {
  std::vector<log_index> matches;
  for (auto const& v : m_configuration.voters) {
    if (v == m_options.self) {
      matches.push_back(m_durable_index);
    } else if (auto const it = m_progress.find(v); it != m_progress.end()) {
      matches.push_back(it->second.match_index);
    }
  }
  if (matches.size() < m_configuration.quorum()) {
    return;
  }
  std::ranges::sort(matches, std::greater{});
  auto const index = matches[m_configuration.quorum() - 1];
  // Entries of earlier terms are committed only together with an entry of the current term.
  if (index > m_commit_index && term_at(index) == m_hard_state.term) {
    commit_to(index, out);
  }
}

void replica::commit_to(log_index index, effects& out) {
  CATKINLANDING_VERIFY(index <= last_index());
  while (m_commit_index < index) {
    ++m_commit_index;
    out.committed.push_back(entry_at(m_commit_index));
  }
}

// Replication, at a follower.

void replica::handle(base::instance_id const& from, append_request const& request,
                     base::monotonic_time now, effects& out) {
  if (request.target != m_options.self) {
    return;
  }
  append_response response{.term = m_hard_state.term,
                           .voter = m_options.self,
                           .is_success = false,
                           .index = last_index(),
                           .request_sent_at = request.sent_at};
  if (request.term < m_hard_state.term) {
    out.messages.push_back({from, response});
    return;
  }
  bool is_term_new = false;
  if (request.term > m_hard_state.term) {
    adopt_term(request.term, now);
    is_term_new = true;
  }
  follow(request.leader, now);
  response.term = m_hard_state.term;

  auto const known_term = term_at(request.previous_index);
  bool const is_matching =
      request.previous_index < m_snapshot.index || known_term == request.previous_term;
  std::vector<log_entry> appended;
  std::optional<log_index> truncated;
  if (is_matching) {
    for (auto const& entry : request.entries) {
      if (entry.index <= m_snapshot.index) {
        continue;
      }
      auto const present = term_at(entry.index);
      if (present == entry.term) {
        continue;
      }
      if (present) {
        CATKINLANDING_VERIFY(entry.index > m_commit_index);
        truncate_from(entry.index);
        truncated = truncated.value_or(entry.index);
      }
      CATKINLANDING_VERIFY(entry.index == last_index() + 1 && entry.term >= last_term());
      m_log.push_back(entry);
      appended.push_back(entry);
    }
    auto const last_matching = request.previous_index + request.entries.size();
    response.is_success = true;
    response.index = last_matching;
    if (!appended.empty()) {
      refresh_configuration();
    }
    auto const commit = std::min(request.commit_index, last_matching);
    if (commit > m_commit_index) {
      commit_to(commit, out);
    }
  } else if (request.previous_index > 0) {
    response.index = last_index_before_conflict(request.previous_index);
  }
  if (appended.empty() && !truncated && !is_term_new && m_durable_index >= response.index) {
    out.messages.push_back({from, response});
    return;
  }
  auto& write = add_write(out);
  if (is_term_new) {
    write.hard_state = m_hard_state;
  }
  write.truncate_from = truncated;
  write.entries = std::move(appended);
  send_when_durable(write, {{from, response}}, false);
}

void replica::handle(base::instance_id const& from, snapshot_request const& request,
                     base::monotonic_time now, effects& out) {
  if (request.target != m_options.self) {
    return;
  }
  if (request.term < m_hard_state.term) {
    // Without a response, a leader that only sends snapshots would never learn the later term.
    out.messages.push_back({from, snapshot_response{.term = m_hard_state.term,
                                                    .voter = m_options.self,
                                                    .index = request.index,
                                                    .received = 0,
                                                    .is_installed = false,
                                                    .request_sent_at = request.sent_at}});
    return;
  }
  bool const is_term_new = request.term > m_hard_state.term;
  if (is_term_new) {
    adopt_term(request.term, now);
  }
  follow(request.leader, now);
  bool const is_continued = m_partial_snapshot && m_partial_snapshot->index == request.index &&
                            m_partial_snapshot->leader_term == request.term;
  if (!is_continued) {
    m_partial_snapshot = {.index = request.index, .leader_term = request.term, .bytes = {}};
  }
  auto& partial = *m_partial_snapshot;
  if (request.offset == partial.bytes.size()) {
    partial.bytes += request.bytes;
  }
  bool const is_complete =
      request.is_last && request.offset + request.bytes.size() == partial.bytes.size();
  snapshot_response response{.term = m_hard_state.term,
                             .voter = m_options.self,
                             .index = request.index,
                             .received = partial.bytes.size(),
                             .is_installed = is_complete,
                             .request_sent_at = request.sent_at};
  auto& write = add_write(out);
  if (is_term_new) {
    write.hard_state = m_hard_state;
  }
  if (is_complete && term_at(request.index) == request.index_term) {
    // The log already covers the snapshot. Entries after it may have been acknowledged, so they
    // stay.
    commit_to(request.index, out);
  } else if (is_complete && request.index > m_commit_index) {
    install(request, std::move(partial.bytes));
    write.snapshot = m_snapshot;
    write.truncate_from = request.index + 1;
    out.restored_snapshot = m_snapshot;
  }
  if (is_complete) {
    m_partial_snapshot.reset();
  }
  send_when_durable(write, {{from, response}}, false);
}

void replica::install(snapshot_request const& request, std::string state) {
  invalidate_writes_after(m_commit_index);
  m_log.clear();
  m_snapshot = {.index = request.index,
                .term = request.index_term,
                .configuration = request.configuration,
                .state = std::move(state)};
  m_commit_index = request.index;
  refresh_configuration();
}

// Membership changes, one at a time.

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
  auto next = next_configuration(now);
  if (next) {
    // If the proposal is rejected because a change is pending, a later tick proposes it again.
    static_cast<void>(propose_configuration(std::move(*next), now, out));
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
    if (is_silent || !next.is_desired_voter(learner.instance)) {
      std::erase(next.learners, learner);
      return next;
    }
    bool const is_caught_up = it->second.match_index + max_promotion_lag >= last_index() &&
                              it->second.match_index > 0 &&
                              now < it->second.last_contact + m_options.election_timeout;
    if (is_caught_up) {
      std::erase(next.learners, learner);
      next.voters.push_back(learner);
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

// The log and the disk.

durable_write& replica::add_write(effects& out) {
  out.writes.push_back(
      {.id = ++m_last_write, .hard_state = {}, .truncate_from = {}, .entries = {}, .snapshot = {}});
  return out.writes.back();
}

void replica::send_when_durable(durable_write const& write, std::vector<outgoing> messages,
                                bool is_self_vote) {
  m_pending_writes.push_back({.id = write.id,
                              .last_index = last_index(),
                              .term = m_hard_state.term,
                              .messages = std::move(messages),
                              .is_self_vote = is_self_vote});
}

void replica::truncate_from(log_index index) {
  CATKINLANDING_VERIFY(index > m_commit_index);
  m_log.resize(index - m_snapshot.index - 1);
  invalidate_writes_after(index - 1);
  refresh_configuration();
}

void replica::invalidate_writes_after(log_index index) {
  m_durable_index = std::min(m_durable_index, index);
  for (auto& write : m_pending_writes) {
    write.last_index = std::min(write.last_index, index);
  }
}

void replica::refresh_configuration() {
  m_configuration = m_snapshot.configuration;
  m_configuration_index = m_snapshot.index;
  for (auto const& entry : m_log) {
    if (entry.configuration) {
      m_configuration = *entry.configuration;
      m_configuration_index = entry.index;
    }
  }
}

std::optional<term_number> replica::term_at(log_index index) const {
  if (index == m_snapshot.index) {
    return m_snapshot.term;
  }
  if (index < m_snapshot.index || index > last_index()) {
    return std::nullopt;
  }
  return entry_at(index).term;
}

log_entry const& replica::entry_at(log_index index) const {
  CATKINLANDING_VERIFY(index > m_snapshot.index && index <= last_index());
  return m_log[index - m_snapshot.index - 1];
}

term_number replica::last_term() const {
  return m_log.empty() ? m_snapshot.term : m_log.back().term;
}

log_index replica::last_index_before_conflict(log_index index) const {
  auto const conflicting = term_at(index);
  if (!conflicting) {
    return std::min(last_index(), index - 1);
  }
  // Skips all entries of the conflicting term, since the leader most likely has none of them.
  auto previous = index - 1;
  while (previous > m_commit_index && term_at(previous) == conflicting) {
    --previous;
  }
  return previous;
}

std::vector<log_entry> replica::entries_from(log_index index) const {
  std::vector<log_entry> entries;
  std::size_t bytes = 0;
  for (auto i = index; i <= last_index() && bytes < m_options.max_append_bytes; ++i) {
    entries.push_back(entry_at(i));
    bytes += entries.back().command.size() + sizeof(log_entry);
  }
  return entries;
}

} // namespace catkinlanding::consensus
