#include <libraries/base/hash.h>
#include <tests/support/router_fixture.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// A router whose requests carry prompts.
class routers_of_prompts : public routers {
protected:
  routers_of_prompts() {
    receive_state({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"});
  }

  /// Sends one request until its answer is final, while each endpoint ends under it. Returns the
  /// number of attempts.
  std::size_t attempts_of_ending_request(std::vector<std::string> const& parts) {
    auto request = facts("/resume/x");
    request.caller_timeout = 20s;
    request.content_hash = parts.empty() ? 0 : base::stable_hash(parts.back());
    for (auto const& part : parts) {
      request.prompt.push_back({.id = part, .tokens = 100});
    }
    m_now += 500ms;
    auto made = m_router.begin(++m_number, request, m_now);
    std::size_t attempts = 0;
    while (is_attempt(made)) {
      ++attempts;
      m_now += 50ms;
      made = m_router.fail(m_number, attempt_failure::broken, false, m_now);
    }
    m_router.end(m_number, m_now);
    return attempts;
  }

  /// Sends one request to its complete answer. Returns the first decision.
  decision complete_request(std::vector<std::string> const& parts,
                            std::string const& path = "/resume/sound") {
    auto request = facts(path);
    for (auto const& part : parts) {
      request.prompt.push_back({.id = part, .tokens = 100});
    }
    auto made = m_router.begin(++m_number, request, m_now);
    m_router.note_completed(m_number, m_now);
    m_router.end(m_number, m_now);
    return made;
  }

  base::monotonic_time m_now = start;
  request_number m_number = 100;
};

// Guards against requests that end one endpoint after the other because of a part that they share
// (BUDGET): nothing connected the endings.
TEST_F(routers_of_prompts, stop_sending_requests_with_a_part_that_ends_endpoints) {
  std::size_t attempts = 0;
  for (int i = 0; i < 10; ++i) {
    attempts += attempts_of_ending_request({"deadly", "own" + std::to_string(i)});
  }
  EXPECT_LE(attempts, 5U);
}

// Guards against one request that ends every endpoint it may be sent to.
TEST_F(routers_of_prompts, send_a_request_under_which_endpoints_end_to_two_of_them) {
  EXPECT_EQ(attempts_of_ending_request({"deadly", "own"}), 2U);
}

// Guards against a request that comes again and ends endpoints each time (BUDGET): each repeat was
// a new request, and one without a prompt had no limit of its own.
TEST_F(routers_of_prompts, stop_sending_a_repeated_request_under_which_endpoints_end) {
  std::size_t attempts = 0;
  for (int i = 0; i < 10; ++i) {
    attempts += attempts_of_ending_request({});
  }
  EXPECT_LE(attempts, 3U);
}

TEST_F(routers_of_prompts, stop_sending_a_repeated_request_with_a_prompt) {
  ASSERT_TRUE(is_attempt(complete_request({"sound", "first"})));
  std::size_t attempts = 0;
  for (int i = 0; i < 10; ++i) {
    attempts += attempts_of_ending_request({"sound", "own"});
  }
  EXPECT_LE(attempts, 3U);
  EXPECT_TRUE(is_attempt(complete_request({"sound", "other"}, "/resume/other")));
}

} // namespace

} // namespace catkinlanding::proxy
