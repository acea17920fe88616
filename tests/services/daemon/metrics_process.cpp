#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <future>

namespace catkinlanding::testing {

namespace {

constexpr std::string_view labels = R"({class="interactive",customer="guild"})";

class metrics_page : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    auto const applied = m_deployment.apply("a1", catalogue_builder().add_model("hat", "1").text());
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    m_deployment.start_endpoint(
        {.id = "engine", .zone = "a", .arguments = {"--versions=hat/1", "--first-byte-ms=100"}});
    ASSERT_TRUE(eventually([&] { return m_deployment.status("a1")["endpoints"] == 1; }));
  }

  [[nodiscard]] http_response complete() const {
    return exchange(m_deployment.caller_port("a1"),
                    {.path = "/v1/chat/completions",
                     .body = R"({"model":"hat"})",
                     .headers = {{"Authorization", "Bearer guild-key"}}});
  }

  /// The value of the metric with this name and labels; negative if the page does not have it.
  [[nodiscard]] double metric_value(std::string const& name) const {
    auto const page =
        exchange(m_deployment.caller_port("a1"), {.method = "GET", .path = "/metrics"}).body;
    auto const line = "\n" + name + " ";
    auto const at = page.find(line);
    return at == std::string::npos ? -1.0 : std::strtod(page.c_str() + at + line.size(), nullptr);
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true}}};
};

TEST_F(metrics_page, shows_how_long_requests_were_queued) {
  auto const name = [](char const* suffix) {
    return std::string("catkinlanding_queueing_seconds_") + suffix + std::string(labels);
  };
  EXPECT_EQ(complete().status, 200);
  EXPECT_EQ(metric_value(name("count")), 1);
  EXPECT_EQ(metric_value(name("sum")), 0);
  // More than the engine has slots for, so some requests are queued.
  constexpr int calls = 24;
  std::vector<std::future<http_response>> answers;
  answers.reserve(calls);
  for (int i = 0; i < calls; ++i) {
    answers.push_back(std::async(std::launch::async, [&] { return complete(); }));
  }
  for (auto& answer : answers) {
    EXPECT_EQ(answer.get().status, 200);
  }
  EXPECT_EQ(metric_value(name("count")), calls + 1);
  EXPECT_GT(metric_value(name("sum")), 0);
  EXPECT_EQ(metric_value("catkinlanding_request_seconds_count" + std::string(labels)), calls + 1);
}

TEST_F(metrics_page, shows_the_request_event_counters) {
  for (auto const* event_name :
       {"late_answers", "unsecured_answers", "retries", "retries_denied"}) {
    EXPECT_GE(metric_value(std::string("catkinlanding_events_total{what=\"") + event_name + "\"}"),
              0)
        << event_name;
  }
  // Nothing listens at this address, so attempts there are retried at another endpoint.
  nlohmann::json const unreachable_endpoint = {
      {"endpoint", "dead"}, {"incarnation", 1},
      {"sequence", 1},      {"zone", "a"},
      {"ip", "127.0.0.1"},  {"port", free_port()},
      {"slots", 8},         {"versions", {{{"model", "hat"}, {"version", "1"}}}}};
  int sequence = 0;
  EXPECT_TRUE(eventually([&] {
    auto body = unreachable_endpoint;
    body["sequence"] = ++sequence;
    static_cast<void>(exchange(m_deployment.caller_port("a1"),
                               {.path = "/endpoints/announce", .body = body.dump()}));
    EXPECT_EQ(complete().status, 200);
    return metric_value("catkinlanding_events_total{what=\"retries\"}") > 0;
  }));
}

} // namespace

} // namespace catkinlanding::testing
