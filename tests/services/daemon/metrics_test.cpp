#include <services/daemon/metrics.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace catkinlanding::daemon {

namespace {

TEST(metrics, count_refusals_by_name_customer_and_class) {
  metrics metrics;
  metrics.count({.number = 1,
                 .failure = {.kind = requests::failure_kind::no_endpoint},
                 .customer = {"guild"},
                 .request_class = {"lookup"}});
  auto const page = metrics.page({}, {});
  EXPECT_NE(page.find(R"(catkinlanding_failures_total{class="lookup",customer="guild",)"
                      R"(failure="no_endpoint"} 1)"),
            std::string::npos)
      << page;
}

TEST(metrics, show_the_current_event_counts) {
  metrics metrics;
  static_cast<void>(metrics.page({}, {.late_answers = 1, .retries = 4}));
  auto const page = metrics.page({}, {.late_answers = 3, .retries = 4});
  EXPECT_NE(page.find(R"(catkinlanding_events_total{what="late_answers"} 3)"), std::string::npos);
  EXPECT_NE(page.find(R"(catkinlanding_events_total{what="retries"} 4)"), std::string::npos);
}

TEST(metrics, limit_the_number_of_label_sets) {
  metrics metrics;
  for (int i = 0; i < 5000; ++i) {
    base::class_id const unknown_class{"class-" + std::to_string(i)};
    metrics.observe(
        requests::observe_request{.customer = {"guild"}, .request_class = unknown_class});
    metrics.count(
        {.number = 1, .failure = {}, .customer = {"guild"}, .request_class = unknown_class});
  }
  auto const page = metrics.page({}, {});
  // Three histograms and one counter.
  constexpr std::ptrdiff_t lines_per_label_set = 3 * 20 + 1;
  EXPECT_LT(std::ranges::count(page, '\n'), 1010 * lines_per_label_set);
  EXPECT_NE(page.find(R"(customer="other"} 4000)"), std::string::npos);
}

} // namespace

} // namespace catkinlanding::daemon
