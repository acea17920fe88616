#include <libraries/base/hash.h>
#include <libraries/base/random.h>
#include <libraries/limits/share_relay.h>
#include <libraries/limits/share_source.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

/// Simulates a leader, the relays and entry instances of two availability zones, and the entry
/// instances of a zone without relays. Messages are lost, duplicated and delayed, each process has
/// its own clock, processes freeze and restart, zones are partitioned, and leaders change.
namespace catkinlanding::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t limit = 10'007;
constexpr std::uint64_t floor_permille = 300;
constexpr int steps = 4000;
constexpr int fault_free_steps = 400;

share_key key() {
  return {.customer = {"large"}, .request_class = {}};
}

base::instance_id relay_id(std::size_t index) {
  return {"relay-" + std::to_string(index)};
}

/// A relay or an entry instance; `relay` is set for a relay only.
struct node {
  base::instance_id id;
  /// Zones 0 and 1 have relays, zone 2 has none.
  std::size_t zone = 0;
  bool is_relay = false;
  base::duration offset{};
  std::uint64_t incarnation = 0;
  bool is_frozen = false;
  std::optional<share_relay> relay;
  std::optional<share_lessee> lessee;
  std::optional<share_source> source;
};

class run {
public:
  explicit run(std::uint64_t seed) : m_random(seed) {
    // With one relay and one entry per zone nothing is left unused, so that the sum has no slack.
    m_relays_per_zone = 1 + m_random() % 2;
    m_entries_per_zone = 1 + m_random() % 4;
    for (std::size_t i = 0; i < 2 * m_relays_per_zone; ++i) {
      m_nodes.push_back({.id = relay_id(i), .zone = i / m_relays_per_zone, .is_relay = true});
    }
    for (std::size_t i = 0; i < 3 * m_entries_per_zone; ++i) {
      m_nodes.push_back({.id = {"entry-" + std::to_string(i)}, .zone = i / m_entries_per_zone});
    }
    m_allocator.emplace(allocator_options(), base::monotonic_time{});
    for (auto& node : m_nodes) {
      node.offset = seconds(m_random() % 1000);
      start(node);
    }
    m_limits[key()] = limit;
  }

  void step() {
    m_now += milliseconds(m_random() % 200);
    inject_fault();
    tick();
    for (auto count = m_random() % 40; count > 0 && !m_in_flight.empty(); --count) {
      deliver(m_random() % m_in_flight.size(), m_random() % 20 == 0, m_random() % 20 == 0);
    }
    check();
  }

  void fault_free_step() {
    m_now += milliseconds(50);
    tick();
    while (!m_in_flight.empty()) {
      deliver(0, false, false);
    }
    check();
  }

  void heal() {
    m_demand.fill(4000);
    m_is_partitioned.fill(false);
    for (auto& node : m_nodes) {
      node.is_frozen = false;
    }
  }

  [[nodiscard]] std::uint64_t floor() const {
    return share_allocator::floor_of(limit, floor_permille, floor_holders());
  }
  [[nodiscard]] std::size_t relays_per_zone() const { return m_relays_per_zone; }

  void partition_permanently(std::size_t zone) { m_is_partitioned.at(zone) = true; }

  [[nodiscard]] std::uint64_t used_in(std::size_t zone) const {
    std::uint64_t sum = 0;
    for (auto const& node : m_nodes) {
      sum += !node.is_relay && node.zone == zone ? used_by(node) : 0;
    }
    return sum;
  }

private:
  struct envelope {
    base::instance_id from;
    base::instance_id to;
    limits::message message;
  };

  [[nodiscard]] base::monotonic_time local_time(node const& node) const {
    return m_now + node.offset;
  }

  void start(node& node) {
    node.is_frozen = false;
    ++node.incarnation;
    share_lessee::options const lessee{.first_sequence = node.incarnation * 1'000'000};
    if (node.is_relay) {
      node.relay.emplace(share_relay::options{.floor_holders = floor_holders(),
                                              .floor_permille = floor_permille,
                                              .lessee = lessee},
                         local_time(node));
    } else {
      node.lessee.emplace(lessee);
    }
    share_source::options source{.relays = {}, .control_instances = {{"leader"}}};
    if (!node.is_relay && node.zone < 2) {
      for (std::size_t i = 0; i < m_relays_per_zone; ++i) {
        source.relays.push_back(relay_id(m_relays_per_zone * node.zone + i));
      }
      if (base::stable_hash(node.id.value) % 2 == 0) {
        std::ranges::reverse(source.relays);
      }
    }
    node.source.emplace(std::move(source));
  }

  void inject_fault() {
    auto& node = m_nodes[m_random() % m_nodes.size()];
    auto const kind = m_random() % 100;
    if (kind < 1) {
      start(node);
    } else if (kind < 3) {
      node.is_frozen = !node.is_frozen;
    } else if (kind < 5) {
      m_is_partitioned.at(node.zone) = !m_is_partitioned.at(node.zone);
    } else if (kind < 6) {
      m_allocator.emplace(allocator_options(), m_now + share_allocator::options{}.lease);
    } else if (kind < 16) {
      constexpr std::array<std::uint64_t, 3> demands{0, 40, 400'000};
      m_demand.at(node.zone) = demands.at(m_random() % demands.size());
    }
  }

  void tick() {
    for (auto& node : m_nodes) {
      if (node.is_frozen) {
        continue;
      }
      auto const now = local_time(node);
      auto const request = node.is_relay
                               ? node.relay->tick(m_limits, now)
                               : node.lessee->tick({{key(), m_demand.at(node.zone)}}, now);
      if (request) {
        m_in_flight.push_back({node.id, *node.source->next(now), *request});
      }
    }
  }

  void deliver(std::size_t index, bool is_duplicated, bool is_lost) {
    auto const envelope = m_in_flight[index];
    if (!is_duplicated) {
      m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (is_lost || is_partitioned(envelope)) {
      return;
    }
    if (auto const* request = std::get_if<share_request>(&envelope.message)) {
      answer(envelope, *request);
    } else {
      auto& to = find(envelope.to);
      apply_grant(to, std::get<share_grant>(envelope.message));
    }
  }

  void answer(envelope const& envelope, share_request const& request) {
    if (envelope.to.value == "leader") {
      m_in_flight.push_back({envelope.to, envelope.from,
                             m_allocator->receive(envelope.from, request, m_limits, m_now)});
      return;
    }
    auto& relay = find(envelope.to);
    if (!relay.is_frozen) {
      m_in_flight.push_back(
          {envelope.to, envelope.from,
           relay.relay->receive(envelope.from, request, m_limits, local_time(relay))});
    }
  }

  void apply_grant(node& node, share_grant const& grant) {
    if (node.is_frozen) {
      return;
    }
    node.source->note_answer();
    if (node.is_relay) {
      node.relay->receive(grant, local_time(node));
    } else {
      node.lessee->receive(grant, local_time(node));
    }
  }

  [[nodiscard]] bool is_partitioned(envelope const& envelope) const {
    bool const has_leader = envelope.from.value == "leader" || envelope.to.value == "leader";
    auto const& other = envelope.from.value == "leader" ? envelope.to : envelope.from;
    return has_leader && m_is_partitioned.at(find(other).zone);
  }

  [[nodiscard]] node const& find(base::instance_id const& id) const {
    return *std::ranges::find(m_nodes, id, &node::id);
  }
  node& find(base::instance_id const& id) { return *std::ranges::find(m_nodes, id, &node::id); }

  [[nodiscard]] std::uint64_t used_by(node const& node) const {
    return node.lessee->share_of(key(), local_time(node)) + (node.zone == 2 ? floor() : 0);
  }

  void check() const { RC_ASSERT(used_in(0) + used_in(1) + used_in(2) <= limit); }

  /// The relays, and the entry instances of the zone without relays.
  [[nodiscard]] std::size_t floor_holders() const {
    return 2 * m_relays_per_zone + m_entries_per_zone;
  }

  [[nodiscard]] share_allocator::options allocator_options() const {
    return {.instances = floor_holders(), .floor_permille = floor_permille};
  }

  base::random_generator m_random;
  base::monotonic_time m_now{seconds(1)};
  std::size_t m_relays_per_zone = 0;
  std::size_t m_entries_per_zone = 0;
  std::optional<share_allocator> m_allocator;
  std::vector<node> m_nodes;
  std::array<bool, 3> m_is_partitioned{};
  /// Demand of each entry instance, by zone. Moving demand moves shares between zones; a share must
  /// be released in one zone before another may use it.
  std::array<std::uint64_t, 3> m_demand{4000, 4000, 4000};
  std::vector<envelope> m_in_flight;
  shares m_limits;
};

} // namespace

RC_GTEST_PROP(relayed_shares, never_exceed_the_limit_in_total, (std::uint64_t seed)) {
  run run(seed);
  for (int i = 0; i < steps; ++i) {
    run.step();
  }
  run.heal();
  for (int i = 0; i < fault_free_steps; ++i) {
    run.fault_free_step();
  }
  // More than the floors of the zone's relays, so the leader's leases reach its entry instances.
  auto const floors = run.relays_per_zone() * run.floor();
  RC_ASSERT(run.used_in(0) > floors);
  RC_ASSERT(run.used_in(1) > floors);
  run.partition_permanently(0);
  for (int i = 0; i < fault_free_steps; ++i) {
    run.fault_free_step();
  }
  // A partitioned zone's relays go on sub-leasing their floors.
  RC_ASSERT(run.used_in(0) > floors / 3);
  RC_ASSERT(run.used_in(0) <= floors);
}

} // namespace catkinlanding::limits
