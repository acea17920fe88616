#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

constexpr std::uint64_t first_start = 100;
constexpr std::uint64_t second_start = 200;

/// A group of three voters, whose leader knows no endpoint.
class withdrawals : public ::testing::Test {
protected:
  void SetUp() override {
    m_group.found({"a", "b", "c"});
    m_group.run(8s);
  }

  void announce(std::uint64_t incarnation, std::uint64_t sequence = 1) {
    call(announce_endpoint{{.id = {"e"},
                            .service = {"s"},
                            .number = {.incarnation = incarnation, .sequence = sequence}}});
  }

  void withdraw(std::optional<std::uint64_t> incarnation) {
    call(withdraw_endpoint{.endpoint = {"e"}, .incarnation = incarnation});
    EXPECT_EQ(m_group.reply(m_last_call)->kind, reply_kind::done);
  }

  /// Kills all instances at once, so that only what is in the log is left.
  void restart_group() {
    for (auto const* id : {"a", "b", "c"}) {
      m_group.stop(id);
    }
    for (auto const* id : {"a", "b", "c"}) {
      m_group.restart(id);
    }
    m_group.run(5s);
  }

  [[nodiscard]] std::optional<endpoint_state> state() const {
    auto const* record = m_group.node(m_group.leader()).registry().find({"e"});
    return record == nullptr ? std::nullopt : std::optional(record->state);
  }

private:
  void call(call_request const& request) {
    m_group.call(m_group.leader(), ++m_last_call, request);
    m_group.run(1s);
    ASSERT_TRUE(m_group.reply(m_last_call).has_value());
  }

  control_group m_group{{"a", "b", "c"}};
  call_number m_last_call = 0;
};

// An endpoint that withdrew itself from a leader that did not know it got no work when it started
// again under the same id.
TEST_F(withdrawals, from_a_leader_without_the_endpoint_leave_later_starts_ready) {
  withdraw(first_start);
  announce(second_start);
  EXPECT_EQ(state(), endpoint_state::ready);
  announce(first_start, 7);
  EXPECT_EQ(state(), endpoint_state::ready);
  restart_group();
  announce(second_start, 2);
  EXPECT_EQ(state(), endpoint_state::ready);
}

TEST_F(withdrawals, keep_delayed_announcements_from_making_the_endpoint_ready) {
  withdraw(first_start);
  announce(first_start);
  EXPECT_EQ(state(), endpoint_state::gone);
  restart_group();
  announce(first_start, 2);
  EXPECT_EQ(state(), endpoint_state::gone);
}

TEST_F(withdrawals, cover_a_start_that_the_leader_has_not_heard_of_yet) {
  announce(first_start);
  withdraw(second_start);
  announce(second_start);
  EXPECT_EQ(state(), endpoint_state::gone);
}

// A withdrawal of an earlier start that arrived late ended the endpoint that runs now.
TEST_F(withdrawals, of_an_earlier_start_leave_the_endpoint_ready) {
  announce(second_start);
  withdraw(first_start);
  EXPECT_EQ(state(), endpoint_state::ready);
  announce(second_start, 2);
  EXPECT_EQ(state(), endpoint_state::ready);
}

// Not solved: a delayed announcement can't be told from that of a later start if the withdrawal
// names no start and the leader knows none, so the later start gets no work.
TEST_F(withdrawals, without_a_start_cover_later_starts_if_the_leader_knows_none) {
  withdraw({});
  announce(second_start);
  EXPECT_EQ(state(), endpoint_state::gone);
}

TEST_F(withdrawals, without_a_start_cover_the_start_that_the_leader_knows) {
  announce(first_start);
  withdraw({});
  announce(first_start, 2);
  EXPECT_EQ(state(), endpoint_state::gone);
  announce(second_start);
  EXPECT_EQ(state(), endpoint_state::ready);
}

} // namespace

} // namespace catkinlanding::proxy
