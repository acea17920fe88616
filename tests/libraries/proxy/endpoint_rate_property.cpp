#include <libraries/proxy/endpoint_rate_limiter.h>
#include <libraries/proxy/rate_coordinator.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};
constexpr std::chrono::milliseconds step{20};
constexpr std::chrono::seconds window{4};
/// How long an instance stays connected after the leader's last answer.
constexpr std::chrono::milliseconds contact_timeout{1800};
constexpr std::chrono::seconds release_timeout{3};
constexpr std::chrono::milliseconds report_interval{400};
/// When an instance that was told must obey.
constexpr std::chrono::milliseconds reaction_time{500};
endpoint_incarnation const source{{"endpoint"}, 1};

/// One endpoint that states a rate, entry instances that send to it as often as they may, and a
/// leader that may be lost and replaced.
class rate_simulation {
public:
  rate_simulation(std::size_t instances, double rate, std::uint64_t seed)
      : m_rate(rate), m_random(seed) {
    for (std::size_t i = 0; i < instances; ++i) {
      m_instances.push_back(make_instance(i));
    }
  }

  /// Runs until the time. `demand` is the chance that an instance has a request in one step.
  void run_until(base::duration end, double demand) {
    for (; m_now < start + end; m_now += step) {
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        advance(i, demand);
      }
      m_coordinator.tick(m_now);
    }
  }

  void lose_leader() { m_has_leader = false; }
  void elect_leader() {
    m_has_leader = true;
    m_coordinator = rate_coordinator({});
    m_coordinator.begin_term(m_now);
  }
  void restart(std::size_t index) {
    m_instances.at(index % m_instances.size()) = make_instance(m_random());
  }
  void cut_off(std::size_t index) { m_instances.at(index % m_instances.size()).is_cut_off = true; }

  /// The most requests of a window from instances that had been told. Instances that were restarted
  /// or cut off don't count.
  [[nodiscard]] std::size_t most_in_window() const {
    std::size_t most = 0;
    for (auto first = m_counted.begin(); first != m_counted.end(); ++first) {
      auto const last = std::upper_bound(first, m_counted.end(), *first + window);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
  [[nodiscard]] std::size_t counted() const { return m_counted.size(); }

private:
  struct instance {
    explicit instance(std::uint64_t seed) : limiter({.seed = seed}) {}

    endpoint_rate_limiter limiter;
    std::optional<base::monotonic_time> told_at;
    base::monotonic_time last_contact = start;
    base::monotonic_time last_report = start;
    bool is_excused = false;
    bool is_cut_off = false;
  };

  [[nodiscard]] instance make_instance(std::uint64_t seed) const {
    instance made(seed);
    made.last_contact = m_now;
    made.is_excused = m_now > start;
    return made;
  }

  void advance(std::size_t index, double demand) {
    auto& one = m_instances[index];
    auto const id = base::instance_id{std::to_string(index)};
    bool const is_in_contact = m_has_leader && !one.is_cut_off;
    if (is_in_contact && m_now >= one.last_report + report_interval) {
      one.last_report = m_now;
      one.last_contact = m_now;
      m_coordinator.report(id, one.limiter.notices(m_now), m_now);
      one.limiter.set_instances(static_cast<std::uint32_t>(m_instances.size()));
      one.limiter.apply(m_coordinator.grants_for(id, m_now), m_now);
    }
    if (m_has_leader && m_now >= one.last_contact + release_timeout) {
      m_coordinator.release(id);
    }
    one.limiter.sweep(m_now);
    bool const is_connected = m_now < one.last_contact + contact_timeout;
    bool const may_send = one.limiter.next_send_at(source, is_connected, m_now) <= m_now;
    if (may_send && std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < demand) {
      send(one);
    }
  }

  void send(instance& one) {
    one.limiter.note_sent(source, m_now);
    bool const counts = one.told_at && m_now >= *one.told_at + reaction_time;
    if (counts && !one.is_excused && !one.is_cut_off) {
      m_counted.push_back(m_now);
    }
    std::ignore = one.limiter.note_answer(source, m_rate, m_now, m_now);
    one.told_at = one.told_at.value_or(m_now);
  }

  double m_rate;
  base::random_generator m_random;
  base::monotonic_time m_now = start;
  rate_coordinator m_coordinator{{}};
  std::vector<instance> m_instances;
  bool m_has_leader = true;
  std::deque<base::monotonic_time> m_counted;
};

/// What may arrive in a window: one and a half times what the rate allows, and 5 more.
std::size_t max_in_window(double rate) {
  return static_cast<std::size_t>(1.5 * rate * 4.0 + 5.0);
}

} // namespace

// Guards against instances that obey a named rate each for itself, so that the endpoint gets many
// times as much (LIMIT).
RC_GTEST_PROP(endpoint_rates, keep_to_the_rate_in_every_window, ()) {
  auto const instances = *rc::gen::inRange<std::size_t>(1, 90);
  auto const rate = *rc::gen::inRange(1, 80) / 10.0;
  auto const demand = *rc::gen::inRange(1, 100) / 100.0;
  rate_simulation simulation(instances, rate, *rc::gen::arbitrary<std::uint64_t>());
  simulation.run_until(20s, demand);
  RC_ASSERT(simulation.most_in_window() <= max_in_window(rate));
  // The endpoint is used, too: at least a third of its rate while there is enough to send.
  auto const used = static_cast<double>(simulation.counted()) / 20.0;
  RC_ASSERT(used >= std::min(rate / 3.0, 0.3) || demand < 0.1);
}

RC_GTEST_PROP(endpoint_rates, keep_to_the_rate_while_leaders_and_instances_come_and_go, ()) {
  auto const instances = *rc::gen::inRange<std::size_t>(3, 90);
  auto const rate = *rc::gen::inRange(5, 80) / 10.0;
  rate_simulation simulation(instances, rate, *rc::gen::arbitrary<std::uint64_t>());
  auto time = std::chrono::milliseconds(3000);
  for (int i = 0; i < 6; ++i) {
    simulation.run_until(time, 0.5);
    simulation.lose_leader();
    simulation.restart(*rc::gen::inRange<std::size_t>(0, 90));
    simulation.cut_off(*rc::gen::inRange<std::size_t>(0, 90));
    time += std::chrono::milliseconds(*rc::gen::inRange(200, 5000));
    simulation.run_until(time, 0.5);
    simulation.elect_leader();
    time += std::chrono::milliseconds(*rc::gen::inRange(200, 5000));
  }
  simulation.run_until(time, 0.5);
  RC_ASSERT(simulation.most_in_window() <= max_in_window(rate));
}

} // namespace catkinlanding::proxy
