#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;
using time_point = std::chrono::steady_clock::time_point;

/// When an instance that was told must obey.
constexpr std::chrono::milliseconds reaction_time{500};
constexpr std::chrono::seconds observed_time{3};

class endpoint_notices : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  http_response send(std::string const& entry, std::string const& path) {
    auto const id = "id-" + std::to_string(++m_last_id);
    return m_deployment.send_to_entry(entry, {.path = path, .headers = {{"Attempt-Id", id}}});
  }

  /// Sends to both entry instances until the time, while both endpoints announce that they are
  /// ready.
  void send_until(time_point end, std::string const& path, int expected_status) {
    while (std::chrono::steady_clock::now() < end) {
      EXPECT_EQ(send("entry-1", path).status, expected_status);
      EXPECT_EQ(send("entry-2", path).status, expected_status);
      std::ignore = m_deployment.announce(m_deployment.endpoint(0));
      std::ignore = m_deployment.announce(m_deployment.endpoint(1));
      std::this_thread::sleep_for(20ms);
    }
  }

  /// Requests that arrived at the endpoint in this time.
  [[nodiscard]] std::ptrdiff_t arrivals_between(std::size_t endpoint, time_point begin,
                                                time_point end) {
    auto const all = m_deployment.endpoint(endpoint).arrivals();
    return std::ranges::count_if(all, [&](time_point one) { return one >= begin && one < end; });
  }

  proxy_deployment m_deployment;
  int m_last_id = 0;
};

// Guards against new requests for an endpoint that says in its answers that it leaves, while its
// announcements still call it ready (DRAIN).
TEST_F(endpoint_notices, send_nothing_to_an_endpoint_that_says_it_leaves) {
  m_deployment.endpoint(0).add_to_answers("Server-Leaving: 1\r\n");
  send_until(std::chrono::steady_clock::now() + reaction_time, "/once/answer", 200);
  auto const told_at = std::chrono::steady_clock::now();
  send_until(told_at + observed_time, "/once/answer", 200);
  EXPECT_EQ(arrivals_between(0, told_at, told_at + observed_time), 0);
  EXPECT_GT(arrivals_between(1, told_at, told_at + observed_time), 0);
}

// Guards against requests for an endpoint that has asked for a pause with 503 and Retry-After
// (BUDGET).
TEST_F(endpoint_notices, send_nothing_to_an_endpoint_during_its_pause) {
  m_deployment.endpoint(0).add_to_answers("Retry-After: 3\r\n");
  auto const told_at = std::chrono::steady_clock::now();
  send_until(told_at + observed_time, "/once/shed", 503);
  // Two from each of both instances would be allowed.
  EXPECT_LE(arrivals_between(0, told_at + reaction_time, told_at + observed_time), 4);
  EXPECT_GT(arrivals_between(1, told_at + reaction_time, told_at + observed_time), 0);
  m_deployment.endpoint(0).add_to_answers("");
  EXPECT_TRUE(eventually([&] {
    std::ignore = send("entry-1", "/once/answer");
    std::ignore = m_deployment.announce(m_deployment.endpoint(0));
    return arrivals_between(0, told_at + observed_time, time_point::max()) > 0;
  }));
}

// Guards against callers that wait in vain, or come back too early, while all endpoints pause.
TEST_F(endpoint_notices, refuse_at_once_until_the_first_pause_ends) {
  m_deployment.endpoint(0).add_to_answers("Retry-After: 30\r\n");
  m_deployment.endpoint(1).add_to_answers("Retry-After: 20\r\n");
  EXPECT_EQ(send("entry-1", "/once/shed").status, 503);
  auto const refused = send("entry-1", "/once/answer");
  EXPECT_EQ(refused.status, 503);
  ASSERT_TRUE(refused.headers.contains("Retry-After"));
  auto const delay = std::stod(refused.headers.at("Retry-After"));
  EXPECT_GT(delay, 15.0);
  EXPECT_LT(delay, 28.0);
  EXPECT_TRUE(m_deployment.requests_executed_for("id-2").empty());
}

} // namespace

} // namespace catkinlanding::testing
