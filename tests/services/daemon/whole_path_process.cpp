#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

class whole_path : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    auto const applied = m_deployment.apply(
        "a1", catalogue_builder().add_model("hat", "1").add_service("orders").text());
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    m_deployment.start_endpoint({.id = "engine", .zone = "a", .arguments = {"--versions=hat/1"}});
    m_deployment.start_endpoint({.id = "shop", .zone = "a", .arguments = {"--service=orders"}});
    ASSERT_TRUE(eventually([&] {
      return m_deployment.status("a1")["endpoints"] == 2 &&
             m_deployment.status("a2")["endpoints"] == 2;
    }));
  }

  [[nodiscard]] http_response complete(std::string const& instance, bool is_stream) const {
    json const body = {{"model", "hat"}, {"stream", is_stream}, {"messages", json::array()}};
    return exchange(m_deployment.caller_port(instance),
                    {.path = "/v1/chat/completions",
                     .body = body.dump(),
                     .headers = {{"Authorization", "Bearer guild-key"}}});
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "a2", .zone = "a", .is_control = true},
                           {.id = "b1", .zone = "b", .is_control = true}}};
};

TEST_F(whole_path, answers_and_bills_each_request) {
  auto const whole = complete("a1", false);
  EXPECT_EQ(whole.status, 200) << whole.body;
  EXPECT_EQ(whole.headers.at("Catkinlanding-Version"), "1");
  auto const stream = complete("a2", true);
  EXPECT_EQ(stream.status, 200);
  EXPECT_NE(stream.body.find("data: [DONE]"), std::string::npos);
  auto const call = exchange(m_deployment.caller_port("a2"),
                             {.path = "/services/orders/hats/7",
                              .body = "felt",
                              .headers = {{"Authorization", "Bearer guild-key"}}});
  EXPECT_EQ(call.status, 200);
  EXPECT_EQ(json::parse(call.body)["path"], "/hats/7");
  EXPECT_TRUE(eventually([&] {
    auto const bills = m_deployment.run_catkinctl("a1", {"billing", "export"});
    return json::parse(bills.output)["bills"].size() == 3;
  }));
}

TEST_F(whole_path, refuses_unauthorized_requests_with_a_typed_error) {
  auto const refused = exchange(m_deployment.caller_port("a1"),
                                {.path = "/v1/chat/completions", .body = R"({"model": "hat"})"});
  EXPECT_EQ(refused.status, 401);
  EXPECT_EQ(json::parse(refused.body)["error"]["outcome"], "not_run");
}

TEST_F(whole_path, stops_gracefully_on_a_signal) {
  m_deployment.instance("a2").send_signal(SIGTERM);
  EXPECT_EQ(m_deployment.instance("a2").wait(), 0);
  EXPECT_EQ(complete("a1", false).status, 200);
}

TEST_F(whole_path, keeps_the_catalogue_when_every_instance_is_killed) {
  for (auto const* id : {"a1", "a2", "b1"}) {
    m_deployment.instance(id).kill();
  }
  m_deployment.start_all_instances();
  EXPECT_TRUE(eventually([&] { return m_deployment.status("b1")["revision"] == 1; }));
}

} // namespace

} // namespace catkinlanding::testing
