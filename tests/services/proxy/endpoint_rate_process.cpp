#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;
using time_point = std::chrono::steady_clock::time_point;

/// Requests a second that the endpoint accepts from all instances together.
constexpr double accepted_rate = 2.0;
constexpr std::chrono::seconds window{4};
/// What may arrive in a window: one and a half times the accepted rate, and 5 more.
constexpr std::size_t max_in_window = 17;
/// When an instance that was told must obey.
constexpr std::chrono::milliseconds reaction_time{500};

std::size_t most_in_window(std::vector<time_point> const& arrivals) {
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    auto const last = std::upper_bound(first, arrivals.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

class endpoint_rates : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  int send(std::string const& entry) {
    auto const id = "id-" + std::to_string(++m_last_id);
    return m_deployment
        .send_to_entry(entry, {.path = "/once/answer", .headers = {{"Attempt-Id", id}}})
        .status;
  }

  /// Requests that the endpoint received later than the reaction time after the instances were
  /// told.
  [[nodiscard]] std::vector<time_point> arrivals_after(time_point told_at) {
    std::vector<time_point> arrivals;
    for (auto const& request : m_deployment.endpoint(0).executed_requests()) {
      if (request.arrived_at > told_at + reaction_time) {
        arrivals.push_back(request.arrived_at);
      }
    }
    return arrivals;
  }

  proxy_deployment m_deployment;
  int m_last_id = 0;
};

// Guards against an endpoint that gets more requests than the rate that it named in its answers,
// because instances do not read it or each of them uses all of it (LIMIT).
TEST_F(endpoint_rates, keep_to_the_rate_that_an_endpoint_names_for_all_instances_together) {
  m_deployment.endpoint(0).add_to_answers("Server-Limit: " + std::to_string(accepted_rate) +
                                          "\r\n");
  for (auto const* entry : {"entry-1", "entry-2"}) {
    for (int i = 0; i < 10; ++i) {
      EXPECT_EQ(send(entry), 200);
    }
  }
  auto const told_at = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < told_at + reaction_time + 2 * window) {
    EXPECT_EQ(send("entry-1"), 200);
    EXPECT_EQ(send("entry-2"), 200);
    // Endpoints that announce nothing for some time get no requests.
    std::ignore = m_deployment.announce(m_deployment.endpoint(0));
    std::ignore = m_deployment.announce(m_deployment.endpoint(1));
    std::this_thread::sleep_for(20ms);
  }
  auto const arrivals = arrivals_after(told_at);
  EXPECT_LE(most_in_window(arrivals), max_in_window);
  EXPECT_FALSE(arrivals.empty());
}

} // namespace

} // namespace catkinlanding::testing
