#include <libraries/base/hash.h>
#include <libraries/base/verify.h>
#include <libraries/storage/journal.h>
#include <tests/support/replica_group.h>

#include <algorithm>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;
using consensus::effects;
using consensus::role;

constexpr std::size_t instance_count = 6;
constexpr std::size_t max_in_flight_messages = 100;
constexpr std::uint64_t steps_per_order = 100;
constexpr int max_heal_rounds = 4000;
constexpr base::duration heal_tick_interval = 20ms;

} // namespace

replica_group::replica_group(std::uint64_t seed)
    : m_random(seed), m_fault_percent(random_below(4)), m_max_tick_interval(2 + random_below(60)) {
  for (std::size_t i = 0; i < instance_count; ++i) {
    node fresh;
    fresh.id = {std::string(1, static_cast<char>('a' + i))};
    fresh.clock_speed = 970 + static_cast<int>(random_below(61));
    fresh.storage.id = ++m_last_disk;
    m_nodes.push_back(std::move(fresh));
  }
  for (auto& node : m_nodes) {
    restart(node);
  }
  // Faults start only once there are enough voters to tolerate them.
  heal();
}

void replica_group::bootstrap() {
  if (m_waits_for_order && m_committed.empty()) {
    order_founding(node_of(m_founders[random_below(m_founders.size())]));
  }
  if (!m_founders.empty()) {
    return;
  }
  // If the first write is lost, the node starts empty and the bootstrap is repeated.
  auto& first = m_nodes.front();
  effects out;
  if (m_committed.empty() && first.replica->initialise(random_instances(), clock_of(first), out)) {
    perform(first, std::move(out), false);
  }
}

std::vector<base::instance_id> replica_group::random_instances() {
  std::vector<base::instance_id> all;
  for (auto const& node : m_nodes) {
    all.push_back(node.id);
  }
  std::ranges::shuffle(all, m_random);
  all.resize(std::min<std::size_t>(all.size(), 3 + random_below(3)));
  return all;
}

replica_group::node& replica_group::node_of(base::instance_id const& id) {
  return *std::ranges::find(m_nodes, id, &node::id);
}

base::monotonic_time replica_group::clock_of(node const& node) const {
  return base::monotonic_time(m_now.time_since_epoch() * node.clock_speed / 1000);
}

void replica_group::step() {
  if (m_waits_for_order && random_below(steps_per_order) == 0) {
    order_founding(node_of(m_founders[random_below(m_founders.size())]));
  }
  auto const kind = random_below(100);
  if (random_below(100) < m_fault_percent) {
    m_founders.empty() ? inject_fault() : inject_founding_fault();
  } else if (kind < 62) {
    deliver();
  } else if (kind < 69) {
    advance_time();
  } else if (kind < 93) {
    sync(random_node());
  } else if (kind < 98) {
    std::ranges::for_each(m_nodes, [this](auto& node) { propose(node); });
  } else if (kind < 99) {
    compact(random_node());
  } else if (m_nodes.size() > m_founders.size() && random_below(4) == 0) {
    propose_random_voters(random_node());
  }
  verify_invariants();
}

void replica_group::deliver() {
  if (m_in_flight.empty()) {
    return;
  }
  auto const index = random_below(4) != 0 ? 0 : random_below(m_in_flight.size());
  auto const in_flight_message = m_in_flight[index];
  // A message that stays in flight is delivered again later.
  if (random_below(20) != 0) {
    m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
  }
  if (random_below(20) != 0) {
    deliver(in_flight_message);
  }
}

void replica_group::deliver(in_flight_message const& in_flight_message) {
  auto& to = node_of(in_flight_message.to);
  if (!to.replica || to.is_frozen || to.partition != node_of(in_flight_message.from).partition) {
    return;
  }
  effects out;
  to.replica->receive(in_flight_message.from, in_flight_message.message, clock_of(to), out);
  perform(to, std::move(out), true);
}

void replica_group::advance_time() {
  bool const is_long = random_below(60) == 0;
  m_now += is_long ? base::duration(100ms) * (1 + random_below(9))
                   : m_max_tick_interval * random_below(100) / 100;
  start_due_nodes();
  for (auto& node : m_nodes) {
    if (random_below(4) != 0) {
      tick(node);
    }
  }
}

void replica_group::tick(node& node) {
  if (!node.replica || node.is_frozen) {
    return;
  }
  effects out;
  node.replica->tick(clock_of(node), out);
  perform(node, std::move(out), true);
}

void replica_group::sync(node& node) {
  if (!node.replica || node.is_frozen || node.storage.unsynced.empty()) {
    return;
  }
  auto const count = 1 + random_below(node.storage.unsynced.size());
  auto const end = node.storage.unsynced.begin() + static_cast<std::ptrdiff_t>(count);
  auto const last = std::prev(end)->id;
  bool const has_snapshot =
      std::any_of(node.storage.unsynced.begin(), end, [](auto const& w) { return w.snapshot; });
  std::transform(node.storage.unsynced.begin(), end, std::back_inserter(node.storage.records),
                 storage::encode_log_write);
  node.storage.unsynced.erase(node.storage.unsynced.begin(), end);
  if (has_snapshot) {
    auto const log = storage::recover_log(node.storage.records);
    CATKINLANDING_VERIFY(log);
    node.storage.records = {storage::encode_log_write(storage::compacted_write(*log))};
  }
  if (!m_is_fault_free && random_below(1000) == 0) {
    crash(node);
    return;
  }
  effects out;
  node.replica->complete_write(last, clock_of(node), out);
  perform(node, std::move(out), true);
}

void replica_group::propose(node& node) {
  if (!node.replica || node.is_frozen || node.replica->role() != role::leader) {
    return;
  }
  effects out;
  static_cast<void>(
      node.replica->propose("command " + std::to_string(++m_last_command), clock_of(node), out));
  perform(node, std::move(out), true);
}

void replica_group::propose_random_voters(node& node) {
  if (!node.replica || node.is_frozen) {
    return;
  }
  effects out;
  static_cast<void>(node.replica->propose_desired_voters(random_instances(), clock_of(node), out));
  perform(node, std::move(out), true);
}

void replica_group::compact(node& node) {
  if (!node.replica || node.is_frozen) {
    return;
  }
  effects out;
  node.replica->compact(node.applied, node.state, out);
  perform(node, std::move(out), true);
}

replica_group::node& replica_group::fault_target() {
  auto const leader = std::ranges::find_if(m_nodes, [](auto const& node) {
    return node.replica && node.replica->role() == role::leader;
  });
  return leader == m_nodes.end() || random_below(2) == 0 ? random_node() : *leader;
}

void replica_group::recover(node& node) {
  node.is_frozen = false;
  if (!node.replica && !node.starts_at && !node.stays_away) {
    restart(node);
  }
}

void replica_group::inject_fault() {
  auto& node = fault_target();
  auto const kind = random_below(20);
  if (kind < 10) {
    recover(random_node());
  } else if (kind < 12) {
    crash(node);
  } else if (kind < 13) {
    node.is_frozen = true;
  } else if (kind < 16) {
    node.partition = 1;
  } else if (kind < 18) {
    std::ranges::for_each(m_nodes, [](auto& other) { other.partition = 0; });
  } else if (kind < 19 && can_lose_disk()) {
    lose_disk(node);
  } else if (node.replica && !node.is_frozen) {
    effects out;
    node.replica->resign(clock_of(node), out);
    perform(node, std::move(out), true);
  }
}

void replica_group::crash(node& node) {
  node.replica.reset();
  // Any prefix of the unsynced writes may have reached the disk.
  auto const kept = random_below(node.storage.unsynced.size() + 1);
  for (std::size_t i = 0; i < kept; ++i) {
    node.storage.records.push_back(storage::encode_log_write(node.storage.unsynced[i]));
  }
  node.storage.unsynced.clear();
}

void replica_group::restart(node& node) {
  auto recovered = storage::recover_log(node.storage.records);
  CATKINLANDING_VERIFY(recovered);
  node.applied = recovered->snapshot.index;
  node.state = recovered->snapshot.state;
  CATKINLANDING_VERIFY(node.state == m_states.at(node.applied));
  consensus::replica::options options;
  options.self = {.instance = node.id, .disk_id = node.storage.id};
  options.seed = m_random();
  if (!m_waits_for_order) {
    options.founders = m_founders;
  }
  options.max_append_bytes = random_below(2) == 0 ? 1 : 600;
  options.snapshot_chunk_bytes = 64;
  for (auto const& other : m_nodes) {
    if (other.id != node.id) {
      options.peers.push_back(other.id);
    }
  }
  node.replica =
      consensus::replica::create(std::move(options), std::move(*recovered), clock_of(node));
}

bool replica_group::can_lose_disk() const {
  // The replicas tolerate one lost disk until a committed configuration replaces it.
  auto const has_all_disks = [&](consensus::configuration const& c) {
    auto const is_lost = [&](auto const& v) { return m_lost_disks.contains(v); };
    return c.voters.size() >= 3 && std::ranges::none_of(c.voters, is_lost) &&
           std::ranges::none_of(c.learners, is_lost);
  };
  bool const leader_has_all_disks = std::ranges::all_of(m_nodes, [&](auto const& node) {
    return !node.replica || node.replica->role() != role::leader ||
           has_all_disks(node.replica->current_configuration());
  });
  auto const committed =
      std::find_if(m_committed.rbegin(), m_committed.rend(),
                   [](auto const& item) { return item.second.configuration.has_value(); });
  return leader_has_all_disks && committed != m_committed.rend() &&
         has_all_disks(*committed->second.configuration);
}

void replica_group::lose_disk(node& node) {
  crash(node);
  m_lost_disks.insert({.instance = node.id, .disk_id = node.storage.id});
  node.storage = {};
  node.storage.id = consensus::make_disk_id(2 * ++m_last_disk, false);
}

void replica_group::perform(node& node, effects effects, bool can_crash) {
  auto const crashes = [&] {
    bool const now = can_crash && !m_is_fault_free && random_below(m_effects_per_crash) == 0;
    if (now) {
      crash(node);
    }
    return now;
  };
  for (auto& write : effects.writes) {
    node.storage.unsynced.push_back(std::move(write));
    if (crashes()) {
      return;
    }
  }
  for (auto& outgoing : effects.messages) {
    record_vote(node, outgoing.to, outgoing.message);
    if (m_in_flight.size() >= max_in_flight_messages) {
      m_in_flight.erase(m_in_flight.begin() +
                        static_cast<std::ptrdiff_t>(random_below(m_in_flight.size())));
    }
    m_in_flight.push_back({node.id, std::move(outgoing.to), std::move(outgoing.message)});
    if (crashes()) {
      return;
    }
  }
  if (effects.restored_snapshot) {
    CATKINLANDING_VERIFY(effects.restored_snapshot->index > node.applied);
    node.applied = effects.restored_snapshot->index;
    node.state = effects.restored_snapshot->state;
    CATKINLANDING_VERIFY(node.state == m_states.at(node.applied));
  }
  for (auto const& entry : effects.committed) {
    apply(node, entry);
  }
}

void replica_group::apply(node& node, consensus::log_entry const& entry) {
  CATKINLANDING_VERIFY(entry.index == node.applied + 1);
  auto const [known, is_new] = m_committed.emplace(entry.index, entry);
  // State machine safety: replicas never commit different entries at the same index.
  CATKINLANDING_VERIFY(known->second == entry);
  node.applied = entry.index;
  node.state += entry.command + "\n";
  m_states.emplace(entry.index, node.state);
}

void replica_group::record_vote(node const& node, base::instance_id const& to,
                                consensus::message const& message) {
  auto const verify_single_vote = [&](consensus::term_number term, consensus::voter const& v,
                                      base::instance_id const& candidate) {
    CATKINLANDING_VERIFY(!m_lost_disks.contains(v));
    auto const [known, is_new] = m_votes.emplace(std::pair(term, v), candidate);
    CATKINLANDING_VERIFY(known->second == candidate);
  };
  if (auto const* request = std::get_if<consensus::vote_request>(&message);
      request && !request->is_pre_vote) {
    verify_single_vote(request->term, request->candidate, node.id);
  }
  if (auto const* response = std::get_if<consensus::vote_response>(&message);
      response && !response->is_pre_vote && response->is_granted) {
    verify_single_vote(response->term, response->voter, to);
  }
}

void replica_group::verify_invariants() {
  int lease_holders = 0;
  for (auto const& node : m_nodes) {
    if (!node.replica || node.replica->role() != role::leader) {
      continue;
    }
    auto const [known, is_new] = m_leaders.emplace(node.replica->term(), node.replica->self());
    CATKINLANDING_VERIFY(known->second == node.replica->self());
    bool const holds = node.replica->holds_lease(clock_of(node));
    lease_holders += holds ? 1 : 0;
    // A lease holder serves reads, so it must know every committed entry.
    CATKINLANDING_VERIFY(!holds || m_committed.empty() ||
                         node.replica->commit_index() >= m_committed.rbegin()->first);
  }
  CATKINLANDING_VERIFY(lease_holders <= 1);
}

bool replica_group::is_healed() {
  auto const leader = std::ranges::find_if(m_nodes, [&](auto const& node) {
    return node.replica->role() == role::leader && node.replica->holds_lease(clock_of(node));
  });
  if (leader == m_nodes.end()) {
    return false;
  }
  auto const& configuration = leader->replica->current_configuration();
  bool const is_settled =
      configuration.learners.empty() &&
      configuration.voters.size() == configuration.desired_voters.size() &&
      std::ranges::all_of(configuration.voters, [&](auto const& v) {
        auto const& node = node_of(v.instance);
        return v.disk_id == node.storage.id && configuration.is_desired_voter(v.instance) &&
               node.applied == leader->applied && node.state == m_states.at(node.applied);
      });
  return is_settled && !m_committed.empty() && leader->applied == m_committed.rbegin()->first;
}

void replica_group::end_faults() {
  m_is_fault_free = true;
  for (auto& node : m_nodes) {
    node.partition = 0;
    node.stays_away = false;
    // Only the one that is late is no longer started as at the first start of all.
    bool const is_late = node.starts_at && *node.starts_at > m_now + 1s;
    if (is_late) {
      abort_first_start(node);
    }
    node.starts_at.reset();
    recover(node);
  }
}

void replica_group::run_without_faults() {
  m_now += heal_tick_interval;
  for (auto& node : m_nodes) {
    tick(node);
    sync(node);
  }
  for (auto const& in_flight_message : std::exchange(m_in_flight, {})) {
    deliver(in_flight_message);
  }
  verify_invariants();
}

void replica_group::heal() {
  end_faults();
  bootstrap();
  for (int round = 0; round < max_heal_rounds; ++round) {
    run_without_faults();
    if (is_healed()) {
      m_is_fault_free = false;
      return;
    }
  }
  CATKINLANDING_VERIFY(!"the group converges after all faults have ended");
}

} // namespace catkinlanding::testing
