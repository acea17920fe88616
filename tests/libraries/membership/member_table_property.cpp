#include <libraries/membership/member_table.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>

namespace catkinlanding::membership {

namespace {

constexpr base::duration second = std::chrono::seconds(1);

/// Member tables that gossip over a network which loses, duplicates and reorders messages.
class gossip_network {
public:
  gossip_network(std::size_t zones, std::size_t size, std::uint64_t seed, unsigned loss_percent)
      : m_random(seed), m_loss_percent(loss_percent) {
    for (std::size_t i = 0; i < size; ++i) {
      m_members.push_back({.id = {"i" + std::to_string(i)},
                           .zone = {"z" + std::to_string(i % zones)},
                           .address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(i)},
                           .is_control = i < zones,
                           .incarnation = 1});
    }
    for (std::size_t i = 0; i < size; ++i) {
      start(i, 1);
    }
  }

  void start(std::size_t index, std::uint64_t incarnation) {
    m_members[index].incarnation = incarnation;
    // The only seed is the first zone's control instance.
    m_tables[m_members[index].id] = std::make_unique<member_table>(
        member_table::options{
            .self = m_members[index], .seeds = {seed_member()}, .seed = m_random()},
        m_now);
  }

  void kill(std::size_t index) { m_tables.erase(m_members[index].id); }

  void run(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      m_now += second;
      for (auto& [id, table] : m_tables) {
        effects out;
        table->tick(m_now, out);
        post(id, out);
      }
      deliver();
    }
  }

  [[nodiscard]] member_table const& table(std::size_t index) const {
    return *m_tables.at(m_members[index].id);
  }
  [[nodiscard]] bool sees_as_live(std::size_t index, std::size_t other) const {
    return table(index).is_live(m_members[other].id, m_now);
  }
  [[nodiscard]] member const& member_at(std::size_t index) const { return m_members[index]; }
  [[nodiscard]] base::monotonic_time now() const { return m_now; }

private:
  struct delivery {
    base::instance_id from;
    outgoing message;
  };

  [[nodiscard]] member seed_member() const {
    auto seed = m_members[0];
    seed.incarnation = 0;
    return seed;
  }

  void post(base::instance_id const& from, effects const& out) {
    for (auto const& message : out) {
      bool const is_lost = m_random() % 100 < m_loss_percent;
      bool const is_duplicated = m_random() % 100 < m_loss_percent;
      for (int copies = is_lost ? 0 : (is_duplicated ? 2 : 1); copies > 0; --copies) {
        m_deliveries.push_back({from, message});
      }
    }
  }

  void deliver() {
    // The second round delivers the replies to messages of the first.
    for (int rounds = 0; rounds < 2; ++rounds) {
      auto deliveries = std::exchange(m_deliveries, {});
      std::ranges::shuffle(deliveries, m_random);
      for (auto const& [from, message] : deliveries) {
        auto const it = m_tables.find(message.to);
        if (it != m_tables.end()) {
          effects out;
          it->second->receive(from, message.message, m_now, out);
          post(message.to, out);
        }
      }
    }
  }

  base::random_generator m_random;
  unsigned m_loss_percent;
  base::monotonic_time m_now{std::chrono::hours(1)};
  std::vector<member> m_members;
  std::map<base::instance_id, std::unique_ptr<member_table>> m_tables;
  std::vector<delivery> m_deliveries;
};

RC_GTEST_PROP(member_table, one_seed_suffices_to_learn_of_the_whole_zone, ()) {
  auto const zones = *rc::gen::inRange<std::size_t>(1, 5);
  auto const size = zones * *rc::gen::inRange<std::size_t>(1, 8);
  gossip_network network(zones, size, *rc::gen::arbitrary<std::uint64_t>(),
                         *rc::gen::inRange(0U, 30U));
  network.run(60);
  for (std::size_t i = 0; i < size; ++i) {
    for (std::size_t j = 0; j < size; ++j) {
      bool const is_same_zone = i % zones == j % zones;
      if (i != j && is_same_zone) {
        RC_ASSERT(network.sees_as_live(i, j));
      }
    }
  }
}

RC_GTEST_PROP(member_table, a_killed_instance_expires_and_returns_when_restarted, ()) {
  std::size_t const size = *rc::gen::inRange<std::size_t>(3, 12);
  auto const killed = *rc::gen::inRange<std::size_t>(0, size);
  gossip_network network(1, size, *rc::gen::arbitrary<std::uint64_t>(), 10);
  network.run(30);
  network.kill(killed);
  // Longer than the liveness timeout plus the time for which old descriptions still circulate.
  network.run(45);
  for (std::size_t i = 0; i < size; ++i) {
    if (i != killed) {
      RC_ASSERT_FALSE(network.sees_as_live(i, killed));
    }
  }
  network.start(killed, 2);
  network.run(30);
  for (std::size_t i = 0; i < size; ++i) {
    if (i != killed) {
      RC_ASSERT(network.sees_as_live(i, killed));
    }
  }
}

TEST(member_table, detects_a_newer_process_with_the_same_name) {
  member const self{.id = {"a"}, .zone = {"z"}, .incarnation = 3};
  member_table table({.self = self}, base::monotonic_time{});
  effects out;
  auto other_process = self;
  other_process.incarnation = 2;
  table.receive({"b"}, {.members = {other_process}}, base::monotonic_time{}, out);
  EXPECT_FALSE(table.is_name_taken());
  other_process.incarnation = 4;
  table.receive({"b"}, {.members = {other_process}}, base::monotonic_time{}, out);
  EXPECT_TRUE(table.is_name_taken());
}

TEST(member_table, stays_bounded_under_unknown_names) {
  member const self{.id = {"a"}, .zone = {"z"}};
  member_table table({.self = self, .max_members = 10}, base::monotonic_time{});
  effects out;
  for (int i = 0; i < 100; ++i) {
    member const made_up{.id = {"x" + std::to_string(i)}, .zone = {"z"}};
    table.receive({"b"}, {.members = {made_up}}, base::monotonic_time{}, out);
  }
  EXPECT_EQ(table.size(), 10U);
}

TEST(member_table, ignores_a_leaving_instance_at_once) {
  member const self{.id = {"a"}, .zone = {"z"}};
  member_table table({.self = self}, base::monotonic_time{});
  effects out;
  member other{.id = {"b"}, .zone = {"z"}, .incarnation = 1, .heartbeat = 5};
  table.receive({"b"}, {.members = {other}}, base::monotonic_time{}, out);
  EXPECT_EQ(table.zone_peers(base::monotonic_time{}).size(), 1U);
  other.is_leaving = true;
  other.heartbeat = 4;
  table.receive({"c"}, {.members = {other}}, base::monotonic_time{}, out);
  EXPECT_TRUE(table.zone_peers(base::monotonic_time{}).empty());
}

} // namespace

} // namespace catkinlanding::membership
