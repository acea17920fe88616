#include <libraries/base/random.h>
#include <libraries/limits/share_allocator.h>
#include <libraries/limits/share_lessee.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace catkinlanding::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t instance_count = 5;
constexpr std::uint64_t limit = 10'007;
constexpr std::uint64_t floor_permille = 300;
constexpr int steps = 400;

/// Lessees and an allocator whose messages are lost, duplicated, reordered and delayed. Each
/// instance has its own clock, and some are partitioned at times.
class run {
public:
  explicit run(std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < instance_count; ++i) {
      m_lessees.emplace_back(share_lessee::options{});
      m_offsets.push_back(seconds(m_random() % 1000));
      m_is_partitioned.push_back(false);
    }
    m_limits[key()] = limit;
  }

  void step() {
    m_now += milliseconds(m_random() % 600);
    for (std::size_t i = 0; i < instance_count; ++i) {
      m_is_partitioned[i] = m_random() % 20 == 0 ? !m_is_partitioned[i] : m_is_partitioned[i];
      shares demand{{key(), m_random() % 3 * 4000}};
      if (auto request = m_lessees[i].tick(demand, m_now + m_offsets[i])) {
        m_in_flight.push_back({i, *request});
      }
    }
    for (auto count = m_random() % 6; count > 0 && !m_in_flight.empty(); --count) {
      deliver();
    }
    check();
  }

  [[nodiscard]] bool was_leased() const { return m_was_leased; }

private:
  struct envelope {
    std::size_t instance = 0;
    limits::message message;
  };

  static share_key key() { return {.customer = {"large"}, .request_class = {}}; }

  void deliver() {
    auto const index = m_random() % m_in_flight.size();
    auto const envelope = m_in_flight[index];
    if (m_random() % 4 != 0) {
      m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (m_random() % 5 == 0 || m_is_partitioned[envelope.instance]) {
      return;
    }
    if (auto const* request = std::get_if<share_request>(&envelope.message)) {
      base::instance_id const from{std::to_string(envelope.instance)};
      m_in_flight.push_back(
          {envelope.instance, m_allocator.receive(from, *request, m_limits, m_now)});
      return;
    }
    m_lessees[envelope.instance].receive(std::get<share_grant>(envelope.message),
                                         m_now + m_offsets[envelope.instance]);
  }

  void check() {
    auto const floor = share_allocator::floor_of(limit, floor_permille, instance_count);
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < instance_count; ++i) {
      auto const share = m_lessees[i].share_of(key(), m_now + m_offsets[i]);
      m_was_leased = m_was_leased || share > 0;
      sum += floor + share;
    }
    RC_ASSERT(sum <= limit);
  }

  base::random_generator m_random;
  base::monotonic_time m_now{seconds(1)};
  share_allocator m_allocator{{.instances = instance_count, .floor_permille = floor_permille},
                              base::monotonic_time{}};
  std::vector<share_lessee> m_lessees;
  std::vector<base::duration> m_offsets;
  std::vector<bool> m_is_partitioned;
  std::vector<envelope> m_in_flight;
  shares m_limits;
  bool m_was_leased = false;
};

} // namespace

RC_GTEST_PROP(shares, never_exceed_the_limit_in_total, (std::uint64_t seed)) {
  run run(seed);
  for (int i = 0; i < steps; ++i) {
    run.step();
  }
  RC_ASSERT(run.was_leased());
}

} // namespace catkinlanding::limits
