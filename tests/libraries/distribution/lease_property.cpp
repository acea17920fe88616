#include <libraries/base/overloaded.h>
#include <libraries/distribution/publisher.h>
#include <libraries/routing/chooser.h>
#include <tests/support/random_actions.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>

/// Random runs over the publishers and subscribers of three availability zones. Consensus is
/// replaced by a small model: one leader at a time, under a lease, with a quorum of the control
/// instances.
namespace catkinlanding::distribution {

namespace {

using base::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(50);
constexpr duration leader_lease = milliseconds(800);
constexpr duration election_delay = milliseconds(300);
constexpr duration grant = seconds(2);
/// Long enough for delayed messages, the return to the preferred publisher and the liveness
/// timeout.
constexpr duration heal_duration = seconds(50);

/// One fault or one catalogue change, and the number of steps that the simulation runs after it.
using action = testing::random_action;

struct node {
  base::instance_id id;
  base::availability_zone_id zone;
  bool is_control = false;
  /// Whether the node polls the leader directly and is polled by the other nodes of its zone.
  bool is_relay = false;
  /// What this node's clock shows when the simulated time is zero.
  duration offset{};
  std::uint64_t incarnation = 0;
  bool is_running = true;
  bool is_frozen = false;
  std::optional<subscriber> catalogue_subscriber;
  std::optional<publisher> catalogue_publisher;
  /// The highest revision that this process received in any message.
  catalogue::revision received = 0;
};

struct delivery {
  std::size_t from;
  std::size_t to;
  distribution::message message;
  duration due;
};

class deployment_simulation {
public:
  explicit deployment_simulation(std::uint64_t seed) : m_random(seed) {
    for (auto const* name : {"a1", "a2", "a3", "b1", "b2", "c1", "c2"}) {
      node node;
      node.id = {name};
      node.zone = {std::string(1, name[0])};
      node.is_control = name[1] == '1';
      node.is_relay = std::string_view(name) == "a2";
      node.offset = seconds(1000 + random_below(100'000));
      m_nodes.push_back(std::move(node));
    }
    for (auto& node : m_nodes) {
      start(node);
    }
    commit_initial_catalogue();
  }

  void perform(action const& action) {
    auto& node = m_nodes[action.parameter % m_nodes.size()];
    switch (action.kind % 9) {
    case 0:
      m_partitioned_zones.insert(node.zone);
      break;
    case 1:
      m_partitioned_zones.clear();
      break;
    case 2:
      node.is_frozen = true;
      break;
    case 3:
      resume(node);
      break;
    case 4:
      stop(node);
      break;
    case 5:
      start(node);
      break;
    case 6:
      stop(node);
      start(node);
      break;
    case 7:
      withdraw_version();
      break;
    default:
      m_loss_percent = action.parameter % 60;
      break;
    }
    for (int i = 0; i < action.steps % 64; ++i) {
      advance();
    }
  }

  void heal() {
    m_is_fault_free = true;
    m_partitioned_zones.clear();
    m_loss_percent = 0;
    for (auto& node : m_nodes) {
      if (!node.is_running) {
        start(node);
      }
      resume(node);
    }
    for (auto const end = m_now + heal_duration; m_now < end;) {
      advance();
    }
    RC_ASSERT(m_reported_in_force == m_document.revision());
    auto const& leader = m_nodes[m_leader.value()];
    for (auto const& zone : leader.catalogue_publisher->zones(
             leader.catalogue_subscriber->document().revision(), local_time(leader))) {
      RC_ASSERT(zone.live == (zone.zone.value == "a" ? 3U : 2U));
      RC_ASSERT(zone.silent == 0U);
    }
  }

private:
  std::uint64_t random_below(std::uint64_t below) { return m_random() % below; }

  [[nodiscard]] base::monotonic_time local_time(node const& node) const {
    return base::monotonic_time(m_now + node.offset);
  }
  [[nodiscard]] bool is_up(node const& node) const { return node.is_running && !node.is_frozen; }
  [[nodiscard]] bool are_connected(node const& left, node const& right) const {
    return left.zone == right.zone ||
           (!m_partitioned_zones.contains(left.zone) && !m_partitioned_zones.contains(right.zone));
  }

  void stop(node& node) {
    node.is_running = false;
    node.is_frozen = false;
  }

  void start(node& node) {
    if (node.is_running && node.catalogue_subscriber) {
      return;
    }
    node.is_running = true;
    node.incarnation += 1;
    node.received = 0;
    subscriber::options subscriber_options;
    subscriber_options.zone = node.zone;
    subscriber_options.incarnation = node.incarnation;
    subscriber_options.started_at = local_time(node);
    subscriber_options.follows_leader = node.is_relay;
    publisher::options publisher_options;
    publisher_options.self = node.id;
    publisher_options.zone = node.zone;
    publisher_options.incarnation = node.incarnation;
    for (auto const& other : m_nodes) {
      publisher_options.members.push_back({.instance = other.id, .zone = other.zone});
      if (other.zone == node.zone && other.id != node.id) {
        subscriber_options.zone_peers.push_back(other.id);
      }
      if (!node.is_control && other.is_control) {
        auto const at = other.zone == node.zone ? subscriber_options.publishers.begin()
                                                : subscriber_options.publishers.end();
        subscriber_options.publishers.insert(at, other.id);
      }
    }
    for (auto const& other : m_nodes) {
      bool const is_polled = other.is_relay && other.zone == node.zone;
      if (is_polled && !node.is_relay && !node.is_control) {
        subscriber_options.publishers.insert(subscriber_options.publishers.begin(), other.id);
      }
    }
    node.catalogue_subscriber.emplace(subscriber_options);
    node.catalogue_publisher.emplace(publisher_options);
  }

  /// Checks what the process would do right after it resumes, before any message reaches it.
  void resume(node& node) {
    node.is_frozen = false;
    if (node.is_running) {
      check(node);
    }
  }

  void commit_initial_catalogue() {
    catalogue::change change;
    change.upserts.emplace_back(catalogue::model{.id = {"m"}, .stewardship = {}});
    for (int i = 0; i < 40; ++i) {
      catalogue::version version;
      version.model = {"m"};
      version.id = {std::to_string(i)};
      version.standing = i % 2 == 0 ? catalogue::standing::settled : catalogue::standing::trial;
      version.without_lease = seconds(i % 2 == 0 ? i : 0);
      change.upserts.emplace_back(std::move(version));
    }
    m_document.apply(change);
    m_changes.push_back(change);
  }

  void withdraw_version() {
    if (!m_leader || !is_leading(*m_leader) || !has_quorum()) {
      return;
    }
    for (auto const& [key, version] : m_document.versions()) {
      if (version.standing != catalogue::standing::withdrawn) {
        auto withdrawn = version;
        withdrawn.standing = catalogue::standing::withdrawn;
        catalogue::change change;
        change.base_revision = m_document.revision();
        change.upserts.emplace_back(withdrawn);
        m_document.apply(change);
        m_changes.push_back(change);
        m_withdrawn[key] = {.revision = m_document.revision(),
                            .until = m_now + grant + m_document.time_without_lease()};
        load_from_log(*m_leader);
        return;
      }
    }
  }

  [[nodiscard]] bool has_quorum_around(node const& node) const {
    auto const reaches = [&](distribution::node const& other) {
      return other.is_control && is_up(other) && are_connected(node, other);
    };
    return is_up(node) && std::ranges::count_if(m_nodes, reaches) >= 2;
  }
  [[nodiscard]] bool has_quorum() const {
    return m_leader && has_quorum_around(m_nodes[*m_leader]);
  }

  void elect() {
    if (m_leader && is_leading(*m_leader) && has_quorum()) {
      m_leader_lease_end = m_now + leader_lease;
    }
    // A restarted process is no longer the leader, even if its predecessor was.
    bool const is_term_over = !m_leader || m_now >= m_leader_lease_end + election_delay;
    if (!is_term_over) {
      return;
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      auto const candidate = (i + random_below(m_nodes.size())) % m_nodes.size();
      if (m_nodes[candidate].is_control && has_quorum_around(m_nodes[candidate])) {
        m_leader = candidate;
        m_leader_incarnation = m_nodes[candidate].incarnation;
        m_leader_since = m_now;
        m_leader_lease_end = m_now + leader_lease;
        return;
      }
    }
  }

  [[nodiscard]] bool is_leading(std::size_t index) const {
    return m_leader == index && m_nodes[index].incarnation == m_leader_incarnation &&
           m_now < m_leader_lease_end;
  }

  void advance() {
    m_now += step;
    elect();
    if (m_leader && is_leading(*m_leader)) {
      m_latest_lease_end = m_now + grant;
    }
    // Messages are delivered in random order before the ticks.
    deliver();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (is_up(m_nodes[i])) {
        tick(i);
      }
    }
    for (auto const& node : m_nodes) {
      if (is_up(node)) {
        check(node);
      }
    }
  }

  void tick(std::size_t index) {
    auto& node = m_nodes[index];
    auto const now = local_time(node);
    effects out;
    if (node.is_control) {
      node.catalogue_subscriber->set_leader(m_leader ? std::optional(m_nodes[*m_leader].id)
                                                     : std::nullopt);
      if (is_leading(index)) {
        load_from_log(index);
        record_in_force(node);
      } else if (m_leader && m_leader != index && are_connected(node, m_nodes[*m_leader])) {
        node.catalogue_subscriber->follow(m_nodes[*m_leader].id);
      }
    }
    node.catalogue_publisher->tick(now);
    if (!is_leading(index)) {
      node.catalogue_subscriber->tick(
          node.catalogue_publisher->summary(node.catalogue_subscriber->document().revision(), now),
          now, out);
    }
    send(index, std::move(out));
  }

  void load_from_log(std::size_t index) {
    auto& node = m_nodes[index];
    auto const now = local_time(node);
    effects out;
    if (node.catalogue_subscriber->load_from_log(m_document, m_changes, now + leader_lease)) {
      node.catalogue_publisher->push(*node.catalogue_subscriber, now, out);
    }
    send(index, std::move(out));
  }

  /// Records the revision that the leader reports as in force everywhere.
  void record_in_force(node const& leader) {
    auto const revision = m_document.revision();
    bool const knows_all_leases = m_now >= m_leader_since + grant;
    if (knows_all_leases && leader.catalogue_publisher->is_in_force_everywhere(
                                revision, revision, local_time(leader))) {
      m_reported_in_force = revision;
    }
  }

  void send(std::size_t from, effects out) {
    for (auto& outgoing : out) {
      auto const to = static_cast<std::size_t>(std::ranges::find(m_nodes, outgoing.to, &node::id) -
                                               m_nodes.begin());
      if (!are_connected(m_nodes[from], m_nodes[to]) || random_below(100) < m_loss_percent) {
        continue;
      }
      m_in_flight.push_back({from, to, outgoing.message, m_now + delay()});
      if (random_below(10) == 0) {
        m_in_flight.push_back({from, to, std::move(outgoing.message), m_now + delay()});
      }
    }
  }

  duration delay() {
    auto const kind = random_below(20);
    if (m_is_fault_free) {
      return milliseconds(1);
    }
    if (kind == 0) {
      return milliseconds(random_below(20'000));
    }
    return milliseconds(kind < 4 ? random_below(2000) : 1);
  }

  void deliver() {
    std::ranges::shuffle(m_in_flight, m_random);
    auto deliveries = std::exchange(m_in_flight, {});
    for (auto& delivery : deliveries) {
      auto const& to = m_nodes[delivery.to];
      if (m_now < delivery.due || to.is_frozen) {
        m_in_flight.push_back(std::move(delivery));
      } else if (to.is_running && are_connected(m_nodes[delivery.from], to)) {
        receive(delivery);
      }
    }
  }

  void receive(delivery const& delivery) {
    auto& node = m_nodes[delivery.to];
    auto const now = local_time(node);
    auto const& from = m_nodes[delivery.from].id;
    effects out;
    std::visit(base::overloaded{
                   [&](poll const& poll) {
                     if (is_leading(delivery.to)) {
                       load_from_log(delivery.to);
                     }
                     auto const until = is_leading(delivery.to)
                                            ? std::optional(now + grant)
                                            : node.catalogue_subscriber->lease_until();
                     node.catalogue_publisher->receive(from, poll, *node.catalogue_subscriber,
                                                       until, now, out);
                   },
                   [&](update const& update) {
                     auto const before = node.catalogue_subscriber->document().revision();
                     if (node.catalogue_subscriber->receive(from, update, now)) {
                       node.catalogue_publisher->push(*node.catalogue_subscriber, now, out);
                     }
                     RC_ASSERT(node.catalogue_subscriber->document().revision() >= before);
                     if (update.document) {
                       node.received = std::max(node.received, update.document->revision());
                     }
                   },
               },
               delivery.message);
    send(delivery.to, std::move(out));
  }

  void check(node const& node) const {
    auto const now = local_time(node);
    auto const& document = node.catalogue_subscriber->document();
    RC_ASSERT(document.revision() >= node.received);
    if (auto const until = node.catalogue_subscriber->lease_until();
        until && node.catalogue_subscriber->has_lease(now)) {
      RC_ASSERT(until->time_since_epoch() - node.offset <= m_latest_lease_end);
      RC_ASSERT(document.revision() >= m_reported_in_force);
    }
    for (auto const& [key, version] : document.versions()) {
      auto const withdrawn = m_withdrawn.find(key);
      bool const gets_work =
          routing::can_receive_work(version, node.catalogue_subscriber->has_lease(now),
                                    node.catalogue_subscriber->without_lease(now));
      if (withdrawn != m_withdrawn.end() && gets_work) {
        RC_ASSERT(withdrawn->second.revision > m_reported_in_force);
        RC_ASSERT(m_now <= withdrawn->second.until);
      }
    }
  }

  struct withdrawal {
    catalogue::revision revision = 0;
    /// The time by which the withdrawal must be in force, as reported to the operator.
    duration until{};
  };

  std::mt19937_64 m_random;
  duration m_now{};
  std::vector<node> m_nodes;
  std::vector<delivery> m_in_flight;
  std::set<base::availability_zone_id> m_partitioned_zones;
  std::uint64_t m_loss_percent = 0;
  bool m_is_fault_free = false;
  catalogue::document m_document;
  std::deque<catalogue::change> m_changes;
  std::map<catalogue::document::version_key, withdrawal> m_withdrawn;
  std::optional<std::size_t> m_leader;
  std::uint64_t m_leader_incarnation = 0;
  duration m_leader_since{};
  duration m_leader_lease_end{};
  /// No lease on any node may end after this time.
  duration m_latest_lease_end{};
  catalogue::revision m_reported_in_force = 0;
};

RC_GTEST_PROP(leases, never_contradict_what_operators_were_told, ()) {
  testing::run_random_actions<deployment_simulation>();
}

} // namespace

} // namespace catkinlanding::distribution
