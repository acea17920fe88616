#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>
#include <tests/support/http_client.h>
#include <tests/support/latency_table.h>

#include <gtest/gtest.h>

#include <chrono>

namespace catkinlanding::testing {

namespace {

/// Prints how much latency pinning a session to a version adds to the session's first request. The
/// kinds of request alternate, so that other load on the machine affects all of them equally.
TEST(sessions_cost, compares_the_first_request_with_later_ones) {
  deployment deployment{{{.id = "a1", .zone = "a", .is_control = true},
                         {.id = "a2", .zone = "a", .is_control = true},
                         {.id = "b1", .zone = "b", .is_control = true}}};
  deployment.start_all_instances();
  deployment.found();
  ASSERT_EQ(deployment.apply("a1", catalogue_builder().add_model("hat", "1").text()).exit_code, 0);
  deployment.start_endpoint({.id = "engine", .zone = "a", .arguments = {"--versions=hat/1"}});
  ASSERT_TRUE(eventually([&] {
    return deployment.status("a1")["endpoints"] == 1 && deployment.status("a2")["endpoints"] == 1;
  }));
  auto const send_request = [&](char const* instance, std::string const& session) {
    http_request request{.path = "/v1/chat/completions", .body = R"({"model": "hat"})"};
    request.headers["Authorization"] = "Bearer guild-key";
    if (!session.empty()) {
      request.headers["Catkinlanding-Session"] = session;
    }
    auto const start = std::chrono::steady_clock::now();
    auto const answer = exchange(deployment.caller_port(instance), request);
    EXPECT_EQ(answer.status, 200) << answer.body;
    return latency_series::milliseconds(std::chrono::steady_clock::now() - start);
  };
  std::vector<latency_series> series_list{{"no session", {}},
                                          {"first of a session", {}},
                                          {"later, same entry", {}},
                                          {"later, first at its entry", {}}};
  constexpr int rounds = 300;
  for (int i = 0; i < rounds; ++i) {
    auto const session = "session-" + std::to_string(i);
    series_list.at(0).latencies.push_back(send_request("a2", ""));
    series_list.at(1).latencies.push_back(send_request("a2", session));
    series_list.at(2).latencies.push_back(send_request("a2", session));
    series_list.at(3).latencies.push_back(send_request("a1", session));
  }
  print_latency_table(series_list);
}

} // namespace

} // namespace catkinlanding::testing
