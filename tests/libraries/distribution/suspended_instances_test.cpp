#include <libraries/distribution/publisher.h>
#include <libraries/routing/policy.h>

#include <gtest/gtest.h>

namespace catkinlanding::distribution {

namespace {

using namespace std::chrono_literals;

constexpr base::duration lease_duration = 2s;
constexpr base::duration suspension = 10s;

/// An entry instance with a lease from its publisher, whose own lease ends together with it. Both
/// clocks count the time in which the machines are suspended.
class suspended_instances : public ::testing::Test {
protected:
  void SetUp() override {
    catalogue::document document;
    catalogue::change change;
    change.upserts.emplace_back(catalogue::model{.id = {"m"}, .stewardship = {}});
    document.apply(change);
    m_publisher_catalogue.load_from_log(document, {change}, m_lease_end);
    m_entry.receive(m_publisher_id, answer_to(send_poll()), m_now);
    // The first poll has acknowledged nothing yet.
    m_now += 600ms;
    m_entry.receive(m_publisher_id, answer_to(send_poll()), m_now);
    ASSERT_TRUE(m_entry.has_lease(m_now));
  }

  poll send_poll() {
    effects polls;
    m_entry.poll_on_next_tick();
    m_entry.tick({.in_force = m_entry.document().revision(), .list_instances = {}}, m_now, polls);
    EXPECT_EQ(polls.size(), 1U);
    return std::get<poll>(polls.front().message);
  }

  update answer_to(poll const& poll) {
    effects answers;
    m_publisher.receive({"entry"}, poll, m_publisher_catalogue, m_lease_end, m_now, answers);
    EXPECT_EQ(answers.size(), 1U);
    return std::get<update>(answers.front().message);
  }

  /// Whether the entry instance may send new work to a version on trial.
  [[nodiscard]] bool dispatches_to_a_trial() const {
    catalogue::version trial;
    trial.standing = catalogue::standing::trial;
    return routing::can_receive_work(trial, m_entry.has_lease(m_now), m_entry.without_lease(m_now));
  }

  base::monotonic_time m_now{1000s};
  base::monotonic_time const m_lease_end{m_now + lease_duration};
  base::instance_id m_publisher_id{"publisher"};
  subscriber m_publisher_catalogue{{.zone = {"south"}, .incarnation = 1}};
  publisher m_publisher{{.self = m_publisher_id, .zone = {"south"}, .incarnation = 1}};
  subscriber m_entry{{.zone = {"south"}, .publishers = {m_publisher_id}, .incarnation = 1}};
};

// Guards against an entry instance that sends work to a version which was withdrawn while its
// machine was suspended, under a lease from before.
TEST_F(suspended_instances, dispatch_nothing_under_a_lease_from_before) {
  ASSERT_TRUE(dispatches_to_a_trial());
  m_now += suspension;
  EXPECT_FALSE(m_entry.has_lease(m_now));
  EXPECT_GE(m_entry.without_lease(m_now), suspension - lease_duration);
  EXPECT_FALSE(dispatches_to_a_trial());
}

// Guards against the same by an answer that had arrived, or was under way, before the suspension.
TEST_F(suspended_instances, take_no_lease_from_an_answer_of_before) {
  auto const answer = answer_to(send_poll());
  m_now += suspension;
  m_entry.receive(m_publisher_id, answer, m_now);
  EXPECT_FALSE(m_entry.has_lease(m_now));
  EXPECT_FALSE(dispatches_to_a_trial());
}

// Guards against a publisher that passes on a lease of its own which ran out while its machine was
// suspended.
TEST_F(suspended_instances, grant_nothing_under_a_lease_from_before) {
  m_now += suspension;
  auto const answer = answer_to(send_poll());
  EXPECT_TRUE(!answer.lease || *answer.lease <= base::duration::zero());
  m_entry.receive(m_publisher_id, answer, m_now);
  EXPECT_FALSE(m_entry.has_lease(m_now));
}

} // namespace

} // namespace catkinlanding::distribution
