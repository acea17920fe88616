#include <libraries/base/verify.h>
#include <libraries/consensus/disk_identity.h>
#include <libraries/consensus/replica.h>

#include <algorithm>

namespace catkinlanding::consensus {

namespace {

/// How often the preferred leader asks the other founders for their votes.
constexpr base::duration founding_interval = std::chrono::milliseconds(100);
/// How long an instance that may have lost a disk waits for signs of an existing group before it
/// votes in the founding of another. Voters and leaders send to all voters within an election
/// timeout and its jitter.
constexpr base::duration founding_delay_of_later_disks = std::chrono::seconds(3);
/// A leader without a lease steps down after this many election timeouts.
constexpr int timeouts_without_lease = 2;

configuration places_for(std::vector<base::instance_id> const& instances) {
  configuration made;
  for (auto const& instance : instances) {
    made.voters.push_back({.instance = instance, .disk_id = 0});
  }
  made.desired_voters = instances;
  return made;
}

} // namespace

bool replica::is_founding() const {
  return last_index() == 0 &&
         std::ranges::find(m_options.founders, m_options.self.instance) != m_options.founders.end();
}

void replica::tick_founding(base::monotonic_time now, effects& out) {
  if (!is_founding() || m_role == role::leader) {
    return;
  }
  bool const is_preferred = m_options.founders.front() == m_options.self.instance &&
                            m_role != role::candidate && !m_leader && now >= m_founding_due;
  if (can_vote_in_founding(now) && (is_preferred || now >= m_election_due)) {
    m_founding_due = now + founding_interval;
    start_pre_vote(now, out);
  }
}

bool replica::can_vote_in_founding(base::monotonic_time now) const {
  bool const may_be_replaced_disk = !is_first_disk_of(m_options.self, m_options.founders);
  bool const has_waited = now >= m_started_at + founding_delay_of_later_disks && !m_has_heard_group;
  return last_index() == 0 && (!may_be_replaced_disk || has_waited);
}

void replica::note_sender(base::instance_id const& from, message const& message) {
  auto const* vote = std::get_if<vote_request>(&message);
  bool const has_log = std::holds_alternative<append_request>(message) ||
                       std::holds_alternative<snapshot_request>(message) ||
                       (vote != nullptr && vote->last_index > 0);
  bool const is_founder = std::ranges::find(m_options.founders, from) != m_options.founders.end();
  // A founder that has a log takes part in no founding, so it prevents one by itself.
  m_has_heard_group = m_has_heard_group || (has_log && !is_founder);
  if (has_log) {
    m_last_member = from;
  }
}

std::set<base::instance_id> replica::electors() const {
  std::set<base::instance_id> electors;
  if (is_founding()) {
    electors.insert(m_options.founders.begin(), m_options.founders.end());
    return electors;
  }
  for (auto const& v : m_configuration.voters) {
    electors.insert(v.instance);
  }
  return electors;
}

void replica::count_vote(voter const& v) {
  std::erase_if(m_votes, [&](voter const& other) {
    return other.instance == v.instance && !m_configuration.is_voter(other);
  });
  m_votes.insert(v);
}

bool replica::has_majority_voted() const {
  auto const votes = std::ranges::count_if(
      m_votes, [this](voter const& v) { return m_configuration.can_vote(v); });
  return static_cast<std::size_t>(votes) >= m_configuration.quorum();
}

bool replica::has_won_election() const {
  if (is_founding()) {
    return has_won_founding();
  }
  bool const has_quorum = m_configuration.can_vote(m_options.self) && has_majority_voted();
  return has_quorum || have_all_voted_to_form_anew();
}

bool replica::has_won_founding() const {
  auto const count = m_options.founders.size();
  auto const quorum = count / 2 + 1;
  auto const first_disks = static_cast<std::size_t>(std::ranges::count_if(
      m_votes, [this](voter const& v) { return is_first_disk_of(v, m_options.founders); }));
  // What a group acknowledged is on a quorum of the founders, so this many disks that were never
  // lost, and are empty, show that there was no group.
  bool const was_no_group = first_disks >= count - quorum + 1 && m_votes.size() >= quorum;
  // If all are empty, the disks of a whole quorum would have to be lost, which is not tolerated. At
  // least one first disk is required, as members beyond the founders may hold a group.
  bool const are_all_empty = first_disks > 0 && m_votes.size() == count;
  return was_no_group || are_all_empty;
}

bool replica::is_pair() const {
  return m_configuration.voters.size() == 2 && m_configuration.desired_voters.size() == 2 &&
         electors().size() == 2;
}

bool replica::may_form_anew() const {
  return m_configuration.has_voter_without_disk() || is_pair();
}

bool replica::can_campaign() const {
  return m_configuration.can_vote(m_options.self) ||
         (may_form_anew() && electors().contains(m_options.self.instance));
}

std::size_t replica::max_lost_disks_to_form_anew() const {
  // A pair doesn't grow before both have stored that it is to. Any other group may have grown by
  // one voter without this instance: all but one of that group's quorum vote here, and one of them
  // must be left.
  return is_pair() ? 1 : (m_configuration.voters.size() + 1) / 2 - 1;
}

bool replica::have_all_voted_to_form_anew() const {
  if (!may_form_anew()) {
    return false;
  }
  auto const has_vote_from = [this](base::instance_id const& instance) {
    return std::ranges::find(m_votes, instance, &voter::instance) != m_votes.end();
  };
  auto const lost = std::ranges::count_if(
      m_configuration.voters, [&](voter const& v) { return v.has_disk() && !m_votes.contains(v); });
  // What was acknowledged is on a quorum of disks, and one of these is left. Its instance has voted
  // too, and it votes only for a log that is as current as its own.
  return std::ranges::all_of(electors(), has_vote_from) &&
         static_cast<std::size_t>(lost) <= max_lost_disks_to_form_anew();
}

log_entry replica::first_entry_of_term() const {
  log_entry entry{.term = m_hard_state.term,
                  .index = 0,
                  .kind = entry_kind::no_op,
                  .command = {},
                  .configuration = {}};
  bool const is_group_new =
      is_founding() || !m_configuration.can_vote(m_options.self) || !has_majority_voted();
  auto next = is_group_new ? formed_configuration() : m_configuration;
  if (!is_group_new) {
    std::ranges::for_each(m_votes, [&](voter const& v) { next.fill_place(v); });
  }
  if (next != m_configuration) {
    entry.kind = entry_kind::configuration;
    entry.configuration = std::move(next);
  }
  return entry;
}

configuration replica::formed_configuration() const {
  auto const instances = electors();
  auto formed = places_for({instances.begin(), instances.end()});
  for (auto& place : formed.voters) {
    auto const vote = std::ranges::find(m_votes, place.instance, &voter::instance);
    place = vote == m_votes.end() ? place : *vote;
  }
  formed.desired_voters = is_founding() ? m_options.founders : m_configuration.desired_voters;
  return formed;
}

void replica::step_down_without_quorum(base::monotonic_time now) {
  if (holds_lease(now) || !may_form_anew()) {
    m_last_lease = now;
    return;
  }
  if (now < m_last_lease + timeouts_without_lease * m_options.election_timeout) {
    return;
  }
  m_role = role::follower;
  m_leader.reset();
  restart_election_timer(now);
}

} // namespace catkinlanding::consensus
