#include <services/proxy/stop_log.h>

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

class stop_logs : public ::testing::Test {
protected:
  void SetUp() override {
    auto logger = std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_st>(m_text));
    logger->set_pattern("%v");
    spdlog::set_default_logger(std::move(logger));
  }
  void TearDown() override { spdlog::set_default_logger(m_before); }

  [[nodiscard]] std::string text() const { return m_text.str(); }

  std::ostringstream m_text;
  std::shared_ptr<spdlog::logger> m_before = spdlog::default_logger();
};

// Guards against a request that is cut while a part of it has arrived, and that no line names.
TEST_F(stop_logs, say_when_a_half_read_request_came_and_what_its_caller_had_left) {
  base::monotonic_time const signal_at{100s};
  stop_log::cut({{.id = {"id-1"},
                  .route = "r",
                  .header_at = signal_at + 2s,
                  .caller_deadline = signal_at + 20s}},
                {.signal_at = signal_at, .end_at = signal_at + 7s});
  EXPECT_EQ(text(), "entry cut_by_stop request=id-1 route=r state=half_read endpoint=- attempt=0 "
                    "events=0 header_ms=2000 last_byte_ms=- left_ms=13000 silent_ms=-\n");
}

// Guards against a request that arrived in the millisecond before the signal and looks as if it had
// arrived after it.
TEST_F(stop_logs, say_of_a_fraction_of_a_millisecond_whether_it_was_before_the_signal) {
  base::monotonic_time const signal_at{100s};
  stop_log::cut({{.id = {"id-1"},
                  .route = "r",
                  .header_at = signal_at - 400us,
                  .last_byte_at = signal_at + 400us}},
                {.signal_at = signal_at, .end_at = signal_at + 7s});
  EXPECT_NE(text().find(" header_ms=-1 last_byte_ms=0 "), std::string::npos) << text();
}

// Guards against an end of a process that takes longer the more requests it cuts.
TEST_F(stop_logs, are_bounded_and_count_what_they_leave_out) {
  constexpr std::size_t left_out = 7;
  stop_log::cut(std::vector<open_request>(stop_log::max_cut_lines + left_out), {});
  auto const lines = text();
  EXPECT_EQ(std::ranges::count(lines, '\n'), stop_log::max_cut_lines + 1);
  EXPECT_TRUE(lines.ends_with("entry cut_by_stop_lines_left_out count=7\n"));
}

} // namespace

} // namespace catkinlanding::proxy
