#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

namespace catkinlanding::testing {

namespace {

/// Two endpoints in two zones, which both entry instances know.
class evacuated_zones : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_deployment.start());
    ASSERT_TRUE(announce_all());
  }

  [[nodiscard]] bool announce_all() { return announce(0, "east") && announce(1, "west"); }

  [[nodiscard]] bool announce(std::size_t index, std::string const& zone) {
    auto const& endpoint = m_deployment.endpoint(index);
    auto const body = R"({"service":"lookup","address":")" + endpoint.address() + R"(","zone":")" +
                      zone + R"(","version":"v1","slots":8,"state":"ready","cold_left_ms":0,)" +
                      R"("born":1700000000000,"seq":1})";
    auto const path = "/api/Instances.Heartbeat/" + endpoint.id();
    return m_deployment.call("POST", path, body).status == 200;
  }

  /// The status of an operator's call.
  [[nodiscard]] int order(std::string const& what, std::string const& zone) const {
    auto const answer = m_deployment.call("POST", "/api/Evacuations." + what + "/" + zone);
    EXPECT_EQ(answer.body, "{}");
    return answer.status;
  }

  /// Sends requests to both entry instances, and returns how many of them the endpoint gets.
  [[nodiscard]] std::size_t requests_to(std::size_t index) {
    auto const before = m_deployment.endpoint(index).executed_requests().size();
    for (int i = 0; i < 20; ++i) {
      m_last_status =
          m_deployment.send_to_entry(i % 2 == 0 ? "entry-1" : "entry-2", {.path = "/again/answer"})
              .status;
    }
    return m_deployment.endpoint(index).executed_requests().size() - before;
  }

  proxy_deployment m_deployment;
  int m_last_status = 0;
};

// Guards against an operator's call that is answered, and a zone that still gets requests.
TEST_F(evacuated_zones, get_no_requests_until_they_are_put_back) {
  EXPECT_EQ(order("Start", "east"), 200);
  EXPECT_EQ(requests_to(0), 0U);
  EXPECT_EQ(m_last_status, 200);
  EXPECT_EQ(order("End", "east"), 200);
  EXPECT_TRUE(eventually([&] { return requests_to(0) > 0; }));
}

// Guards against callers that are told of an unknown outcome while all zones are out of use.
TEST_F(evacuated_zones, leave_callers_a_refusal_if_there_is_no_other) {
  EXPECT_EQ(order("Start", "east"), 200);
  EXPECT_EQ(order("Start", "west"), 200);
  EXPECT_EQ(requests_to(0) + requests_to(1), 0U);
  EXPECT_EQ(m_last_status, 503);
}

// Guards against a zone that is used again when the control instance restarts from its disk, and an
// entry instance with it.
TEST_F(evacuated_zones, stay_out_of_use_when_instances_restart) {
  EXPECT_EQ(order("Start", "east"), 200);
  for (auto const* name : {"control", "entry-1"}) {
    m_deployment.process(name).kill();
    m_deployment.start_process(name);
  }
  ASSERT_TRUE(eventually([&] { return announce_all(); }));
  ASSERT_TRUE(m_deployment.await_ready("entry-1"));
  EXPECT_TRUE(eventually([&] { return requests_to(1) > 0; }));
  EXPECT_EQ(requests_to(0), 0U);
}

} // namespace

} // namespace catkinlanding::testing
