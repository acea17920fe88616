#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

/// Calls to the service `orders` are not idempotent, so each keyed call must be executed at most
/// once. The endpoint counts how often it executed each call.
class claims : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    auto const applied = m_deployment.apply("a1", catalogue_builder().add_service("orders").text());
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
  }

  void start_shop(std::vector<std::string> arguments) {
    arguments.emplace_back("--service=orders");
    m_deployment.start_endpoint({.id = "shop", .zone = "a", .arguments = std::move(arguments)});
    ASSERT_TRUE(eventually([&] {
      return m_deployment.status("a1")["endpoints"] == 1 &&
             m_deployment.status("a2")["endpoints"] == 1;
    }));
  }

  [[nodiscard]] http_response order(std::string const& instance, std::string const& key,
                                    std::string const& body = "felt") const {
    std::map<std::string, std::string> headers{{"Authorization", "Bearer guild-key"}};
    if (!key.empty()) {
      headers["Idempotency-Key"] = key;
    }
    return exchange(m_deployment.caller_port(instance),
                    {.path = "/services/orders/", .body = body, .headers = std::move(headers)});
  }

  [[nodiscard]] int execution_count(std::string const& key) const {
    auto const page =
        exchange(m_deployment.endpoint_port("shop"), {.method = "GET", .path = "/runs"});
    return json::parse(page.body).value("guild/" + key, 0);
  }

  [[nodiscard]] static json error_of(http_response const& answer) {
    return json::parse(answer.body)["error"];
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "a2", .zone = "a", .is_control = true},
                           {.id = "b1", .zone = "b", .is_control = true}}};
};

TEST_F(claims, a_resend_through_another_entry_gets_the_same_answer) {
  start_shop({});
  auto const first = order("a1", "k1");
  EXPECT_EQ(first.status, 200) << first.body;
  auto const again = order("a2", "k1");
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(execution_count("k1"), 1);
  auto const other = order("a2", "k1", "sinamay");
  EXPECT_EQ(other.status, 422);
  EXPECT_EQ(error_of(other)["outcome"], "not_run");
  EXPECT_TRUE(eventually([&] {
    auto const bills = m_deployment.run_catkinctl("a1", {"billing", "export"});
    return json::parse(bills.output)["bills"].size() == 1;
  }));
}

TEST_F(claims, an_entry_that_is_killed_after_dispatch_leaves_the_outcome_unknown) {
  start_shop({"--first-byte-ms=3000"});
  auto const interrupted = std::async(std::launch::async, [&] { return order("a2", "k1"); });
  ASSERT_TRUE(eventually([&] { return execution_count("k1") == 1; }));
  auto const meanwhile = order("a1", "k1");
  EXPECT_EQ(meanwhile.status, 409);
  EXPECT_EQ(error_of(meanwhile)["code"], "already_running");
  m_deployment.instance("a2").kill();
  interrupted.wait();
  EXPECT_TRUE(eventually([&] {
    auto const resent = order("a1", "k1");
    return resent.status == 409 && error_of(resent)["outcome"] == "outcome_unknown";
  }));
  EXPECT_EQ(execution_count("k1"), 1);
}

TEST_F(claims, an_entry_that_is_killed_before_dispatch_never_makes_the_request_run_twice) {
  start_shop({});
  std::string const leader = m_deployment.status("a1")["leader"];
  std::string const entry = leader == "a2" ? "a1" : "a2";
  std::string const other = leader == "a2" ? "a2" : "a1";
  // The leader is suspended and can't store the claim, so the request can't be dispatched.
  m_deployment.instance(leader).send_signal(SIGSTOP);
  auto const interrupted = std::async(std::launch::async, [&] { return order(entry, "k1"); });
  EXPECT_TRUE(eventually([&] {
    auto const seen = m_deployment.status(entry);
    return seen.contains("requests") && seen["requests"] == 1;
  }));
  m_deployment.instance(entry).kill();
  m_deployment.instance(leader).send_signal(SIGCONT);
  interrupted.wait();
  http_response resent;
  EXPECT_TRUE(eventually([&] {
    resent = order(other, "k1");
    return resent.status == 200 || resent.status == 409;
  }));
  if (resent.status == 409) {
    EXPECT_EQ(error_of(resent)["outcome"], "outcome_unknown");
  }
  EXPECT_EQ(execution_count("k1"), resent.status == 200 ? 1 : 0);
}

TEST_F(claims, a_zone_without_a_quorum_refuses_keyed_orders_at_once_and_serves_the_rest) {
  start_shop({});
  m_deployment.instance("a2").kill();
  m_deployment.instance("b1").kill();
  EXPECT_TRUE(eventually([&] { return m_deployment.status("a1")["has_lease"] == false; }));
  auto const refused = order("a1", "k1");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(error_of(refused)["code"], "claims_unavailable");
  EXPECT_TRUE(refused.headers.contains("Retry-After"));
  EXPECT_EQ(execution_count("k1"), 0);
  EXPECT_EQ(order("a1", "").status, 200);
}

} // namespace

} // namespace catkinlanding::testing
