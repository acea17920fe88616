#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/endpoints/announcement.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// A deterministic, seeded simulation of inference engines and callers. It drives the production
/// code for routing, admission and request handling.
namespace catkinlanding::experiment {

/// One inference request that is queued or running at an engine.
struct job {
  /// Unique within a simulation run.
  std::uint64_t id = 0;
  std::uint32_t priority = 0;
  std::string session;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  /// Duration of a decode step, as a multiple of that of the fastest version.
  double slowdown = 1.0;
};

/// Reports that a job produced its first token or, if `is_finished`, its last one.
struct job_progress {
  std::uint64_t job = 0;
  bool is_finished = false;
};

/// Models an inference engine with continuous batching: the time per token grows with the number of
/// running jobs, and a cached session prefix shortens the prefill.
class engine {
public:
  struct options {
    std::uint32_t slots = 16;
    base::duration step_time = std::chrono::milliseconds(10);
    base::duration step_time_per_job = std::chrono::microseconds(500);
    /// Prompt tokens that the prefill processes in the time of one decode step.
    double prefill_tokens_per_step = 60.0;
    std::size_t max_cached_sessions = 64;
    /// Fraction of a prompt that a cached session prefix covers.
    double prefix_share = 0.8;
  };

  explicit engine(options options) : m_options(options) {}

  void add(job job, base::monotonic_time now);
  void remove(std::uint64_t job, base::monotonic_time now);
  /// Drops all jobs and the prefix cache; returns the ids of the dropped jobs.
  [[nodiscard]] std::vector<std::uint64_t> crash(base::monotonic_time now);

  /// Advances the simulation to `now` and returns the first tokens and completions reached by then.
  [[nodiscard]] std::vector<job_progress> advance(base::monotonic_time now);

  /// The time of the next first token or completion, or nothing if no job is running.
  [[nodiscard]] std::optional<base::monotonic_time> next_progress_time() const;

  [[nodiscard]] endpoints::load_report load() const;
  [[nodiscard]] options const& settings() const { return m_options; }

private:
  struct running_job {
    experiment::job job;
    /// Remaining work in decode steps, including the prefill.
    double steps_left = 0.0;
    bool has_first_token = false;
  };

  [[nodiscard]] double seconds_per_step(running_job const& running) const;
  /// Returns whether the prefix of the session was cached, and makes it the most recently used one.
  [[nodiscard]] bool use_cached_prefix(std::string const& session);
  /// Moves waiting jobs into free slots, by priority and then in order of arrival.
  void start_waiting_jobs();

  options m_options;
  base::monotonic_time m_last_update{};
  std::vector<running_job> m_running;
  /// Keyed by priority and arrival number.
  std::map<std::pair<std::uint32_t, std::uint64_t>, job> m_waiting;
  std::uint64_t m_arrivals = 0;
  /// Sessions whose prefix is cached, most recently used first.
  std::deque<std::string> m_cache;
};

} // namespace catkinlanding::experiment
