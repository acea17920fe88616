#include <libraries/proxy/control.h>
#include <tests/support/control_group.h>

#include <gtest/gtest.h>

#include <array>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

constexpr std::array<char const*, 3> instances{"a", "b", "c"};

/// A group of three voters whose rollout of "v2" is rolled back once its trial has begun.
class rollout_orders : public ::testing::Test {
protected:
  rollout_orders() : m_group({"a", "b", "c"}) {
    std::uint64_t disk = 0;
    for (auto const* instance : instances) {
      m_group.start(instance, ++disk, instance == instances.front());
    }
    m_group.run(5s);
  }

  /// Orders "v2" at the leader, and returns its reply.
  reply_kind order(base::duration duration = 12s) {
    auto const number = ++m_calls;
    m_group.call(m_group.leader(), number,
                 start_rollout{.service = {"s"}, .target = {"v2"}, .duration = duration});
    m_group.run(100ms);
    return m_group.reply(number).value_or(call_reply{}).kind;
  }

  /// Reports so many bad answers of the version on trial that it is rolled back.
  void fail_trial() {
    version_tally const failing{.service = {"s"},
                                .version = {"v2"},
                                .rollout = latest().number,
                                .route = "r",
                                .statistics = {.answers = 40, .bad = 20}};
    m_group.send("entry", m_group.leader(), subscription{.is_entry = true, .tallies = {failing}});
    m_group.run(100ms);
    ASSERT_EQ(latest().state, rollout_state::rolled_back);
  }

  /// A rollout of 12 s, rolled back 6.5 s after its order.
  void order_and_roll_back() {
    ASSERT_EQ(order(), reply_kind::done);
    m_group.run(6400ms);
    fail_trial();
  }

  void restart_all() {
    for (auto const* instance : instances) {
      m_group.stop(instance);
    }
    m_group.run(700ms);
    for (auto const* instance : instances) {
      m_group.restart(instance);
    }
    run_until_led();
  }

  void run_until_led() {
    for (int i = 0; i < 200 && m_group.leader().empty(); ++i) {
      m_group.run(20ms);
    }
  }

  [[nodiscard]] rollout latest() const {
    return *m_group.node(m_group.leader()).state().find_rollout({"s"});
  }

  void expect_second_rollout() const {
    EXPECT_EQ(latest().number, 2U);
    EXPECT_EQ(latest().state, rollout_state::prepared);
  }

  control_group m_group;
  call_number m_calls = 0;
};

// Guards against an order that is acknowledged and dropped (review/4, LOST): a restarted instance
// took the time at which it read its log for the time at which the rollout ended.
TEST_F(rollout_orders, are_new_after_a_restart_of_all_instances) {
  order_and_roll_back();
  m_group.run(14s);
  restart_all();
  EXPECT_EQ(order(), reply_kind::done);
  expect_second_rollout();
}

// The same for an instance whose state comes from a snapshot: its log no longer has the rollout.
TEST_F(rollout_orders, are_new_at_a_leader_with_a_new_disk) {
  order_and_roll_back();
  m_group.run(14s);
  constexpr std::size_t bytes_until_snapshot = 600 * 1024;
  replace_document large;
  large.document.revision = 1;
  large.source = std::string(bytes_until_snapshot, 'x');
  m_group.call(m_group.leader(), ++m_calls, large);
  m_group.stop("c");
  m_group.start("c", 4);
  m_group.run(3s);
  ASSERT_TRUE(m_group.voter_disks().contains(4));
  m_group.stop_gracefully("a");
  run_until_led();
  if (m_group.leader() == "b") {
    m_group.restart("a");
    m_group.run(3s);
    m_group.stop_gracefully("b");
    run_until_led();
  }
  EXPECT_EQ(order(), reply_kind::done);
  expect_second_rollout();
}

// The same without any restart: the order comes soon after the rollout ended, but too late to be
// the order that started it.
TEST_F(rollout_orders, are_new_soon_after_a_long_rollout_was_rolled_back) {
  order_and_roll_back();
  EXPECT_EQ(order(), reply_kind::done);
  expect_second_rollout();
}

TEST_F(rollout_orders, are_new_at_the_next_leader) {
  order_and_roll_back();
  m_group.stop(m_group.leader());
  run_until_led();
  EXPECT_EQ(order(), reply_kind::done);
  expect_second_rollout();
}

// Guards against a bad version that gets requests again because the answer to its order was lost.
TEST_F(rollout_orders, that_are_sent_again_start_no_second_rollout) {
  ASSERT_EQ(order(2s), reply_kind::done);
  m_group.run(1100ms);
  fail_trial();
  EXPECT_EQ(order(2s), reply_kind::done);
  EXPECT_EQ(latest().number, 1U);
}

// A restarted instance doesn't know how old a short rollout is, so it promises nothing until an
// order can't be a repetition any more.
TEST_F(rollout_orders, that_may_be_repetitions_are_unavailable_after_a_restart) {
  ASSERT_EQ(order(2s), reply_kind::done);
  m_group.run(1100ms);
  fail_trial();
  restart_all();
  EXPECT_EQ(order(2s), reply_kind::unavailable);
  EXPECT_EQ(latest().number, 1U);
  m_group.run(4s);
  EXPECT_EQ(order(2s), reply_kind::done);
  expect_second_rollout();
}

TEST_F(rollout_orders, of_a_running_rollout_are_repetitions_after_a_restart) {
  ASSERT_EQ(order(), reply_kind::done);
  restart_all();
  EXPECT_EQ(order(), reply_kind::done);
  EXPECT_EQ(latest().number, 1U);
}

// Guards against an order that is acknowledged and then replaced by another operator's, which came
// before the first one was committed.
TEST_F(rollout_orders, are_not_judged_while_another_order_for_the_service_is_under_way) {
  auto const leader = m_group.leader();
  auto const start = [&](call_number number, std::string target) {
    m_group.call(leader, number,
                 start_rollout{.service = {"s"}, .target = {std::move(target)}, .duration = 12s});
  };
  for (auto const* instance : instances) {
    if (instance != leader) {
      m_group.hold(instance);
    }
  }
  start(101, "v2");
  start(102, "v3");
  EXPECT_FALSE(m_group.reply(101).has_value());
  EXPECT_EQ(m_group.reply(102).value_or(call_reply{}).kind, reply_kind::unavailable);
  for (auto const* instance : instances) {
    if (instance != leader) {
      m_group.release(instance);
    }
  }
  m_group.run(100ms);
  ASSERT_TRUE(m_group.reply(101).has_value());
  EXPECT_EQ(m_group.reply(101)->kind, reply_kind::done);
  EXPECT_EQ(latest().target, base::version_id{"v2"});
  // Sent again, it is judged.
  start(103, "v3");
  EXPECT_EQ(m_group.reply(103).value_or(call_reply{}).kind, reply_kind::conflict);
}

} // namespace

} // namespace catkinlanding::proxy
