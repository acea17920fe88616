#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

namespace catkinlanding::testing {

namespace {

/// An entry instance whose log goes to a small pipe that nobody reads.
class blocked_logs : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_deployment.start());
    m_deployment.process("entry-2").kill();
    auto const path = m_deployment.log_path("entry-2");
    std::filesystem::remove(path);
    ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
    m_reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    ASSERT_GE(m_reader, 0);
    constexpr int pipe_bytes = 4096;
    ::fcntl(m_reader, F_SETPIPE_SZ, pipe_bytes);
    m_deployment.start_process("entry-2");
    ASSERT_TRUE(m_deployment.await_ready("entry-2"));
  }

  void TearDown() override { ::close(m_reader); }

  int send() {
    auto const id = "id-" + std::to_string(++m_last_id);
    return m_deployment
        .send_to_entry("entry-2", {.path = "/once/answer", .headers = {{"Attempt-Id", id}}})
        .status;
  }

  std::string read_all() {
    std::string text;
    std::array<char, 4096> part{};
    for (auto size = ::read(m_reader, part.data(), part.size()); size > 0;
         size = ::read(m_reader, part.data(), part.size())) {
      text.append(part.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

  proxy_deployment m_deployment;
  int m_reader = -1;
  int m_last_id = 0;
};

// Guards against an instance that serves nobody, or can't be stopped, because the reader of its log
// has stopped reading.
TEST_F(blocked_logs, delay_neither_requests_nor_the_end_of_the_process) {
  ASSERT_TRUE(eventually([&] { return send() == 200; }));
  constexpr int requests = 200;
  for (int i = 0; i < requests; ++i) {
    EXPECT_EQ(send(), 200);
  }
  auto& process = m_deployment.process("entry-2");
  process.send_signal(SIGTERM);
  EXPECT_EQ(process.wait(), 0);
}

TEST_F(blocked_logs, tell_of_the_lost_lines_once_they_are_read_again) {
  ASSERT_TRUE(eventually([&] { return send() == 200; }));
  EXPECT_TRUE(eventually([&] {
    // Nobody reads for longer than a line waits for room.
    constexpr int requests = 300;
    for (int i = 0; i < requests; ++i) {
      EXPECT_EQ(send(), 200);
    }
    return read_all().find("event=log lines_lost lines=") != std::string::npos;
  }));
}

} // namespace

} // namespace catkinlanding::testing
