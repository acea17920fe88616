#include <tests/support/router_fixture.h>

#include <set>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// An entry instance with three endpoints, of which two are in a zone that goes out of use.
class evacuated_endpoints : public routers {
protected:
  void SetUp() override {
    receive_state({"a", "b", "c"});
    receive_model_route();
    receive_states(endpoint_state::leaving);
  }

  /// The leader shows the endpoints of the zone with the announcements that are known already.
  void receive_states(endpoint_state state) {
    update received;
    received.base_registry_revision = m_revision;
    received.state = {.document_revision = 2,
                      .registry_term = 1,
                      .registry_revision = ++m_revision,
                      .rollouts_revision = m_rollouts_revision};
    std::vector<endpoint_record> records;
    for (auto const* id : {"a", "b"}) {
      endpoint_announcement const announcement{.id = {id},
                                               .service = {"s"},
                                               .address = {.ip = "10.0.0.1", .port = 80},
                                               .zone = {"here"},
                                               .version = {m_version},
                                               .number = {.incarnation = 1, .sequence = 1}};
      records.push_back({.announcement = announcement, .state = state, .revision = m_revision});
    }
    received.endpoints = std::move(records);
    ASSERT_TRUE(m_router.receive({"control"}, received, start).is_changed);
  }

  /// The endpoints that further requests on this path are sent to first.
  [[nodiscard]] std::set<std::string> first_endpoints(std::string const& path) {
    std::set<std::string> used;
    for (request_number other = 100; other < 130; ++other) {
      auto const made = m_router.begin(other, facts(path), start);
      if (is_attempt(made)) {
        used.insert(std::get<attempt>(made).endpoint.value);
      }
      m_router.end(other, start);
    }
    return used;
  }

  /// Begins a request whose caller has time for several attempts.
  [[nodiscard]] base::endpoint_id begin_patient(std::string const& path) {
    auto patient = facts(path);
    patient.caller_timeout = 30s;
    auto const made = m_router.begin(number, patient, start);
    return is_attempt(made) ? std::get<attempt>(made).endpoint : base::endpoint_id{};
  }

  std::string m_version;
  std::uint64_t m_rollouts_revision = 0;

private:
  void receive_model_route() {
    auto by_models = make_route("/models/", route_kind::resumable_stream, 3);
    by_models.models = {{"small"}, {"large"}};
    update received;
    received.state = {.document_revision = 2, .registry_term = 1, .registry_revision = 1};
    received.base_registry_revision = 1;
    received.document =
        document{.revision = 2,
                 .routes = {make_route("/once/", route_kind::at_most_once, 3),
                            make_route("/again/", route_kind::idempotent, 3),
                            make_route("/resume/", route_kind::resumable_stream, 3), by_models},
                 .services = {{.id = {"s"}, .slots = 4}},
                 .customers = {{.id = {"ann"}, .keys = {"key"}}}};
    ASSERT_TRUE(m_router.receive({"control"}, received, start).is_changed);
  }

  std::uint64_t m_revision = 1;
};

TEST_F(evacuated_endpoints, get_no_first_attempts) {
  EXPECT_EQ(first_endpoints("/once/x"), (std::set<std::string>{"c"}));
}

// Guards against an endpoint that stays out of use, as its announcement has not changed.
TEST_F(evacuated_endpoints, are_used_again_when_the_evacuation_ends) {
  receive_states(endpoint_state::ready);
  EXPECT_EQ(first_endpoints("/once/x"), (std::set<std::string>{"a", "b", "c"}));
}

TEST_F(evacuated_endpoints, get_no_retries) {
  ASSERT_EQ(begin_patient("/again/x").value, "c");
  EXPECT_FALSE(is_attempt(fail(attempt_failure::not_executed)));
  m_router.end(number, start);
  receive_states(endpoint_state::ready);
  ASSERT_NE(begin_patient("/again/x").value, "");
  EXPECT_TRUE(is_attempt(fail(attempt_failure::not_executed)));
}

TEST_F(evacuated_endpoints, get_no_resumed_streams) {
  ASSERT_EQ(begin_patient("/resume/x").value, "c");
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start));
  m_router.note_events(number, 1, start);
  EXPECT_FALSE(is_attempt(fail(attempt_failure::broken, true)));
  m_router.end(number, start);
  receive_states(endpoint_state::ready);
  ASSERT_NE(begin_patient("/resume/x").value, "");
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start));
  m_router.note_events(number, 1, start);
  EXPECT_TRUE(is_attempt(fail(attempt_failure::broken, true)));
}

TEST_F(evacuated_endpoints, replace_no_stalled_attempts) {
  ASSERT_EQ(begin_patient("/resume/x").value, "c");
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start));
  m_router.note_events(number, 1, start);
  EXPECT_FALSE(try_replace_stalled(start + 3s));
  receive_states(endpoint_state::ready);
  EXPECT_TRUE(try_replace_stalled(start + 3s));
}

TEST_F(evacuated_endpoints, give_no_second_opinions) {
  ASSERT_EQ(begin_patient("/models/x").value, "c");
  EXPECT_FALSE(m_router.note_answer(number, 0.1, start).has_value());
  m_router.end(number, start);
  receive_states(endpoint_state::ready);
  ASSERT_NE(begin_patient("/models/x").value, "");
  EXPECT_TRUE(m_router.note_answer(number, 0.1, start).has_value());
}

TEST_F(evacuated_endpoints, get_no_requests_that_other_entry_instances_pass_on) {
  auto relayed = facts("/again/x");
  relayed.is_relayed = true;
  auto const made = m_router.begin(number, relayed, start);
  ASSERT_TRUE(is_attempt(made));
  EXPECT_EQ(std::get<attempt>(made).endpoint.value, "c");
  m_router.end(number, start);
}

// Guards against a new version whose endpoints are all in the zone.
TEST_F(evacuated_endpoints, get_no_requests_for_the_version_of_a_rollout) {
  m_version = "v2";
  receive_states(endpoint_state::leaving);
  update received;
  received.state = {
      .document_revision = 2, .registry_term = 1, .registry_revision = 3, .rollouts_revision = 1};
  received.base_registry_revision = 3;
  received.rollouts = {
      {{.service = {"s"}, .target = {"v2"}, .state = rollout_state::promoted, .number = 1}}};
  static_cast<void>(m_router.receive({"control"}, received, start));
  EXPECT_EQ(first_endpoints("/once/x"), (std::set<std::string>{"c"}));
  m_rollouts_revision = 1;
  receive_states(endpoint_state::ready);
  EXPECT_EQ(first_endpoints("/once/x"), (std::set<std::string>{"a", "b"}));
}

// Guards against an endpoint that stated in an answer that it leaves, and that gets requests when
// the evacuation ends, as the leader was not told.
TEST_F(evacuated_endpoints, stay_unused_if_they_stated_that_they_leave) {
  receive_states(endpoint_state::ready);
  static_cast<void>(begin_patient("/resume/x"));
  auto const stated = m_router.report_attempt(number, start)->endpoint;
  m_router.note_notice(number, {.is_leaving = true}, start);
  receive_states(endpoint_state::leaving);
  receive_states(endpoint_state::ready);
  EXPECT_FALSE(first_endpoints("/once/x").contains(stated.value));
  auto const sent = m_router.tick(start + 1s);
  ASSERT_FALSE(sent.empty());
  auto const& reported = std::get<subscription>(sent.back().message).leaving_endpoints;
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_EQ(reported.front().endpoint, stated);
}

} // namespace

} // namespace catkinlanding::proxy
