#include <utilities/ctl/cut_report.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace catkinlanding::ctl {

namespace {

using namespace std::chrono_literals;

std::string line(std::string const& time, std::string const& instance, std::string const& event,
                 std::string const& level = "info") {
  return "2026-12-04T10:00:" + time + " level=" + level + " instance=" + instance +
         " event=" + event;
}

std::vector<process_end> ends_in(std::vector<std::string> const& lines) {
  process_ends ends;
  for (auto const& text : lines) {
    auto const parsed = parse_log_line(text);
    EXPECT_TRUE(parsed.has_value()) << text;
    ends.add(parsed.value_or(log_line{}));
  }
  return ends.take();
}

std::string const start = "process started role=entry zone=a seeds=1";

// Guards against a process that is killed, of whose requests no line tells that they were cut.
TEST(process_ends, name_the_requests_that_were_open_when_a_process_was_killed) {
  auto const ends = ends_in({line("01.000", "edge-1", start),
                             line("02.000", "edge-1",
                                  "entry attempt request=r1 number=1 endpoint=e route=a "
                                  "left_ms=9000 beside="),
                             line("02.500", "edge-1",
                                  "entry attempt request=r2 number=1 endpoint=e route=a "
                                  "left_ms=9000 beside="),
                             line("02.600", "edge-2", "entry ended request=r1 outcome=answered"),
                             line("03.000", "edge-1", "entry ended request=r2 outcome=answered"),
                             line("04.000", "edge-1", start)});
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].kind, process_end_kind::killed);
  EXPECT_EQ(ends[0].instance, "edge-1");
  EXPECT_EQ(*ends[0].next_start - ends[0].time, 1000ms);
  ASSERT_EQ(ends[0].requests.size(), 1U);
  auto const& cut = ends[0].requests[0];
  EXPECT_EQ(cut.id, "r1");
  EXPECT_EQ(cut.route, "a");
  EXPECT_EQ(cut.endpoint, "e");
  EXPECT_EQ(cut.state, "sent");
  EXPECT_EQ(cut.evidence, cut_evidence::not_ended);
  EXPECT_EQ(cut.arrival, -1000ms);
  EXPECT_EQ(cut.left, 8000ms);
}

TEST(process_ends, tell_how_far_a_request_had_come) {
  auto const ends =
      ends_in({line("01.000", "edge-1", "entry awaiting_state request=waits left_ms=-1"),
               line("01.000", "edge-1", "entry relayed request=relayed peer=10.0.0.2:7 route=a"),
               line("01.000", "edge-1",
                    "entry attempt request=streams number=1 endpoint=e route=a beside="),
               line("01.100", "edge-1", "entry attempt_failed request=streams number=1 events=3"),
               line("01.100", "edge-1",
                    "entry attempt request=streams number=2 endpoint=f route=a beside="),
               line("01.200", "edge-1",
                    "entry attempt request=streams number=3 endpoint=g route=a beside=f")});
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].kind, process_end_kind::log_ends);
  ASSERT_EQ(ends[0].requests.size(), 3U);
  EXPECT_EQ(ends[0].requests[0].endpoint, "10.0.0.2:7");
  EXPECT_EQ(ends[0].requests[1].state, "answering");
  EXPECT_EQ(ends[0].requests[1].endpoint, "f");
  EXPECT_EQ(ends[0].requests[2].state, "awaiting_state");
  EXPECT_FALSE(ends[0].requests[2].left.has_value());
}

// Guards against requests beyond the bound on lines of a stop that are counted, though their
// earlier lines name them.
TEST(process_ends, join_what_a_stopped_process_named_with_the_requests_it_left_open) {
  auto const ends = ends_in(
      {line("01.000", "edge-1", "entry attempt request=r1 number=1 endpoint=e route=a beside="),
       line("01.000", "edge-1", "entry attempt request=r2 number=1 endpoint=e route=a beside="),
       line("02.000", "edge-1", "process stopping signal=15 active=4 half_read=1"),
       line("05.000", "edge-1", "process stopped requests_cut=4"),
       line("05.000", "edge-1",
            "entry cut_by_stop request=r1 route=a state=answering endpoint=e "
            "attempt=1 events=2 header_ms=-900 last_byte_ms=-900 left_ms=700 "
            "silent_ms=3"),
       line("05.000", "edge-1",
            "entry cut_by_stop request=- route=- state=half_read endpoint=- "
            "attempt=0 events=0 header_ms=- last_byte_ms=- left_ms=- "
            "silent_ms=-"),
       line("05.000", "edge-1", "entry cut_by_stop_lines_left_out count=3")});
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].kind, process_end_kind::stopped);
  EXPECT_EQ(ends[0].reason, "process stopping signal=15 active=4 half_read=1");
  EXPECT_EQ(ends[0].unnamed, 2U);
  ASSERT_EQ(ends[0].requests.size(), 3U);
  EXPECT_EQ(ends[0].requests[0].id, "r1");
  EXPECT_EQ(ends[0].requests[0].arrival, -3900ms);
  EXPECT_EQ(ends[0].requests[0].left, 700ms);
  EXPECT_EQ(ends[0].requests[1].id, "");
  EXPECT_EQ(ends[0].requests[1].state, "half_read");
  EXPECT_EQ(ends[0].requests[2].id, "r2");
  EXPECT_EQ(ends[0].requests[2].evidence, cut_evidence::not_ended);
}

TEST(process_ends, give_the_reason_of_a_process_that_ended_by_itself) {
  auto const ends = ends_in({line("01.000", "control", start),
                             line("02.000", "control", "log lines_lost lines=7", "warning"),
                             line("03.000", "control", "disk write_failed error=2", "critical")});
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].kind, process_end_kind::failed);
  EXPECT_EQ(ends[0].reason, "disk write_failed error=2");
  EXPECT_EQ(ends[0].lines_lost, 7U);
}

// Guards against the abort that follows a stated reason and hides it.
TEST(process_ends, give_the_first_reason_of_a_process_that_then_aborts) {
  auto const ends =
      ends_in({line("03.000", "control", "disk write_failed error=2", "critical"),
               line("03.000", "control", "process crashed signal=6 reason=\"-\"", "critical")});
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].reason, "disk write_failed error=2");
}

TEST(process_ends, leave_out_a_process_that_may_still_run_and_has_no_open_request) {
  EXPECT_TRUE(ends_in({line("01.000", "edge-1", start)}).empty());
}

// Guards against a kill of catkinlandingd in its stop, of which the command knows nothing.
TEST(process_ends, read_the_lines_of_catkinlandingd) {
  std::string const listed = "[2026-12-04 10:00:02.000] [info] daemon stopping request=";
  auto const ends = ends_in(
      {"[2026-12-04 10:00:01.000] [info] daemon: instance a1 in zone a has started",
       "[2026-12-04 10:00:02.000] [info] daemon: received a signal to stop",
       "[2026-12-04 10:00:02.000] [info] daemon stopping requests=2 listed=2",
       listed + "r1 progress=streaming attempts=1 endpoint=e left_ms=500",
       listed + "r2 progress=queued attempts=0 endpoint= left_ms=500",
       "[2026-12-04 10:00:02.100] [warning] requests lost request=r2 reason=expired begun=false"});
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].kind, process_end_kind::log_ends);
  EXPECT_EQ(ends[0].reason, "daemon: received a signal to stop");
  ASSERT_EQ(ends[0].requests.size(), 1U);
  EXPECT_EQ(ends[0].requests[0].id, "r1");
  EXPECT_EQ(ends[0].requests[0].state, "streaming");
  EXPECT_EQ(ends[0].requests[0].evidence, cut_evidence::open_at_stop);
  EXPECT_EQ(ends[0].requests[0].left, 400ms);
}

/// An end that cut so many requests.
process_end end_with(std::size_t requests) {
  process_end end{.instance = "edge-1", .kind = process_end_kind::killed};
  for (std::size_t i = 0; i < requests; ++i) {
    end.requests.push_back({.id = "r" + std::to_string(i), .state = "sent"});
  }
  return end;
}

TEST(cut_reports, count_what_the_bound_on_lines_leaves_out) {
  std::vector<process_end> const ends{end_with(3), end_with(2)};
  auto const text = cut_report(ends, {.max_lines = 3});
  EXPECT_EQ(std::ranges::count(text, '\n'), 4);
  EXPECT_NE(text.find("requests=3 "), std::string::npos) << text;
  EXPECT_NE(text.find("left out: ends=1 requests=3\n"), std::string::npos) << text;
  auto const object = nlohmann::json::parse(cut_report(ends, {.max_lines = 3, .is_json = true}));
  EXPECT_EQ(object["ends"][0]["requests"].size(), 2U);
  EXPECT_EQ(object["ends_left_out"], 1);
  EXPECT_EQ(object["requests_left_out"], 3);
}

TEST(cut_reports, name_only_the_end_that_cut_the_request) {
  std::vector<process_end> const ends{end_with(1), end_with(3)};
  auto const text = cut_report(ends, {.request = "r2", .max_lines = 100});
  EXPECT_EQ(std::ranges::count(text, '\n'), 2);
  EXPECT_NE(text.find("cut request=r2 "), std::string::npos) << text;
  EXPECT_EQ(text.find("cut request=r0 "), std::string::npos) << text;
  EXPECT_NE(cut_report(ends, {.request = "r9", .max_lines = 100}).find("No end of a process"),
            std::string::npos);
}

} // namespace

} // namespace catkinlanding::ctl
