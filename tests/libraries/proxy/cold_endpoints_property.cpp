#include <libraries/proxy/endpoint_rate_limiter.h>
#include <libraries/proxy/grant_lease.h>
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
constexpr std::chrono::milliseconds report_interval{400};
constexpr std::chrono::milliseconds contact_timeout{1800};
constexpr std::chrono::milliseconds live_timeout{1000};
constexpr std::chrono::seconds window{1};
endpoint_incarnation const source{{"endpoint"}, 1};

/// What goes wrong in a run.
struct faults {
  double loss = 0.0;
  base::duration max_delay{};
  base::duration max_freeze{};
  base::duration max_cut_off{};
};

/// An endpoint that is cold all the time, entry instances that send to it whenever they may, and
/// the leader that divides its rate.
class cold_endpoint_simulation {
public:
  cold_endpoint_simulation(std::size_t instances, double rate, faults faults, std::uint64_t seed)
      : m_rate(rate), m_faults(faults), m_random(seed) {
    for (std::size_t i = 0; i < instances; ++i) {
      m_instances.push_back(make_instance());
    }
    elect_leader();
  }

  void run_until(base::duration end) {
    for (; m_now < start + end; m_now += step) {
      use_live_instances();
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        advance(i);
      }
      m_coordinator.tick(m_now);
    }
  }

  void lose_leader() { m_has_leader = false; }
  void elect_leader() {
    m_has_leader = true;
    m_coordinator = rate_coordinator({});
    m_coordinator.begin_term(m_now);
    m_coordinator.cold().use_rates({{{"s"}, m_rate}});
    m_coordinator.cold().await_announcement(source.endpoint, source.incarnation, {"s"});
    m_heard_at.clear();
  }
  void restart(std::size_t index) { at(index) = make_instance(); }
  void freeze(std::size_t index) { at(index).frozen_until = m_now + draw(m_faults.max_freeze); }
  void cut_off(std::size_t index) { at(index).cut_off_until = m_now + draw(m_faults.max_cut_off); }

  [[nodiscard]] std::size_t most_in_window() const {
    std::size_t most = 0;
    for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
      auto const last = std::lower_bound(first, m_sent.end(), *first + window);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
  [[nodiscard]] std::size_t sent() const { return m_sent.size(); }

private:
  struct update {
    base::monotonic_time arrives_at{};
    std::optional<base::monotonic_time> requested_at;
    std::vector<rate_grant> grants;
  };

  struct instance {
    explicit instance(std::uint64_t seed) : limiter({.seed = seed}) {}

    endpoint_rate_limiter limiter;
    grant_lease lease{contact_timeout};
    bool knows_endpoint = false;
    base::monotonic_time updated_at{};
    base::monotonic_time reported_at{};
    base::monotonic_time frozen_until{};
    base::monotonic_time cut_off_until{};
    std::deque<update> updates;
  };

  [[nodiscard]] instance make_instance() {
    instance made(m_random());
    // They start at different times within one interval.
    made.reported_at = m_now - draw(report_interval);
    return made;
  }
  [[nodiscard]] instance& at(std::size_t index) { return m_instances[index % m_instances.size()]; }
  [[nodiscard]] base::duration draw(base::duration max) {
    return base::duration(std::uniform_int_distribution<std::int64_t>(0, max.count())(m_random));
  }
  [[nodiscard]] bool is_lost() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < m_faults.loss;
  }

  void use_live_instances() {
    std::vector<base::instance_id> live;
    for (auto const& [id, heard_at] : m_heard_at) {
      if (m_now < heard_at + live_timeout) {
        live.push_back(id);
      }
    }
    m_coordinator.use_instances(std::move(live));
  }

  void advance(std::size_t index) {
    auto& one = m_instances[index];
    if (m_now < one.frozen_until) {
      return;
    }
    if (m_now >= one.reported_at + report_interval) {
      one.reported_at = m_now;
      report({std::to_string(index)}, one);
    }
    // One message a step, so that an instance can act between two that waited for it.
    if (!one.updates.empty() && one.updates.front().arrives_at <= m_now) {
      take(one);
    }
    bool const is_connected =
        m_now < one.updated_at + contact_timeout && one.lease.is_current(m_now);
    if (one.knows_endpoint && one.limiter.next_send_at(source, is_connected, m_now) <= m_now) {
      one.limiter.note_sent(source, m_now);
      m_sent.push_back(m_now);
    }
  }

  /// The subscription and its answer; both are late, and either may be lost.
  void report(base::instance_id const& id, instance& one) {
    bool const arrives = m_has_leader && m_now >= one.cut_off_until && !is_lost();
    if (!arrives) {
      return;
    }
    m_heard_at[id] = m_now;
    auto grants = m_coordinator.grants_for(id, m_now);
    if (is_lost()) {
      return;
    }
    auto const earliest = one.updates.empty() ? m_now : one.updates.back().arrives_at;
    one.updates.push_back({.arrives_at = std::max(earliest, m_now + draw(m_faults.max_delay)),
                           .requested_at = m_now,
                           .grants = std::move(grants)});
  }

  void take(instance& one) {
    auto const received = std::move(one.updates.front());
    one.updates.pop_front();
    one.updated_at = m_now;
    one.knows_endpoint = true;
    one.limiter.set_instances(static_cast<std::uint32_t>(m_instances.size()));
    if (one.lease.note_update(received.requested_at)) {
      one.limiter.apply(received.grants, m_now);
    }
  }

  double m_rate;
  faults m_faults;
  base::random_generator m_random;
  base::monotonic_time m_now = start + 1s;
  rate_coordinator m_coordinator{{}};
  bool m_has_leader = true;
  /// When the leader last heard each instance.
  std::map<base::instance_id, base::monotonic_time> m_heard_at;
  std::vector<instance> m_instances;
  std::deque<base::monotonic_time> m_sent;
};

std::size_t max_in_window(double rate) {
  return static_cast<std::size_t>(rate * 1.5 + 5.0);
}

double draw_rate() {
  return *rc::gen::inRange(1, 400) / 10.0;
}

std::size_t draw_instances() {
  return *rc::gen::element<std::size_t>(3, 9, 75, 300);
}

} // namespace

// Guards against an endpoint that crashes because many instances send to it while it is cold.
RC_GTEST_PROP(cold_endpoints, get_no_more_than_they_sustain_while_nothing_fails, ()) {
  auto const instances = draw_instances();
  auto const rate = draw_rate();
  cold_endpoint_simulation simulation(instances, rate, {.max_delay = 100ms},
                                      *rc::gen::arbitrary<std::uint64_t>());
  simulation.run_until(13s);
  RC_ASSERT(simulation.most_in_window() <= max_in_window(rate));
  // The endpoint is used, too: 10 s are left after the first grants.
  RC_ASSERT(static_cast<double>(simulation.sent()) >= 10.0 * rate * 0.6 - 4.0);
}

// Guards against shares that overlap while instances, messages and leaders are lost, late or back.
RC_GTEST_PROP(cold_endpoints, get_no_more_than_they_sustain_whatever_fails, ()) {
  auto const instances = draw_instances();
  auto const rate = draw_rate();
  faults const drawn{.loss = *rc::gen::inRange(0, 50) / 100.0,
                     .max_delay = std::chrono::milliseconds(*rc::gen::inRange(0, 1000)),
                     .max_freeze = std::chrono::milliseconds(*rc::gen::inRange(1, 10000)),
                     .max_cut_off = std::chrono::milliseconds(*rc::gen::inRange(1, 10000))};
  cold_endpoint_simulation simulation(instances, rate, drawn, *rc::gen::arbitrary<std::uint64_t>());
  auto time = std::chrono::milliseconds(1000);
  auto const draw_index = [] { return *rc::gen::inRange<std::size_t>(0, 300); };
  for (int i = 0; i < 8; ++i) {
    time += std::chrono::milliseconds(*rc::gen::inRange(100, 4000));
    simulation.run_until(time);
    simulation.restart(draw_index());
    simulation.freeze(draw_index());
    simulation.cut_off(draw_index());
    if (*rc::gen::inRange(0, 2) == 0) {
      simulation.lose_leader();
      time += std::chrono::milliseconds(*rc::gen::inRange(350, 4000));
      simulation.run_until(time);
      simulation.elect_leader();
    }
  }
  time += 2000ms;
  simulation.run_until(time);
  RC_ASSERT(simulation.most_in_window() <= max_in_window(rate));
}

} // namespace catkinlanding::proxy
