#include <services/daemon/request_log.h>

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <sstream>

namespace catkinlanding::daemon {

namespace {

using namespace std::chrono_literals;

class request_log_lines : public testing::Test {
protected:
  void SetUp() override {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(m_text);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", std::move(sink)));
  }
  void TearDown() override { spdlog::set_default_logger(m_before); }

  void lose(int count, base::duration at, requests::run_state state) {
    for (int i = 0; i < count; ++i) {
      m_log.lost({.failure = {.run_state = state}, .request = {"a1.7." + std::to_string(i)}},
                 base::monotonic_time{at});
    }
  }

  [[nodiscard]] std::size_t lines() const {
    auto const text = m_text.str();
    return static_cast<std::size_t>(std::ranges::count(text, '\n'));
  }

  std::ostringstream m_text;
  request_log m_log;

private:
  std::shared_ptr<spdlog::logger> m_before = spdlog::default_logger();
};

// Guards against a log that fills the disk when all requests fail, and hides that lines are
// missing.
TEST_F(request_log_lines, are_bounded_and_tell_how_many_are_missing) {
  lose(5000, 1h, requests::run_state::outcome_unknown);
  EXPECT_EQ(lines(), 20U);
  lose(1, 1h + 1s, requests::run_state::outcome_unknown);
  EXPECT_EQ(lines(), 21U);
  EXPECT_NE(m_text.str().find("unlogged_before=4980"), std::string::npos);
}

// Refusals are answers, and would hide the requests that are lost.
TEST_F(request_log_lines, leave_out_what_was_refused_unrun) {
  lose(10, 1h, requests::run_state::not_run);
  EXPECT_EQ(lines(), 0U);
}

} // namespace

} // namespace catkinlanding::daemon
