#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

namespace catkinlanding::testing {

namespace {

/// What the sockets between an endpoint and an instance hold, with the instance's own buffers.
constexpr std::uint64_t max_unread_bytes = 16ULL * 1024 * 1024;
/// Bound on the part of an answer without a length that is passed on.
constexpr std::uint64_t max_forwarded_bytes = 64ULL * 1024 * 1024;

class endless_answers : public ::testing::TestWithParam<std::string> {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  http_response send(std::string const& id, std::string const& path) {
    return m_deployment.send_to_entry("entry-1", {.path = path, .headers = {{"Attempt-Id", id}}});
  }

  /// What the endpoints could send of endless answers.
  [[nodiscard]] std::uint64_t sent_bytes() {
    return m_deployment.endpoint(0).endless_bytes() + m_deployment.endpoint(1).endless_bytes();
  }

  proxy_deployment m_deployment;
};

// Guards against an instance that reads, buffers or passes on bytes that are no answer for as long
// as an endpoint sends them.
TEST_P(endless_answers, are_cut_off) {
  auto const behaviour = GetParam();
  bool const is_body = behaviour == "endless-body";
  auto const* const route = behaviour == "endless-event" ? "/stream/" : "/once/";
  auto const answer = send("id-1", route + behaviour);
  EXPECT_TRUE(is_body || answer.status == 502) << answer.status;
  EXPECT_LT(sent_bytes(), max_unread_bytes + (is_body ? max_forwarded_bytes : 0));
  EXPECT_EQ(send("id-2", "/once/answer").status, 200);
}

INSTANTIATE_TEST_SUITE_P(of_all_kinds, endless_answers,
                         ::testing::Values("endless-interim", "endless-header", "endless-failure",
                                           "endless-body", "endless-chunk", "endless-event",
                                           "endless-stale"));

} // namespace

} // namespace catkinlanding::testing
