#include <libraries/base/random.h>
#include <libraries/limits/rate_limiter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <vector>

namespace catkinlanding::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t instance_count = 5;
constexpr std::uint32_t requests_per_second = 40;
constexpr std::uint32_t tokens_per_second = 400;
constexpr std::uint64_t max_estimate = 60;
constexpr std::uint64_t max_used = 2 * max_estimate;
constexpr std::size_t max_running = 3;
constexpr int steps = 3000;

/// Rate limiters of entry instances whose customer always exceeds its limits, and an allocator.
/// Messages are lost, duplicated and delayed, each instance has its own clock, instances are
/// partitioned at times, and the demand moves from one to another.
class run {
public:
  explicit run(std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < instance_count; ++i) {
      m_limiters.emplace_back(rate_limiter::options{.instances = instance_count});
      m_offsets.push_back(seconds(m_random() % 1000));
      m_is_partitioned.push_back(false);
      m_running.emplace_back();
    }
    catalogue::change change{.id = {"first"}, .base_revision = 0};
    change.upserts.emplace_back(
        catalogue::customer{.id = {"large"},
                            .stewardship = {.limits = {.requests_per_second = requests_per_second,
                                                       .tokens_per_second = tokens_per_second}}});
    m_document.apply(change);
  }

  void step() {
    m_now += milliseconds(m_random() % 100);
    if (m_random() % 40 == 0) {
      m_busy_instance = m_random() % instance_count;
    }
    for (std::size_t i = 0; i < instance_count; ++i) {
      m_is_partitioned[i] = m_random() % 100 == 0 ? !m_is_partitioned[i] : m_is_partitioned[i];
      if (auto request = m_limiters[i].tick(local(i))) {
        m_in_flight.push_back({i, *request});
      }
    }
    for (auto count = m_random() % 12; count > 0 && !m_in_flight.empty(); --count) {
      deliver();
    }
    for (auto count = m_random() % 16; count > 0; --count) {
      send_request(m_random() % 3 != 0 ? m_random() % instance_count : m_busy_instance);
    }
    check();
  }

  /// Whether more than the floors was used, without which the run would not test the leases.
  [[nodiscard]] bool exceeded_floors() const { return m_tokens > floor_tokens(); }

private:
  struct envelope {
    std::size_t instance = 0;
    limits::message message;
  };

  [[nodiscard]] base::monotonic_time local(std::size_t instance) const {
    return m_now + m_offsets[instance];
  }

  [[nodiscard]] double elapsed() const {
    return std::chrono::duration<double>(m_now - m_start).count();
  }

  [[nodiscard]] std::uint64_t floor_tokens() const {
    return static_cast<std::uint64_t>(0.3 * tokens_per_second * elapsed());
  }

  void deliver() {
    auto const index = m_random() % m_in_flight.size();
    auto const envelope = m_in_flight[index];
    if (m_random() % 4 != 0) {
      m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (m_random() % 8 == 0 || m_is_partitioned[envelope.instance]) {
      return;
    }
    if (auto const* request = std::get_if<share_request>(&envelope.message)) {
      base::instance_id const from{std::to_string(envelope.instance)};
      m_in_flight.push_back(
          {envelope.instance, m_allocator.receive(from, *request, limits_in(m_document), m_now)});
      return;
    }
    m_limiters[envelope.instance].receive(std::get<share_grant>(envelope.message),
                                          local(envelope.instance));
  }

  void send_request(std::size_t instance) {
    auto& running = m_running[instance];
    if (running.size() >= max_running) {
      // The oldest request ends, having used more or fewer tokens than estimated.
      auto const used = running.front().tokens == 0 ? 0 : m_random() % (max_used + 1);
      m_tokens += used;
      m_tokens -= running.front().tokens;
      m_limiters[instance].correct({.charge = running.front(), .tokens = used}, local(instance));
      running.pop_front();
    }
    charge const requested{.customer = {"large"},
                           .request_class = {"lookup"},
                           // Some requests use no tokens, so that both limits are reached.
                           .tokens = m_random() % 2 * (1 + m_random() % max_estimate)};
    if (!m_limiters[instance].refuse(requested, m_document, local(instance))) {
      running.push_back(requested);
      m_tokens += requested.tokens;
      ++m_requests;
    }
  }

  void check() const {
    // Allowances: the buckets start with up to a second's worth, each instance holds at least one
    // request, and running requests may exceed their estimates.
    double const max_requests = requests_per_second * (elapsed() + 1.0) + instance_count;
    double const debt = instance_count * (max_running + 1) * max_used;
    double const max_tokens = tokens_per_second * (elapsed() + 1.0) + debt;
    RC_ASSERT(static_cast<double>(m_requests) <= max_requests);
    RC_ASSERT(static_cast<double>(m_tokens) <= max_tokens);
  }

  base::random_generator m_random;
  base::monotonic_time m_start{seconds(1)};
  base::monotonic_time m_now{m_start};
  catalogue::document m_document;
  share_allocator m_allocator{{.instances = instance_count}, base::monotonic_time{}};
  std::vector<rate_limiter> m_limiters;
  std::vector<base::duration> m_offsets;
  std::vector<bool> m_is_partitioned;
  std::vector<std::deque<charge>> m_running;
  std::vector<envelope> m_in_flight;
  std::size_t m_busy_instance = 0;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_requests = 0;
};

} // namespace

RC_GTEST_PROP(rate_limiter, never_exceeds_the_limits, (std::uint64_t seed)) {
  run run(seed);
  for (int i = 0; i < steps; ++i) {
    run.step();
  }
  RC_ASSERT(run.exceeded_floors());
}

} // namespace catkinlanding::limits
