#include <libraries/cascade/model_choice.h>
#include <libraries/proxy/escalation_policy.h>
#include <libraries/proxy/retry_limiter.h>

#include <gtest/gtest.h>

#include <random>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{1h};

/// Endpoints of one service, and a request that a small model of it answers.
class escalations : public testing::Test {
protected:
  escalations() {
    document made;
    made.revision = 1;
    made.services = {{.id = {"models"}, .slots = 4}};
    made.routes = {{.name = "drafts",
                    .host = "h",
                    .path_prefix = "/",
                    .kind = route_kind::resumable_stream,
                    .shares = {{.service = {"models"}, .weight = 1}},
                    .timeout = 30s,
                    .max_attempts = 3,
                    .models = {{"small"}, {"large"}}}};
    m_request.routes = std::make_shared<route_table const>(std::move(made));
    m_request.route = &m_request.routes->document().routes.front();
    m_request.service = {"models"};
    m_request.current.model = base::model_id{"small"};
    m_request.deadline = start + 30s;
    m_request.tried = {{"first"}};
    m_request.current.has_answer = true;
    for (auto const* name : {"first", "second", "third"}) {
      known_endpoint endpoint;
      endpoint.announcement.id = {name};
      endpoint.announcement.service = {"models"};
      m_endpoints.push_back(std::move(endpoint));
    }
  }

  [[nodiscard]] bool should_escalate(std::optional<double> confidence = 0.3) const {
    std::vector<known_endpoint const*> endpoints;
    for (auto const& one : m_endpoints) {
      endpoints.push_back(&one);
    }
    return confidence && m_models.is_doubtful(*confidence) && may_be_escalated(m_request) &&
           can_escalate(m_request, m_times, endpoints, start);
  }

  active_request m_request;
  std::vector<known_endpoint> m_endpoints;
  answer_times m_times;
  cascade::model_choice m_models{{}};
};

TEST_F(escalations, replace_answers_that_are_more_likely_poor_than_good) {
  EXPECT_TRUE(should_escalate(0.49));
  EXPECT_FALSE(should_escalate(0.5));
  EXPECT_FALSE(should_escalate(std::nullopt));
}

TEST_F(escalations, keep_what_the_largest_model_or_a_delivered_answer_says) {
  m_request.current.model = base::model_id{"large"};
  EXPECT_FALSE(should_escalate());
  m_request.current.model = base::model_id{"small"};
  m_request.has_delivered = true;
  EXPECT_FALSE(should_escalate());
}

// Guards against a second run of a request that may run once only, as a small model doubts its
// answer (TWICE).
TEST_F(escalations, need_a_route_whose_requests_may_run_again) {
  document made = m_request.routes->document();
  for (auto const kind : {route_kind::stream, route_kind::at_most_once}) {
    made.routes.front().kind = kind;
    m_request.routes = std::make_shared<route_table const>(made);
    m_request.route = &m_request.routes->document().routes.front();
    EXPECT_FALSE(should_escalate());
  }
  made.routes.front().kind = route_kind::idempotent;
  m_request.routes = std::make_shared<route_table const>(made);
  m_request.route = &m_request.routes->document().routes.front();
  EXPECT_TRUE(should_escalate());
}

TEST_F(escalations, need_another_attempt) {
  m_request.tried = {{"first"}, {"a"}, {"b"}};
  EXPECT_FALSE(should_escalate());
}

// The largest model takes the time of an endpoint for seconds: whoever waits there waits longer.
TEST_F(escalations, keep_nobody_waiting) {
  m_endpoints[1].other_pending_work = 1;
  m_endpoints[2].own_outstanding = 4;
  EXPECT_FALSE(should_escalate());
  m_endpoints[2].own_outstanding = 3;
  EXPECT_TRUE(should_escalate());
}

TEST_F(escalations, go_to_another_endpoint) {
  m_endpoints.resize(1);
  EXPECT_FALSE(should_escalate());
}

// More requests need the largest model than the endpoints can process. It must be used, and none of
// its prompts may wait behind another.
TEST_F(escalations, use_what_is_idle_of_a_pool_that_is_too_small) {
  constexpr double requests_per_second = 20.0;
  constexpr base::duration work = 400ms;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> confidence(0.0, 1.0);
  std::vector<base::monotonic_time> busy_until(m_endpoints.size(), start);
  int escalated = 0;
  auto now = start;
  constexpr int requests = 4000;
  for (int i = 0; i < requests; ++i, now += 50ms) {
    for (std::size_t j = 0; j < m_endpoints.size(); ++j) {
      m_endpoints[j].own_pending_work = now < busy_until[j] ? 1 : 0;
    }
    if (should_escalate(confidence(random))) {
      auto const idle = m_endpoints[1].own_pending_work == 0 ? 1U : 2U;
      ASSERT_EQ(m_endpoints[idle].own_pending_work, 0U);
      busy_until[idle] = now + work;
      ++escalated;
    }
  }
  double const seconds = requests / requests_per_second;
  double const capacity = 2.0 * seconds / std::chrono::duration<double>(work).count();
  EXPECT_GT(escalated, 0.7 * capacity);
}

// The endpoints of a zone fail together: each request there needs a retry at once.
TEST_F(escalations, leave_a_retry_for_each_request_of_the_largest_zone) {
  m_endpoints[0].announcement.zone = {"here"};
  m_endpoints[1].announcement.zone = {"here"};
  m_endpoints[2].announcement.zone = {"there"};
  m_endpoints[0].own_outstanding = 2;
  m_endpoints[1].own_outstanding = 1;
  m_endpoints[2].own_outstanding = 2;
  auto const reserved =
      retries_after_zone_loss({&m_endpoints[0], &m_endpoints[1], &m_endpoints[2]});
  EXPECT_EQ(reserved, 3U);
  retry_limiter retries({.ratio = 0.0, .slack = 20});
  while (retries.try_spend(start, reserved)) {
  }
  for (std::uint32_t i = 0; i < reserved; ++i) {
    EXPECT_TRUE(retries.try_spend(start));
  }
  EXPECT_FALSE(retries.try_spend(start));
}

} // namespace

} // namespace catkinlanding::proxy
