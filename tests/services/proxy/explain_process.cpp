#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

namespace catkinlanding::testing {

namespace {

/// Breaks something by faults on real processes, and finds the cause from their logs alone.
class explanations : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  int send(std::string const& id, std::string const& path) {
    return m_deployment.send_to_entry("entry-1", {.path = path, .headers = {{"Attempt-Id", id}}})
        .status;
  }

  [[nodiscard]] std::string explain(std::string const& id) {
    std::string text;
    // The log is written in the background.
    EXPECT_TRUE(eventually([&] {
      auto const result =
          run_command({CATKINLANDING_CTL, "explain", id, m_deployment.log_path("control"),
                       m_deployment.log_path("entry-1")});
      text = result.output;
      return result.exit_code == 0 && text.find("Ended as") != std::string::npos;
    }));
    return text;
  }

  static bool has(std::string const& text, std::string const& part) {
    return text.find(part) != std::string::npos;
  }

  proxy_deployment m_deployment;
};

TEST_F(explanations, name_the_endpoint_that_broke_off_and_why_the_request_is_not_sent_again) {
  EXPECT_EQ(send("cut-1", "/once/cut"), 502);
  auto const text = explain("cut-1");
  EXPECT_TRUE(has(text, "entry attempt request=cut-1")) << text;
  EXPECT_TRUE(has(text, "control endpoint id=")) << text;
  EXPECT_TRUE(has(text, "failure=broken")) << text;
  EXPECT_TRUE(has(text, "Ended as refused, outcome_unknown: An endpoint may have run")) << text;
}

TEST_F(explanations, name_the_pause_that_an_endpoint_asked_for) {
  m_deployment.endpoint(0).add_to_answers("Retry-After: 30\r\n");
  m_deployment.endpoint(1).add_to_answers("Retry-After: 30\r\n");
  EXPECT_EQ(send("shed-1", "/once/shed"), 503);
  EXPECT_EQ(send("late-1", "/once/answer"), 503);
  auto const text = explain("late-1");
  EXPECT_TRUE(has(text, "entry deferred request=late-1")) << text;
  EXPECT_TRUE(has(text, "kind=paused")) << text;
  EXPECT_TRUE(has(text, "Ended as refused, deferred: All endpoints")) << text;
}

TEST_F(explanations, name_the_state_of_an_endpoint_that_was_learned_too_late) {
  ASSERT_EQ(m_deployment.announce(m_deployment.endpoint(0)).status, 200);
  EXPECT_EQ(send("other-1", "/once/fail"), 500);
  ASSERT_EQ(m_deployment.announce(m_deployment.endpoint(0), "draining").status, 200);
  ASSERT_EQ(m_deployment.announce(m_deployment.endpoint(1), "draining").status, 200);
  auto const is_told = [&] { return has(explain("other-1"), "state=leaving"); };
  EXPECT_TRUE(eventually(is_told));
  auto const text = explain("other-1");
  EXPECT_TRUE(has(text, "s later: control endpoint id=")) << text;
  EXPECT_TRUE(has(text, "Ended as failed_answer, endpoint_failed")) << text;
}

TEST_F(explanations, fail_for_a_request_that_no_file_names) {
  auto const result =
      run_command({CATKINLANDING_CTL, "explain", "nobody", m_deployment.log_path("entry-1")});
  EXPECT_EQ(result.exit_code, 3);
  EXPECT_TRUE(has(result.output, "no line of these files names the request nobody"));
}

} // namespace

} // namespace catkinlanding::testing
