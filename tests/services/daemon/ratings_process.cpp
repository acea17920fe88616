#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <set>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

constexpr char const* catalogue = R"({
  "customers": [{"id": "guild", "owner": "ops", "class": "lookup", "keys": ["guild-key"],
                 "allow": [{"model": "hat"}]}],
  "classes": [{"id": "lookup", "owner": "ops", "class": "lookup", "deadline_ms": 20000,
               "quality_target": 0.6},
              {"id": "costing", "owner": "ops", "class": "costing", "deadline_ms": 20000,
               "quality_target": 0.9},
              {"id": "fitting", "owner": "ops", "class": "fitting", "deadline_ms": 20000,
               "quality_target": 0.95}],
  "models": [{"id": "hat", "owner": "ops", "class": "lookup"}],
  "versions": [{"model": "hat", "id": "cheap", "owner": "ops", "class": "lookup",
                "price_per_thousand_tokens": 100000, "quality_prior": 0.92},
               {"model": "hat", "id": "dear", "owner": "ops", "class": "lookup",
                "price_per_thousand_tokens": 1000000, "quality_prior": 0.97}]
})";

/// Two entry instances in one zone, an engine that serves both versions, and a rating service.
class ratings : public ::testing::Test {
protected:
  void start(std::vector<std::string> rating_arguments) {
    m_deployment.start_all_instances();
    m_deployment.found();
    auto const applied = m_deployment.apply("a1", catalogue);
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    m_deployment.start_endpoint(
        {.id = "engine", .zone = "a", .arguments = {"--versions=hat/cheap,hat/dear"}});
    rating_arguments.emplace_back("--rating");
    m_deployment.start_endpoint({.id = "rater", .zone = "a", .arguments = rating_arguments});
    ASSERT_TRUE(eventually([&] {
      return m_deployment.status("a1")["endpoints"] == 2 &&
             m_deployment.status("a2")["endpoints"] == 2;
    }));
  }

  /// Sends a request; requests alternate between the two entry instances.
  http_response send_request(std::string const& request_class, bool is_stream) {
    auto const instance = ++m_request_count % 2 == 0 ? "a1" : "a2";
    json const body = {{"model", "hat"}, {"stream", is_stream}, {"messages", json::array()}};
    return exchange(m_deployment.caller_port(instance),
                    {.path = "/v1/chat/completions",
                     .body = body.dump(),
                     .headers = {{"Authorization", "Bearer guild-key"},
                                 {"Catkinlanding-Class", request_class}}});
  }

  /// Sends `count` requests. Returns how many the version answered.
  int count_answers_from(std::string const& version, std::string const& request_class, int count) {
    int found = 0;
    for (int i = 0; i < count; ++i) {
      auto const answer = send_request(request_class, true);
      EXPECT_EQ(answer.status, 200) << answer.body;
      found += answer.headers.at("Catkinlanding-Version") == version ? 1 : 0;
    }
    return found;
  }

  [[nodiscard]] json bills() const {
    return json::parse(m_deployment.run_catkinctl("a1", {"billing", "export"}).output)["bills"];
  }

  deployment m_deployment{
      {{.id = "a1", .zone = "a", .is_control = true}, {.id = "a2", .zone = "a"}}};
  int m_request_count = 0;
};

TEST_F(ratings, move_the_class_with_the_higher_target_to_the_better_version) {
  start({"--poor=cheap=4"});
  EXPECT_GE(count_answers_from("cheap", "costing", 5), 4);
  // A quarter of the cheap version's answers is poor: good enough for the target of `lookup` (0.6),
  // but not for that of `costing` (0.9).
  EXPECT_TRUE(eventually([&] { return count_answers_from("dear", "costing", 20) >= 17; }));
  EXPECT_TRUE(eventually([&] { return count_answers_from("cheap", "lookup", 20) >= 17; }));
  // Each request is billed at the price of the version that answered.
  std::map<std::string, std::set<std::uint64_t>> prices;
  EXPECT_TRUE(
      eventually([&] { return bills().size() == static_cast<std::size_t>(m_request_count); }));
  for (auto const& bill : bills()) {
    ASSERT_EQ(bill["lines"].size(), 1U);
    prices[bill["lines"][0]["version"]].insert(bill["lines"][0]["price"].get<std::uint64_t>());
  }
  ASSERT_EQ(prices["cheap"].size(), 1U);
  ASSERT_EQ(prices["dear"].size(), 1U);
  EXPECT_EQ(*prices["dear"].begin(), 10 * *prices["cheap"].begin());
}

TEST_F(ratings, replace_a_poor_answer_under_one_bill_with_both_steps) {
  start({"--poor=cheap=4"});
  // A cascade is the cheapest way to reach this target.
  bool const is_replaced = eventually([&] {
    EXPECT_EQ(send_request("fitting", false).status, 200);
    auto const all = bills();
    return std::ranges::any_of(all, [](json const& bill) { return bill["lines"].size() == 2; });
  });
  EXPECT_TRUE(is_replaced);
  EXPECT_TRUE(
      eventually([&] { return bills().size() == static_cast<std::size_t>(m_request_count); }));
  for (auto const& bill : bills()) {
    if (bill["lines"].size() == 2) {
      EXPECT_EQ(bill["lines"][0]["version"], "cheap");
      EXPECT_EQ(bill["lines"][1]["version"], "dear");
    }
  }
}

TEST_F(ratings, stop_routing_to_a_version_whose_answers_become_poor) {
  start({});
  EXPECT_GE(count_answers_from("cheap", "lookup", 20), 15);
  auto const response = exchange(m_deployment.endpoint_port("rater"),
                                 {.path = "/poor", .body = R"({"version": "cheap", "every": 1})"});
  ASSERT_EQ(response.status, 200);
  // The circuit breaker keeps even the class with the low target away, apart from rare probes.
  EXPECT_TRUE(eventually([&] { return count_answers_from("dear", "lookup", 20) >= 19; }));
}

TEST_F(ratings, that_never_arrive_delay_no_answer) {
  // The rating service answers later than any test runs.
  start({"--first-byte-ms=100000000"});
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(send_request("fitting", i % 2 == 0).status, 200);
  }
  m_deployment.endpoint("rater").kill();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(send_request("fitting", i % 2 == 0).status, 200);
  }
}

} // namespace

} // namespace catkinlanding::testing
