#include <libraries/base/random.h>
#include <libraries/catalogue/json.h>
#include <libraries/requests/table.h>
#include <libraries/routing/chooser.h>

#include <gtest/gtest.h>

#include <rapidcheck.h>

namespace catkinlanding::requests {

namespace {

constexpr char const* catalogue_text = R"({
  "customers": [{"id": "guild", "owner": "ops", "class": "interactive", "keys": ["guild-key"],
                 "services": ["stock"]}],
  "classes": [{"id": "interactive", "owner": "ops", "class": "interactive", "deadline_ms": 20000}],
  "services": [{"id": "stock", "owner": "ops", "class": "interactive", "idempotent": true}]
})";

catalogue::document make_document() {
  catalogue::document document;
  catalogue::change change;
  change.upserts = catalogue::parse_entries(catalogue_text).value();
  document.apply(change);
  return document;
}

/// A request table in front of a pool of endpoints that fails a given percentage of all calls.
class failing_pool {
public:
  failing_pool(std::uint64_t seed, std::size_t failing_percent, base::duration interval,
               std::size_t endpoint_count = 4)
      : m_random(seed), m_failing_percent(failing_percent), m_interval(interval),
        m_endpoint_count(endpoint_count) {}

  void serve(std::size_t count) {
    for (std::size_t i = 1; i <= count; ++i) {
      m_now += m_interval;
      caller_request request;
      request.number = i;
      request.customer_key = "guild-key";
      request.target = service_target{.service = {"stock"}, .method = "GET", .path = "/"};
      request.body = std::make_shared<std::string const>();
      reduce(request);
      // Each request is answered or fails at once; none waits for its deadline.
      RC_ASSERT(m_table.size() == 0U);
    }
  }

  [[nodiscard]] std::size_t dispatches() const { return m_dispatches; }
  [[nodiscard]] std::size_t answers() const { return m_answers; }
  [[nodiscard]] table_counters const& counters() const { return m_table.counters(); }

private:
  void reduce(event const& event) {
    endpoints::effects ignored;
    for (std::size_t i = 0; i < m_endpoint_count; ++i) {
      m_directory.announce({.endpoint = {"shop-" + std::to_string(i)},
                            .incarnation = 1,
                            .sequence = ++m_sequence,
                            .address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(i)},
                            .kind = endpoints::endpoint_kind::service,
                            .service = {"stock"}},
                           m_now, ignored);
    }
    effects effects;
    m_table.reduce(event,
                   {.document = m_document,
                    .has_lease = true,
                    .directory = m_directory,
                    .chooser = m_chooser,
                    .admission = nullptr},
                   m_now, effects);
    for (auto const& effect : effects) {
      if (auto const* sent = std::get_if<dispatch>(&effect)) {
        ++m_dispatches;
        answer(sent->attempt);
      } else if (auto const* charged = std::get_if<charge>(&effect)) {
        reduce(bill_replicated{charged->bill.request});
      } else if (auto const* failed = std::get_if<reply_failure>(&effect)) {
        RC_ASSERT(failed->failure.retry_after.has_value());
        RC_ASSERT(failed->failure.run_state != run_state::not_run);
      } else if (std::holds_alternative<reply_end>(effect)) {
        ++m_answers;
      }
    }
  }

  void answer(attempt_number attempt) {
    constexpr std::size_t percent = 100;
    if (m_random() % percent < m_failing_percent) {
      reduce(attempt_failed{attempt, m_random() % 2 == 0 ? attempt_failure_kind::broken
                                                         : attempt_failure_kind::error_status});
      return;
    }
    reduce(attempt_head{attempt});
    reduce(attempt_finished{attempt});
    // Data of a finished attempt must be ignored.
    reduce(attempt_data{attempt, "late"});
  }

  base::random_generator m_random;
  std::size_t m_failing_percent = 0;
  base::duration m_interval{};
  std::size_t m_endpoint_count = 0;
  base::monotonic_time m_now{std::chrono::hours(1)};
  catalogue::document m_document = make_document();
  endpoints::directory m_directory{{.started_at = m_now}};
  routing::chooser m_chooser{{.seed = 1}};
  table m_table{{.self = {"entry"}, .incarnation = 1}};
  std::uint64_t m_sequence = 0;
  std::size_t m_dispatches = 0;
  std::size_t m_answers = 0;
};

TEST(requests_property, a_pool_that_fails_half_of_its_calls_gets_little_extra_load) {
  EXPECT_TRUE(rc::check("extra load stays under 20 %", [] {
    auto const interval = std::chrono::milliseconds(*rc::gen::inRange(1, 1000));
    failing_pool pool(*rc::gen::arbitrary<std::uint64_t>(), 50, interval);
    constexpr std::size_t count = 400;
    pool.serve(count);
    RC_ASSERT((pool.dispatches() - count) * 5 < count);
    RC_ASSERT(pool.counters().retries_denied > 0U);
    RC_ASSERT(pool.counters().late_answers == pool.answers());
  }));
}

TEST(requests_property, rare_failures_are_hidden_by_retries) {
  EXPECT_TRUE(rc::check("nearly all requests are answered", [] {
    failing_pool pool(*rc::gen::arbitrary<std::uint64_t>(), 3, std::chrono::milliseconds(20));
    constexpr std::size_t count = 400;
    pool.serve(count);
    RC_ASSERT(count - pool.answers() <= 4U);
  }));
}

TEST(requests_property, a_retry_without_another_endpoint_never_says_not_run) {
  EXPECT_TRUE(rc::check("the pool checks each failure", [] {
    failing_pool pool(*rc::gen::arbitrary<std::uint64_t>(), 50, std::chrono::milliseconds(20), 1);
    constexpr std::size_t count = 50;
    pool.serve(count);
    RC_ASSERT(pool.dispatches() == count);
  }));
}

} // namespace

} // namespace catkinlanding::requests
