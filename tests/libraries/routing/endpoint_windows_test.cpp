#include <libraries/base/random.h>
#include <libraries/routing/endpoint_windows.h>

#include <gtest/gtest.h>

namespace catkinlanding::routing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t slots = 8;

/// One endpoint that announces itself once a second to the only instance that uses it.
class single_endpoint {
public:
  void run(base::duration duration, bool is_announcing) {
    for (auto const end = m_now + duration; m_now < end; m_now += 100ms) {
      endpoints::effects ignored;
      m_directory.tick(m_now, ignored);
      if (is_announcing && m_now >= m_announce_due) {
        m_announce_due = m_now + 1s;
        announce();
      }
    }
  }

  /// Number of attempts that the endpoint can be given at once.
  [[nodiscard]] std::uint32_t free_capacity() {
    std::uint32_t taken = 0;
    while (taken < 2 * slots && m_windows.pick(m_version, {.session = {}, .excluded = m_none},
                                               m_directory, m_now, m_random)) {
      m_directory.start_attempt({"engine"});
      ++taken;
    }
    for (std::uint32_t i = 0; i < taken; ++i) {
      m_directory.finish_attempt({"engine"});
    }
    return taken;
  }

private:
  void announce() {
    endpoints::effects ignored;
    m_directory.announce({.endpoint = {"engine"},
                          .incarnation = 1,
                          .sequence = ++m_sequence,
                          .address = {.ip = "127.0.0.1", .port = 1},
                          .versions = {m_version},
                          .slots = slots},
                         m_now, ignored);
  }

  endpoints::served_version m_version{{"hat"}, {"1"}};
  std::set<base::endpoint_id> m_none;
  base::monotonic_time m_now{1h};
  base::monotonic_time m_announce_due{};
  std::uint64_t m_sequence = 0;
  endpoints::directory m_directory{{.started_at = m_now}};
  endpoint_windows m_windows{{}};
  base::random_generator m_random{1};
};

TEST(endpoint_windows, open_fully_for_the_first_request) {
  single_endpoint endpoint;
  endpoint.run(3s, /*is_announcing=*/true);
  EXPECT_EQ(endpoint.free_capacity(), slots);
}

TEST(endpoint_windows, stay_fully_open_after_an_idle_hour) {
  single_endpoint endpoint;
  endpoint.run(1h, /*is_announcing=*/true);
  EXPECT_EQ(endpoint.free_capacity(), slots);
}

TEST(endpoint_windows, ramp_up_for_a_returning_endpoint) {
  single_endpoint endpoint;
  endpoint.run(1min, /*is_announcing=*/true);
  endpoint.run(10s, /*is_announcing=*/false);
  EXPECT_EQ(endpoint.free_capacity(), 0U);
  endpoint.run(500ms, /*is_announcing=*/true);
  EXPECT_LT(endpoint.free_capacity(), slots);
  endpoint.run(10s, /*is_announcing=*/true);
  EXPECT_EQ(endpoint.free_capacity(), slots);
}

} // namespace

} // namespace catkinlanding::routing
