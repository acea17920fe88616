#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace catkinlanding::testing {

namespace {

class repeated_requests : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  http_response send(std::string const& entry, std::string const& path, std::string const& body) {
    auto const id = "id-" + std::to_string(++m_last_id);
    return m_deployment.send_to_entry(
        entry, {.path = path, .body = body, .headers = {{"Attempt-Id", id}}});
  }

  /// Requests with this body that any endpoint began to run.
  [[nodiscard]] std::ptrdiff_t executions_of(std::string const& body) {
    std::ptrdiff_t count = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      auto const executed = m_deployment.endpoint(i).executed_requests();
      count += std::ranges::count(executed, body, &received_request::body);
    }
    return count;
  }

  proxy_deployment m_deployment;
  int m_last_id = 0;
};

// Guards against a request that breaks its connection at each endpoint and comes again at any
// instance, each time as a new one (BUDGET).
TEST_F(repeated_requests, are_refused_at_all_instances_after_two_endpoints_broke_off) {
  EXPECT_EQ(send("entry-1", "/again/cut", "deadly").status, 502);
  EXPECT_EQ(executions_of("deadly"), 2);
  EXPECT_EQ(send("entry-1", "/again/cut", "deadly").status, 503);
  EXPECT_EQ(executions_of("deadly"), 2);
  // The other instance learns of it from the control instance.
  http_response refused;
  EXPECT_TRUE(eventually([&] {
    auto const before = executions_of("deadly");
    refused = send("entry-2", "/again/cut", "deadly");
    return executions_of("deadly") == before;
  }));
  EXPECT_EQ(refused.status, 503);
  EXPECT_GT(std::stod(refused.headers["Retry-After"]), 60.0);
  // The log is written in the background.
  EXPECT_TRUE(eventually(
      [&] { return m_deployment.log("entry-2").find("kind=whole_request") != std::string::npos; }));
}

// Guards against sound requests that are refused for what they share with the one that is not.
TEST_F(repeated_requests, do_not_hold_up_others_of_the_same_path_and_caller) {
  EXPECT_EQ(send("entry-1", "/again/answer", "sound").status, 200);
  EXPECT_EQ(send("entry-1", "/again/cut", "deadly").status, 502);
  EXPECT_EQ(send("entry-1", "/again/cut", "deadly").status, 503);
  EXPECT_EQ(send("entry-1", "/again/answer", "other").status, 200);
  // The same path and caller with another body is another request.
  EXPECT_EQ(send("entry-1", "/again/cut", "another").status, 502);
  EXPECT_EQ(executions_of("another"), 2);
}

} // namespace

} // namespace catkinlanding::testing
