#include <services/proxy/log_sink.h>

#include <gtest/gtest.h>
#include <spdlog/pattern_formatter.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace catkinlanding::proxy {

namespace {

/// A sink that writes to a pipe, which is read only when the test says so.
class log_sinks : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_EQ(::pipe2(m_pipe.data(), O_CLOEXEC), 0);
    ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    m_sink.emplace(log_sink::options{.descriptor = m_pipe[1],
                                     .patience = std::chrono::milliseconds(0),
                                     .dropped_before = [this] { return m_dropped_before; }});
    m_sink->set_formatter(
        std::make_unique<spdlog::pattern_formatter>("%v", spdlog::pattern_time_type::local, "\n"));
  }

  void TearDown() override {
    ::close(m_pipe[0]);
    ::close(m_pipe[1]);
  }

  void log(std::string const& text) {
    m_sink->log(spdlog::details::log_msg("", spdlog::level::info, text));
  }

  std::string read_all() {
    std::string text;
    std::array<char, 4096> part{};
    for (auto size = ::read(m_pipe[0], part.data(), part.size()); size > 0;
         size = ::read(m_pipe[0], part.data(), part.size())) {
      text.append(part.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

  /// Logs far more than the pipe holds.
  void overflow() {
    constexpr int lines = 2000;
    for (int i = 0; i < lines; ++i) {
      log(std::string(99, 'x'));
    }
  }

  std::array<int, 2> m_pipe{};
  std::uint64_t m_dropped_before = 0;
  std::optional<log_sink> m_sink;
};

TEST_F(log_sinks, write_whole_lines) {
  log("one");
  log("two");
  EXPECT_EQ(read_all(), "one\ntwo\n");
}

// Guards against a process that waits for a reader which has stopped reading.
TEST_F(log_sinks, drop_lines_without_room_and_tell_how_many) {
  overflow();
  auto const held = read_all();
  EXPECT_EQ(held.size() % 100, 0U);
  auto const lost = 2000 - held.size() / 100;
  EXPECT_GT(lost, 0U);
  log("later");
  EXPECT_EQ(read_all(), "log lines_lost lines=" + std::to_string(lost) + "\nlater\n");
  log("last");
  EXPECT_EQ(read_all(), "last\n");
}

TEST_F(log_sinks, tell_of_lines_that_never_reached_them) {
  m_dropped_before = 7;
  log("later");
  EXPECT_EQ(read_all(), "log lines_lost lines=7\nlater\n");
}

TEST_F(log_sinks, cut_off_lines_that_a_pipe_might_not_take_at_once) {
  log(std::string(10'000, 'x'));
  auto const text = read_all();
  EXPECT_EQ(text.size(), 4096U);
  EXPECT_EQ(text.back(), '\n');
}

} // namespace

} // namespace catkinlanding::proxy
