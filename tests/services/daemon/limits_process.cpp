#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

constexpr char const* catalogue = R"({
  "customers": [{"id": "small", "owner": "ops", "class": "lookup", "keys": ["small-key"],
                 "allow": [{"model": "hat"}], "limits": {"tokens_per_second": 32}},
                {"id": "other", "owner": "ops", "class": "lookup", "keys": ["other-key"],
                 "allow": [{"model": "hat"}]}],
  "classes": [{"id": "lookup", "owner": "ops", "class": "lookup", "deadline_ms": 20000}],
  "models": [{"id": "hat", "owner": "ops", "class": "lookup"}],
  "versions": [{"model": "hat", "id": "1", "owner": "ops", "class": "lookup",
                "price_per_thousand_tokens": 1000}]
})";

TEST(limits, on_tokens_throttle_only_the_customer_that_exceeds_them) {
  deployment deployment({{.id = "a1", .zone = "a", .is_control = true}});
  deployment.start_all_instances();
  deployment.found();
  ASSERT_EQ(deployment.apply("a1", catalogue).exit_code, 0);
  deployment.start_endpoint({.id = "engine", .zone = "a", .arguments = {"--versions=hat/1"}});
  ASSERT_TRUE(eventually([&] { return deployment.status("a1")["endpoints"] == 1; }));
  auto const send_request = [&](std::string const& key) {
    return exchange(deployment.caller_port("a1"),
                    {.path = "/v1/chat/completions",
                     .body = R"({"model": "hat"})",
                     .headers = {{"Authorization", "Bearer " + key}}});
  };
  EXPECT_EQ(send_request("small-key").status, 200);
  http_response refused;
  EXPECT_TRUE(eventually([&] {
    refused = send_request("small-key");
    return refused.status == 429;
  }));
  auto const error = json::parse(refused.body)["error"];
  EXPECT_EQ(error["code"], "limit_reached");
  EXPECT_EQ(error["outcome"], "not_run");
  EXPECT_TRUE(refused.headers.contains("Retry-After"));
  EXPECT_EQ(send_request("other-key").status, 200);
  EXPECT_TRUE(eventually([&] { return send_request("small-key").status == 200; }));
}

} // namespace

} // namespace catkinlanding::testing
