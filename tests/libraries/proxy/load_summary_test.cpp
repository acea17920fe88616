#include <libraries/base/random.h>
#include <libraries/proxy/downstream_table.h>
#include <libraries/proxy/load_reports.h>

#include <gtest/gtest.h>

#include <string>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

base::instance_id instance(std::size_t number) {
  return {"entry-" + std::to_string(number)};
}

/// Entry instances that report their loads to one table, and read them from its summaries.
struct reporting_instances {
  explicit reporting_instances(std::size_t count) : reports(count) {}

  void report(std::size_t number, std::vector<endpoint_load> const& loads,
              base::monotonic_time now) {
    auto const& sent = reports.at(number).add(loads, now);
    table.note(instance(number), {.is_entry = true, .loads = sent.loads, .report = sent.number},
               now);
  }

  [[nodiscard]] load_summary summary(std::size_t number, base::monotonic_time now) {
    return table.loads_for(table.all().at(instance(number)), now);
  }

  [[nodiscard]] std::vector<endpoint_load> others(std::size_t number, base::monotonic_time now) {
    return reports.at(number).others_in(summary(number, now));
  }

  downstream_table table{{}};
  std::vector<load_reports> reports;
};

constexpr base::monotonic_time start{};

// Guards against a leader that adds up the reports of all instances for each of them: with 300
// instances it had no time left to keep its lease.
TEST(load_summaries, are_made_once_for_all_instances_that_ask_together) {
  reporting_instances instances(2);
  instances.report(0, {{.endpoint = {"e"}, .outstanding = 1}}, start);
  instances.report(1, {{.endpoint = {"e"}, .outstanding = 2}}, start);
  auto const first = instances.summary(0, start);
  auto const second = instances.summary(1, start + 10ms);
  EXPECT_EQ(&first.totals.elements(), &second.totals.elements());
}

TEST(load_summaries, leave_out_the_report_that_they_contain) {
  reporting_instances instances(2);
  instances.report(0, {{.endpoint = {"e"}, .outstanding = 5, .pending_work = 50}}, start);
  instances.report(1, {{.endpoint = {"e"}, .outstanding = 2, .pending_work = 20}}, start);
  ASSERT_EQ(instances.others(0, start).size(), 1U);
  EXPECT_EQ(instances.others(0, start).front().outstanding, 2U);
  // The next report is not part of the summary yet.
  instances.report(0, {}, start + 10ms);
  EXPECT_EQ(instances.others(0, start + 10ms).front().outstanding, 2U);
  EXPECT_EQ(instances.others(0, start + 10ms).front().pending_work, 20U);
}

TEST(load_summaries, drop_the_loads_of_silent_instances) {
  reporting_instances instances(2);
  instances.report(0, {}, start);
  instances.report(1, {{.endpoint = {"e"}, .outstanding = 2}}, start);
  instances.report(0, {}, start + 4s);
  EXPECT_EQ(instances.table.drop_silent(start + 4s), std::vector{instance(1)});
  EXPECT_EQ(instances.table.count_entries(), 1U);
  EXPECT_TRUE(instances.others(0, start + 4s).empty());
}

TEST(load_summaries, survive_reports_that_name_an_endpoint_twice_or_without_load) {
  reporting_instances instances(1);
  instances.report(0, {{.endpoint = {"e"}}, {.endpoint = {"e"}}}, start);
  instances.report(0, {{.endpoint = {"e"}, .outstanding = 1}, {.endpoint = {"e"}}}, start);
  instances.report(0, {}, start + 1s);
  EXPECT_TRUE(instances.others(0, start + 1s).empty());
}

// Whatever is reported in which order, each instance sees the sum of what the others last reported.
TEST(load_summaries, hold_the_sum_of_the_others_at_any_number_of_instances) {
  for (std::size_t const count : {3U, 30U, 300U}) {
    reporting_instances instances(count);
    base::random_generator random(count);
    std::vector<std::uint32_t> last(count);
    auto now = start;
    for (int step = 0; step < 2000; ++step) {
      now += 10ms;
      auto const reporting = static_cast<std::size_t>(random() % count);
      last[reporting] = static_cast<std::uint32_t>(random() % 4);
      instances.report(reporting, {{.endpoint = {"e"}, .outstanding = last[reporting]}}, now);
      // Later than a summary lives, so that the next one contains every report.
      now += 60ms;
      std::uint32_t expected = 0;
      for (std::size_t other = 0; other < count; ++other) {
        expected += other == reporting ? 0 : last[other];
      }
      auto const others = instances.others(reporting, now);
      auto const seen = others.empty() ? 0 : others.front().outstanding;
      ASSERT_EQ(seen, expected) << count << " instances, step " << step;
    }
  }
}

} // namespace

} // namespace catkinlanding::proxy
