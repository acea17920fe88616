#include <libraries/base/verify.h>
#include <libraries/consensus/replica.h>

#include <algorithm>
#include <iterator>

namespace catkinlanding::consensus {

namespace {

constexpr base::duration join_interval = std::chrono::milliseconds(500);

} // namespace

replica replica::create(options options, recovered_state recovered, base::monotonic_time now) {
  return replica(std::move(options), std::move(recovered), now);
}

replica::replica(options options, recovered_state recovered, base::monotonic_time now)
    : m_options(std::move(options)), m_random(m_options.seed),
      m_hard_state(std::move(recovered.hard_state)), m_snapshot(std::move(recovered.snapshot)),
      m_log(std::make_move_iterator(recovered.entries.begin()),
            std::make_move_iterator(recovered.entries.end())),
      m_commit_index(m_snapshot.index), m_join_due(now), m_started_at(now), m_founding_due(now) {
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
  m_last_lease = now;
  configuration first{
      .voters = {m_options.self}, .learners = {}, .desired_voters = std::move(desired_voters)};
  m_log.push_back({.term = 1,
                   .index = 1,
                   .kind = entry_kind::configuration,
                   .command = {},
                   .configuration = std::move(first)});
  refresh_configuration();
  track_members(last_index() + 1, now);
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
  note_sender(from, message);
  std::visit([&](auto const& alternative) { handle(from, alternative, now, out); }, message);
}

void replica::tick(base::monotonic_time now, effects& out) {
  if (m_role == role::leader) {
    tick_as_leader(now, out);
    return;
  }
  bool const is_voter = m_configuration.is_voter(m_options.self);
  if (can_campaign() && now >= m_election_due) {
    start_pre_vote(now, out);
  }
  tick_founding(now, out);
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
  if (m_last_member) {
    targets.insert(*m_last_member);
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
  step_down_without_quorum(now);
  if (m_role != role::leader) {
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
      count_vote(m_options.self);
      if (has_won_election()) {
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
