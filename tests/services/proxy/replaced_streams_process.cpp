#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <vector>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto deadline_ms = "30000";

/// A stream pauses after its first event for so long that another endpoint is asked to continue it.
class paused_streams : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  std::future<http_response> begin(std::string path) {
    return std::async(std::launch::async, [this, path = std::move(path)] {
      return m_deployment.send_to_entry(
          "entry-1",
          {.path = path, .headers = {{"Attempt-Id", "id-1"}, {"Deadline-Ms", deadline_ms}}});
    });
  }

  /// Waits until both endpoints have received the request.
  [[nodiscard]] bool await_second_attempt() {
    return eventually([&] {
      return !m_deployment.endpoint(0).arrivals().empty() &&
             !m_deployment.endpoint(1).arrivals().empty();
    });
  }

  void release() {
    m_deployment.endpoint(0).release();
    m_deployment.endpoint(1).release();
  }

  static void expect_whole(http_response const& answer) {
    EXPECT_EQ(answer.status, 200);
    for (int number = 1; number <= 5; ++number) {
      auto const event = "data: event-" + std::to_string(number) + "\n\n";
      auto const found = answer.body.find(event);
      EXPECT_NE(found, std::string::npos) << answer.body;
      EXPECT_EQ(answer.body.find(event, found + 1), std::string::npos) << answer.body;
    }
  }

  proxy_deployment m_deployment;
};

// A stream was cut with time left: its endpoint, which was at work, had been given up for one that
// then rejected the request.
TEST_F(paused_streams, go_on_if_the_endpoint_that_should_continue_them_rejects_the_request) {
  auto answer = begin("/brisk/slow-stream-shed");
  ASSERT_TRUE(await_second_attempt());
  ASSERT_TRUE(eventually([&] {
    return m_deployment.log("entry-1").find("failure=not_executed") != std::string::npos;
  }));
  release();
  expect_whole(answer.get());
}

// A stream was cut with time left: its endpoint had been given up for one that never answered.
TEST_F(paused_streams, go_on_if_the_endpoint_that_should_continue_them_does_not_answer) {
  auto answer = begin("/brisk/slow-stream-hang");
  ASSERT_TRUE(await_second_attempt());
  release();
  expect_whole(answer.get());
  // The endpoint that did not answer in time doesn't work on.
  EXPECT_TRUE(eventually([&] {
    return m_deployment.endpoint(0).saw_cancellation() ||
           m_deployment.endpoint(1).saw_cancellation();
  }));
}

// A stream was cut at its deadline although an endpoint was idle: its own broke while another one
// was asked that never answered, and the third was not asked.
TEST_F(paused_streams, that_break_are_continued_by_a_third_endpoint_if_the_second_does_not_answer) {
  platform_endpoint third("127.0.0.7", free_port(), "e-3");
  ASSERT_EQ(m_deployment.announce(third).status, 200);
  ASSERT_TRUE(eventually(
      [&] { return m_deployment.log("entry-1").find("id=e-3 state=ready") != std::string::npos; }));
  std::vector<platform_endpoint*> const endpoints{&m_deployment.endpoint(0),
                                                  &m_deployment.endpoint(1), &third};
  auto answer = begin("/brisk/breaking-stream-hang-once");
  ASSERT_TRUE(eventually([&] {
    return std::ranges::count_if(endpoints, [](auto* one) { return !one->arrivals().empty(); }) ==
           2;
  }));
  std::ranges::for_each(endpoints, [](auto* one) { one->release(); });
  expect_whole(answer.get());
}

// An answer of little confidence was held back until its caller's time was over.
TEST_F(paused_streams, with_little_confidence_are_delivered_before_the_deadline) {
  auto const answer = m_deployment.send_to_entry(
      "entry-1", {.path = "/draft/small-stream-hang",
                  .headers = {{"Attempt-Id", "id-1"}, {"Deadline-Ms", "1500"}}});
  expect_whole(answer);
}

// The answer of a small model was discarded for one of the largest, whose endpoint then rejected
// the request, or did not answer it. The caller got none.
TEST_F(paused_streams, with_little_confidence_are_delivered_if_no_other_endpoint_accepts) {
  expect_whole(begin("/draft/small-stream").get());
  expect_whole(begin("/draft/small-stream-hang").get());
}

// Two answers to one request must not be joined.
TEST_F(paused_streams, with_little_confidence_give_way_to_those_of_the_largest_model) {
  expect_whole(begin("/draft/doubtful-stream").get());
  EXPECT_EQ(m_deployment.requests_executed_for("id-1").size(), 2U);
}

} // namespace

} // namespace catkinlanding::testing
