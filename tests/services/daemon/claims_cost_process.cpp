#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>
#include <tests/support/http_client.h>
#include <tests/support/latency_table.h>

#include <gtest/gtest.h>

#include <chrono>

namespace catkinlanding::testing {

namespace {

struct request_kind {
  char const* path;
  bool is_keyed;
};

/// Prints how much latency a claim adds to a request. The kinds of request alternate, so that other
/// load on the machine affects all of them equally.
TEST(claims_cost, compares_requests_with_and_without_a_claim) {
  deployment deployment{{{.id = "a1", .zone = "a", .is_control = true},
                         {.id = "a2", .zone = "a", .is_control = true},
                         {.id = "b1", .zone = "b", .is_control = true}}};
  deployment.start_all_instances();
  deployment.found();
  ASSERT_EQ(deployment
                .apply("a1", catalogue_builder()
                                 .add_service("orders", {.price_per_call = 0})
                                 .add_service("stock", {.is_idempotent = true, .price_per_call = 0})
                                 .text())
                .exit_code,
            0);
  deployment.start_endpoint({.id = "shop", .zone = "a", .arguments = {"--service=orders"}});
  deployment.start_endpoint({.id = "store", .zone = "a", .arguments = {"--service=stock"}});
  ASSERT_TRUE(eventually([&] { return deployment.status("a2")["endpoints"] == 2; }));
  std::vector<request_kind> const request_kinds{{.path = "/services/stock/", .is_keyed = true},
                                                {.path = "/services/orders/", .is_keyed = false},
                                                {.path = "/services/orders/", .is_keyed = true}};
  std::vector<latency_series> series_list{
      {"idempotent", {}}, {"non-idempotent, unkeyed", {}}, {"non-idempotent, keyed (claimed)", {}}};
  constexpr int rounds = 300;
  for (int i = 0; i < rounds; ++i) {
    for (std::size_t k = 0; k < request_kinds.size(); ++k) {
      auto& series = series_list[k];
      http_request request{.path = request_kinds[k].path, .body = "felt", .headers = {}};
      request.headers["Authorization"] = "Bearer guild-key";
      if (request_kinds[k].is_keyed) {
        request.headers["Idempotency-Key"] = series.name + std::to_string(i);
      }
      auto const start = std::chrono::steady_clock::now();
      auto const answer = exchange(deployment.caller_port("a2"), request);
      series.latencies.emplace_back(std::chrono::steady_clock::now() - start);
      ASSERT_EQ(answer.status, 200) << answer.body;
    }
  }
  print_latency_table(series_list);
}

} // namespace

} // namespace catkinlanding::testing
