#include <libraries/experiment/engine.h>

#include <algorithm>

namespace catkinlanding::experiment {

namespace {

constexpr double rounding_slack = 1e-6;

double seconds(base::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

} // namespace

void engine::add(job job, base::monotonic_time now) {
  m_last_update = std::max(m_last_update, now);
  m_waiting.emplace(std::pair(job.priority, ++m_arrivals), std::move(job));
  start_waiting_jobs();
}

void engine::remove(std::uint64_t job, base::monotonic_time now) {
  m_last_update = std::max(m_last_update, now);
  std::erase_if(m_running, [&](running_job const& r) { return r.job.id == job; });
  std::erase_if(m_waiting, [&](auto const& item) { return item.second.id == job; });
  start_waiting_jobs();
}

std::vector<std::uint64_t> engine::crash(base::monotonic_time now) {
  m_last_update = std::max(m_last_update, now);
  std::vector<std::uint64_t> lost;
  for (auto const& running : m_running) {
    lost.push_back(running.job.id);
  }
  for (auto const& [order, waiting] : m_waiting) {
    lost.push_back(waiting.id);
  }
  m_running.clear();
  m_waiting.clear();
  m_cache.clear();
  return lost;
}

std::vector<job_progress> engine::advance(base::monotonic_time now) {
  std::vector<job_progress> changes;
  double const elapsed = seconds(now - m_last_update);
  std::vector<double> steps;
  steps.reserve(m_running.size());
  for (auto const& running : m_running) {
    steps.push_back(elapsed / seconds_per_step(running));
  }
  for (std::size_t i = 0; i < m_running.size(); ++i) {
    auto& running = m_running[i];
    running.steps_left -= steps[i];
    if (!running.has_first_token &&
        running.steps_left <= running.job.completion_tokens + rounding_slack) {
      running.has_first_token = true;
      changes.push_back({.job = running.job.id, .is_finished = false});
    }
    if (running.steps_left <= rounding_slack) {
      changes.push_back({.job = running.job.id, .is_finished = true});
    }
  }
  std::erase_if(m_running, [](running_job const& r) { return r.steps_left <= rounding_slack; });
  m_last_update = std::max(m_last_update, now);
  start_waiting_jobs();
  return changes;
}

std::optional<base::monotonic_time> engine::next_progress_time() const {
  std::optional<base::monotonic_time> next;
  for (auto const& running : m_running) {
    double const target = running.has_first_token ? 0.0 : running.job.completion_tokens;
    auto const wait =
        std::chrono::duration<double>((running.steps_left - target) * seconds_per_step(running));
    auto const time = m_last_update + std::chrono::ceil<base::duration>(wait);
    next = std::min(next.value_or(time), time);
  }
  return next;
}

endpoints::load_report engine::load() const {
  return {.running = static_cast<std::uint32_t>(m_running.size()),
          .waiting = static_cast<std::uint32_t>(m_waiting.size()),
          .cache_permille = 0};
}

double engine::seconds_per_step(running_job const& running) const {
  auto const jobs = static_cast<double>(m_running.size());
  return (seconds(m_options.step_time) + jobs * seconds(m_options.step_time_per_job)) *
         running.job.slowdown;
}

bool engine::use_cached_prefix(std::string const& session) {
  auto const it = std::ranges::find(m_cache, session);
  bool const is_cached = it != m_cache.end();
  if (is_cached) {
    m_cache.erase(it);
  }
  m_cache.push_front(session);
  if (m_cache.size() > m_options.max_cached_sessions) {
    m_cache.pop_back();
  }
  return is_cached;
}

void engine::start_waiting_jobs() {
  while (m_running.size() < m_options.slots && !m_waiting.empty()) {
    auto const it = m_waiting.begin();
    auto next = std::move(it->second);
    m_waiting.erase(it);
    double const cached = use_cached_prefix(next.session) ? m_options.prefix_share : 0.0;
    double const prefill = next.prompt_tokens * (1.0 - cached) / m_options.prefill_tokens_per_step;
    m_running.push_back({.job = std::move(next), .steps_left = 0.0});
    m_running.back().steps_left = prefill + m_running.back().job.completion_tokens;
  }
}

} // namespace catkinlanding::experiment
