#include <libraries/limits/admission.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::limits {

namespace {

constexpr double learning_rate = 0.05;
/// What a request counts for before the first of its class has ended, in seconds of a slot.
constexpr double default_cost = 1.0;
constexpr double min_rate = 1.0;
constexpr std::chrono::duration<double> rate_smoothing_time{15.0};
/// Shorter waits are not used to correct the estimate, which they tell nothing about.
constexpr double min_wait = 0.1;
/// The most by which observed waits correct the estimate, in either direction.
constexpr double max_correction = 5.0;
constexpr std::size_t max_classes = 256;

double seconds(base::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

base::duration from_seconds(double value) {
  return std::chrono::ceil<base::duration>(std::chrono::duration<double>(value));
}

} // namespace

std::optional<admission::refusal> admission::refuse(work const& work, base::monotonic_time now) {
  bool const has_place = m_queue.size() < m_options.max_waiting;
  if (has_place && fits(work, expected_wait(work, 0.0, now), now)) {
    return std::nullopt;
  }
  return refusal{.retry_after = time_until_room(work, now)};
}

bool admission::fits(work const& work, base::duration wait, base::monotonic_time now) const {
  return now + wait + from_seconds(expected_cost(work)) <= work.due;
}

void admission::wait(work const& work, base::monotonic_time now) {
  auto const [entry, is_new] = m_admitted.try_emplace(work.number);
  if (is_new) {
    ++record_of(work.request_class).in_progress;
  }
  entry->second = {.request_class = work.request_class,
                   .since = now,
                   .expected_wait = modelled_wait(work, 0.0, now)};
  m_queue.push(item_of(work));
}

std::optional<std::uint64_t> admission::next(std::set<base::model_id> const& full_models) {
  auto const item = m_queue.pop(full_models);
  return item ? std::optional(item->number) : std::nullopt;
}

void admission::leave(std::uint64_t number) {
  m_queue.remove(number);
  auto const found = m_admitted.find(number);
  if (found != m_admitted.end()) {
    --record_of(found->second.request_class).in_progress;
    m_admitted.erase(found);
  }
}

void admission::restore(work const& work) {
  m_queue.restore(item_of(work));
}

void admission::started(work const& work, base::monotonic_time now) {
  double const age = seconds(now - m_rate_at) / rate_smoothing_time.count();
  m_rate =
      m_rate * std::exp(-age) + accounted_cost(work.request_class) / rate_smoothing_time.count();
  m_rate_at = now;
  auto const found = m_admitted.find(work.number);
  if (found == m_admitted.end() || !found->second.expected_wait) {
    return;
  }
  auto& admitted = found->second;
  if (*admitted.expected_wait > min_wait) {
    auto& record = record_of(admitted.request_class);
    record.expected_wait += learning_rate * (*admitted.expected_wait - record.expected_wait);
    record.actual_wait += learning_rate * (seconds(now - admitted.since) - record.actual_wait);
  }
  admitted.expected_wait.reset();
}

void admission::finished(base::class_id const& request_class, base::duration took) {
  auto& cost = record_of(request_class).cost;
  cost = cost ? *cost + learning_rate * (seconds(took) - *cost) : seconds(took);
  m_has_evidence = true;
}

std::optional<base::duration> admission::time_until_room(work const& work,
                                                         base::monotonic_time now) {
  auto const cost = expected_cost(work);
  auto const left = work.due - now;
  if (from_seconds(cost) > left) {
    return std::nullopt;
  }
  bool const has_place = m_queue.size() < m_options.max_waiting;
  auto const until_place =
      has_place ? base::duration::zero()
                : from_seconds(accounted_cost(work.request_class) / expected_rate(now));
  double work_before = 0.0;
  auto const until_room = [&] {
    auto const wait = expected_wait(work, work_before, now);
    return std::max<base::duration>(until_place, wait + from_seconds(cost) - left);
  };
  auto time = until_room();
  returning_group const group{work.customer, work.priority};
  for (auto const& [at, returning_work] : m_returns.of(group, now)) {
    if (at > now + time) {
      break;
    }
    work_before += returning_work;
    time = until_room();
  }
  m_returns.add(group, now + time, accounted_cost(work.request_class), now);
  return time;
}

double admission::expected_cost(work const& work) const {
  auto const found = m_classes.find(work.request_class);
  if (found == m_classes.end()) {
    return 0.0;
  }
  auto const& record = found->second;
  std::size_t const own = m_admitted.contains(work.number) ? 1 : 0;
  return record.in_progress > own ? record.cost.value_or(0.0) : 0.0;
}

double admission::accounted_cost(base::class_id const& request_class) const {
  auto const found = m_classes.find(request_class);
  return found == m_classes.end() ? default_cost : found->second.cost.value_or(default_cost);
}

double admission::expected_rate(base::monotonic_time now) const {
  double const age = seconds(now - m_rate_at) / rate_smoothing_time.count();
  return std::max(min_rate, m_rate * std::exp(-age));
}

double admission::modelled_wait(work const& work, double further_work,
                                base::monotonic_time now) const {
  // Before the first request has ended there is no basis for refusing one.
  if (m_queue.size() == 0 || !m_has_evidence) {
    return 0.0;
  }
  auto const ahead =
      m_queue.work_ahead(work.customer, work.priority, work.arrived_at, further_work);
  return ahead / expected_rate(now);
}

base::duration admission::expected_wait(work const& work, double further_work,
                                        base::monotonic_time now) const {
  double wait = modelled_wait(work, further_work, now);
  if (auto const it = m_classes.find(work.request_class); it != m_classes.end()) {
    double const error = it->second.actual_wait / std::max(min_wait, it->second.expected_wait);
    wait *= std::clamp(error, 1.0 / max_correction, max_correction);
  }
  return from_seconds(wait);
}

fair_queue::item admission::item_of(work const& work) const {
  return {.number = work.number,
          .customer = work.customer,
          .model = work.model,
          .priority = work.priority,
          .arrived_at = work.arrived_at,
          .cost = accounted_cost(work.request_class)};
}

admission::class_record& admission::record_of(base::class_id const& request_class) {
  if (m_classes.size() >= max_classes && !m_classes.contains(request_class)) {
    std::erase_if(m_classes, [](auto const& item) { return item.second.in_progress == 0; });
  }
  return m_classes[request_class];
}

} // namespace catkinlanding::limits
