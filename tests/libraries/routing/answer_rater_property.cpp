#include <libraries/base/random.h>
#include <libraries/routing/answer_rater.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace catkinlanding::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t rater_count = 3;
constexpr std::size_t max_pending = 16;
constexpr base::duration judgement_timeout = seconds(1);
constexpr base::duration max_step = milliseconds(50);
constexpr int steps = 2000;

/// An answer_rater under random load, with rating services that appear, disappear, hang and reply
/// twice.
class run {
public:
  explicit run(std::uint64_t seed) : m_random(seed) {}

  void step() {
    m_now += milliseconds(1 + m_random() % 50);
    endpoints::effects ignored;
    m_directory.tick(m_now, ignored);
    announce();
    rater_effects effects;
    m_rater.tick(m_now, effects);
    request(effects);
    answer(effects);
    apply(effects);
    for (auto const& [request, since] : m_held) {
      RC_ASSERT(m_now - since <= judgement_timeout + max_step);
    }
    RC_ASSERT(m_rater.pending() <= max_pending);
  }

  [[nodiscard]] std::uint64_t judged_count() const { return m_judged_count; }

private:
  void announce() {
    auto const number = m_random() % rater_count;
    m_is_silent[number] = m_random() % 50 == 0 ? !m_is_silent[number] : m_is_silent[number];
    if (m_is_silent[number]) {
      return;
    }
    endpoints::effects ignored;
    m_directory.announce(
        {.endpoint = {"rater-" + std::to_string(number)},
         .incarnation = 1,
         .sequence = ++m_sequence,
         .address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(number + 1)},
         .kind = endpoints::endpoint_kind::rating},
        m_now, ignored);
  }

  void request(rater_effects& effects) {
    if (m_random() % 2 == 0) {
      m_rater.request_rating({.model = {"hat"}, .version = {"1"}}, {}, m_directory, m_now, effects);
    }
    if (m_random() % 2 == 0) {
      m_held.emplace(++m_last_request, m_now);
      m_rater.request_judgement(m_last_request, {}, m_directory, m_now, effects);
    }
  }

  void answer(rater_effects& effects) {
    if (m_orders.empty() || m_random() % 3 == 0) {
      return;
    }
    auto const index = m_random() % m_orders.size();
    auto const number = m_orders[index];
    if (m_random() % 4 != 0) {
      m_orders.erase(m_orders.begin() + static_cast<std::ptrdiff_t>(index));
    }
    m_rater.receive({.number = number, .judgement = static_cast<judgement>(m_random() % 3)}, m_now,
                    effects);
  }

  void apply(rater_effects const& effects) {
    for (auto const& order : effects.rating_requests) {
      m_orders.push_back(order.number);
    }
    for (auto const& judged : effects.judgements) {
      // No held answer is judged twice.
      RC_ASSERT(m_held.erase(judged.request) == 1U);
      m_judged_count += judged.judgement == judgement::unknown ? 0 : 1;
    }
    for (auto const& rating : effects.ratings) {
      RC_ASSERT(rating.good + rating.poor == 1U);
    }
  }

  base::random_generator m_random;
  base::monotonic_time m_now{seconds(1)};
  endpoints::directory m_directory{{.started_at = m_now}};
  answer_rater m_rater{{.judgement_timeout = judgement_timeout, .max_pending = max_pending}};
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_request = 0;
  std::map<std::uint64_t, base::monotonic_time> m_held;
  std::vector<std::uint64_t> m_orders;
  std::map<std::size_t, bool> m_is_silent;
  std::uint64_t m_judged_count = 0;
};

} // namespace

RC_GTEST_PROP(answer_rater, judges_every_held_answer_once_and_in_time, (std::uint64_t seed)) {
  run run(seed);
  for (int i = 0; i < steps; ++i) {
    run.step();
  }
  RC_ASSERT(run.judged_count() > 0U);
}

} // namespace catkinlanding::routing
