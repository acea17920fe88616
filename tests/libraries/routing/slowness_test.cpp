#include <libraries/base/random.h>
#include <libraries/routing/chooser.h>

#include <gtest/gtest.h>

namespace catkinlanding::routing {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// One version at one endpoint, with a continuous stream of requests.
class single_version {
public:
  single_version() {
    catalogue::change change{.id = {"first"}, .base_revision = 0};
    change.upserts.emplace_back(catalogue::model{.id = {"hat"}});
    change.upserts.emplace_back(catalogue::version{.model = {"hat"}, .id = {"1"}});
    catalogue::customer customer{.id = {"guild"}};
    customer.allowances = {{.model = {"hat"}, .versions = {}}};
    change.upserts.emplace_back(customer);
    m_document.apply(change);
  }

  /// Serves one request with this time per token. Returns false if the version was suspended.
  bool serve(base::duration time_per_token) {
    m_now += milliseconds(1);
    endpoints::effects ignored;
    m_directory.tick(m_now, ignored);
    if (m_now >= m_announce_due) {
      announce();
    }
    version_query query;
    query.customer = m_document.find_customer({"guild"});
    query.model = {"hat"};
    auto const choice = m_chooser.choose(
        query, {.document = m_document, .has_lease = true, .directory = m_directory}, m_now);
    if (!choice) {
      EXPECT_TRUE(choice.error() == choice_error::no_version ||
                  choice.error() == choice_error::version_suspended);
      return false;
    }
    m_chooser.observe(attempt_result{.model = {"hat"},
                                     .version = {"1"},
                                     .endpoint = {"engine"},
                                     .generation = 8 * time_per_token,
                                     .completion_tokens = 8},
                      m_now);
    return true;
  }

private:
  void announce() {
    m_announce_due = m_now + std::chrono::seconds(1);
    endpoints::effects ignored;
    m_directory.announce({.endpoint = {"engine"},
                          .incarnation = 1,
                          .sequence = ++m_sequence,
                          .address = {.ip = "127.0.0.1", .port = 1},
                          .versions = {{{"hat"}, {"1"}}},
                          .slots = 8},
                         m_now, ignored);
  }

  catalogue::document m_document;
  base::monotonic_time m_now{std::chrono::hours(1)};
  endpoints::directory m_directory{{.started_at = m_now}};
  chooser m_chooser{{.seed = 1}};
  base::monotonic_time m_announce_due{};
  std::uint64_t m_sequence = 0;
};

TEST(slowness, imperceptible_jitter_does_not_suspend_a_version) {
  single_version version;
  base::random_generator random(1);
  std::uniform_int_distribution<int> late(0, 9);
  for (int i = 0; i < 5000; ++i) {
    auto const jitter = late(random) == 0 ? microseconds(900) : microseconds(20);
    ASSERT_TRUE(version.serve(i < 500 ? microseconds(20) : jitter)) << i;
  }
}

TEST(slowness, much_slower_generation_suspends_the_version) {
  single_version version;
  for (int i = 0; i < 200; ++i) {
    ASSERT_TRUE(version.serve(milliseconds(20)));
  }
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    refused += version.serve(milliseconds(200)) ? 0 : 1;
  }
  EXPECT_GT(refused, 100);
}

} // namespace

} // namespace catkinlanding::routing
