#include <libraries/base/random.h>
#include <libraries/routing/chooser.h>

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::routing {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Versions at one endpoint, in the order of their price, with a continuous stream of requests.
class served_versions {
public:
  explicit served_versions(std::vector<std::string> const& ids) {
    catalogue::change change{.id = {"first"}, .base_revision = 0};
    change.upserts.emplace_back(catalogue::model{.id = {"hat"}});
    for (auto const& id : ids) {
      change.upserts.emplace_back(catalogue::version{
          .model = {"hat"}, .id = {id}, .price_per_thousand_tokens = ++m_highest_price});
      m_served.push_back({{"hat"}, {id}});
    }
    catalogue::customer customer{.id = {"guild"}};
    customer.allowances = {{.model = {"hat"}, .versions = {}}};
    change.upserts.emplace_back(customer);
    m_document.apply(change);
  }

  /// Serves one request with the chosen version's time per token. Returns the version, or nothing
  /// if all were suspended.
  std::optional<std::string> serve(std::map<std::string, base::duration> const& time_per_token) {
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
      return std::nullopt;
    }
    m_chooser.observe(attempt_result{.model = {"hat"},
                                     .version = choice->version,
                                     .endpoint = {"engine"},
                                     .verdict = verdict,
                                     .generation = 8 * time_per_token.at(choice->version.value),
                                     .completion_tokens = 8},
                      m_now);
    return choice->version.value;
  }

  attempt_verdict verdict = attempt_verdict::answered;

private:
  void announce() {
    m_announce_due = m_now + std::chrono::seconds(1);
    endpoints::effects ignored;
    m_directory.announce({.endpoint = {"engine"},
                          .incarnation = 1,
                          .sequence = ++m_sequence,
                          .address = {.ip = "127.0.0.1", .port = 1},
                          .versions = m_served,
                          .slots = 8},
                         m_now, ignored);
  }

  std::uint64_t m_highest_price = 0;
  std::vector<endpoints::served_version> m_served;
  catalogue::document m_document;
  base::monotonic_time m_now{std::chrono::hours(1)};
  endpoints::directory m_directory{{.started_at = m_now}};
  chooser m_chooser{{.seed = 1}};
  base::monotonic_time m_announce_due{};
  std::uint64_t m_sequence = 0;
};

TEST(slowness, imperceptible_jitter_does_not_suspend_a_version) {
  served_versions versions({"1", "2"});
  base::random_generator random(1);
  std::uniform_int_distribution<int> late(0, 9);
  for (int i = 0; i < 5000; ++i) {
    auto const jitter = late(random) == 0 ? microseconds(900) : microseconds(20);
    auto const served =
        versions.serve({{"1", i < 500 ? microseconds(20) : jitter}, {"2", microseconds(20)}});
    ASSERT_EQ(served, "1") << i;
  }
}

TEST(slowness, much_slower_generation_suspends_the_version_while_another_one_is_quick) {
  served_versions versions({"1", "2"});
  for (int i = 0; i < 200; ++i) {
    ASSERT_EQ(versions.serve({{"1", milliseconds(20)}, {"2", milliseconds(20)}}), "1");
  }
  int moved = 0;
  for (int i = 0; i < 200; ++i) {
    moved += versions.serve({{"1", milliseconds(200)}, {"2", milliseconds(20)}}) == "2" ? 1 : 0;
  }
  EXPECT_GT(moved, 100);
}

// Guards against requests that are refused although endpoints answer them whole: the machines of
// all versions became slower at once, and were judged by the times before.
TEST(slowness, of_all_versions_at_once_refuses_nobody) {
  for (std::vector<std::string> const& ids : {std::vector<std::string>{"1"}, {"1", "2"}}) {
    served_versions versions(ids);
    for (int i = 0; i < 200; ++i) {
      ASSERT_TRUE(versions.serve({{"1", milliseconds(20)}, {"2", milliseconds(20)}}));
    }
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
      refused += versions.serve({{"1", milliseconds(200)}, {"2", milliseconds(20)}}) ? 0 : 1;
    }
    for (int i = 0; i < 1000; ++i) {
      refused += versions.serve({{"1", milliseconds(200)}, {"2", milliseconds(200)}}) ? 0 : 1;
    }
    EXPECT_EQ(refused, 0) << ids.size() << " versions";
  }
}

// A version that fails must not be taken for one that is only slow.
TEST(slowness, does_not_excuse_failures) {
  served_versions versions({"1"});
  for (int i = 0; i < 200; ++i) {
    ASSERT_TRUE(versions.serve({{"1", milliseconds(20)}}));
  }
  for (int i = 0; i < 100; ++i) {
    versions.serve({{"1", milliseconds(200)}});
  }
  versions.verdict = attempt_verdict::failed;
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    refused += versions.serve({{"1", milliseconds(200)}}) ? 0 : 1;
  }
  EXPECT_GT(refused, 100);
}

} // namespace

} // namespace catkinlanding::routing
