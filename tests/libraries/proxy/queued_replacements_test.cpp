#include <tests/support/router_fixture.h>

#include <tuple>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr request_number other = 2;
constexpr request_number later = 3;

/// Two endpoints that run one request each. The stream of one pauses, and the other, which is at
/// work on another request, is asked to continue it.
class queued_replacements : public routers {
protected:
  void SetUp() override {
    receive_state({"a", "b"});
    announce_slots();
    m_first = begin_at("/resume/x", number);
    ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start));
    m_router.note_events(number, 1, start);
    m_second = begin_at("/resume/x", other);
    ASSERT_NE(m_first, m_second);
    auto const asked = m_router.try_replace_stalled(number, start + 3s);
    ASSERT_TRUE(asked.has_value());
    ASSERT_EQ(std::get<attempt>(*asked).endpoint, m_second);
  }

  void announce_slots() {
    update received;
    received.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 2};
    received.base_registry_revision = 1;
    std::vector<endpoint_record> records;
    for (auto const* id : {"a", "b"}) {
      endpoint_announcement const announcement{.id = {id},
                                               .service = {"s"},
                                               .address = {.ip = "10.0.0.1", .port = 80},
                                               .zone = {"here"},
                                               .slots = 1,
                                               .number = {.incarnation = 1, .sequence = 2}};
      records.push_back(
          {.announcement = announcement, .state = endpoint_state::ready, .revision = 2});
    }
    received.endpoints = std::move(records);
    ASSERT_TRUE(m_router.receive({"control"}, received, start).is_changed);
  }

  /// Returns the endpoint that the request is sent to.
  base::endpoint_id begin_at(std::string path, request_number number,
                             base::monotonic_time at = start) {
    auto patient = facts(std::move(path));
    patient.caller_timeout = 30s;
    auto const made = m_router.begin(number, patient, at);
    return is_attempt(made) ? std::get<attempt>(made).endpoint : base::endpoint_id{};
  }

  base::endpoint_id m_first;
  base::endpoint_id m_second;
};

} // namespace

// An endpoint that was at work on its other requests got none for half a second and more, because a
// request that waited for its turn there was given up.
TEST_F(queued_replacements, leave_their_endpoint_in_use_when_they_are_given_up) {
  m_router.fail_replacement(number, attempt_failure::stalled, start + 5s);
  m_router.end(other, start + 5s);
  EXPECT_EQ(begin_at("/resume/x", later, start + 5s), m_second);
}

TEST_F(queued_replacements, leave_their_endpoint_in_use_when_they_are_withdrawn) {
  m_router.withdraw_replacement(number, start + 5s);
  m_router.end(other, start + 5s);
  EXPECT_EQ(begin_at("/resume/x", later, start + 5s), m_second);
}

// Guards against an endpoint that is silent with a free slot and still counts as sound.
TEST_F(queued_replacements, leave_an_endpoint_that_could_have_answered_in_backoff) {
  m_router.end(other, start + 3s);
  m_router.fail_replacement(number, attempt_failure::stalled, start + 5s);
  EXPECT_EQ(begin_at("/resume/x", later, start + 5s), m_first);
}

// Guards against a bad version of which nothing is counted, as it answers nothing and its endpoints
// are always busy (EXPOSURE).
TEST_F(queued_replacements, count_for_their_version_when_the_first_attempt_is_given_up) {
  update received;
  received.state = {
      .document_revision = 1, .registry_term = 1, .registry_revision = 2, .rollouts_revision = 3};
  received.base_registry_revision = 2;
  received.rollouts = {
      {{.service = {"s"}, .target = {""}, .state = rollout_state::promoted, .number = 1}}};
  std::ignore = m_router.receive({"control"}, received, start);
  ASSERT_NE(begin_at("/again/x", later), base::endpoint_id{});
  std::ignore = m_router.fail(later, attempt_failure::stalled, false, start + 1s);
  auto const sent = m_router.tick(start + 1s);
  ASSERT_EQ(sent.size(), 1U);
  auto const& tallies = std::get<subscription>(sent.front().message).tallies;
  ASSERT_EQ(tallies.size(), 1U);
  EXPECT_EQ(tallies.front().statistics.bad, 1U);
}

// Guards against an endpoint whose failures no longer count because it is busy.
TEST_F(queued_replacements, that_break_put_their_endpoint_into_backoff) {
  m_router.fail_replacement(number, attempt_failure::broken, start + 5s);
  m_router.end(other, start + 5s);
  EXPECT_EQ(begin_at("/resume/x", later, start + 5s), m_first);
}

} // namespace catkinlanding::proxy
