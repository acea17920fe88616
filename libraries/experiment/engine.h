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

/// A seeded model of engines and callers that drives the real parts of the reducer.
namespace catkinlanding::experiment {

/// One request as an engine sees it.
struct job {
  /// Unique in the run.
  std::uint64_t id = 0;
  std::uint32_t priority = 0;
  std::string session;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  /// Decode steps are this many times slower than those of the fastest version.
  double slowdown = 1.0;
};

/// What has happened to a job.
struct job_progress {
  std::uint64_t job = 0;
  bool is_finished = false;
};

/// An engine that batches continuously: each token takes longer the more jobs run, and the prefill
/// of a cached prefix is short.
class engine {
public:
  struct options {
    std::uint32_t slots = 16;
    base::duration step_time = std::chrono::milliseconds(10);
    base::duration step_time_per_job = std::chrono::microseconds(500);
    /// Prompt tokens that are read in the time of one decode step.
    double prefill_tokens_per_step = 60.0;
    std::size_t max_cached_sessions = 64;
    /// Share of a prompt that the prefix of its session makes up.
    double prefix_share = 0.8;
  };

  explicit engine(options options) : m_options(options) {}

  void add(job job, base::monotonic_time now);
  void remove(std::uint64_t job, base::monotonic_time now);
  /// Drops all work, as a crash does; returns the jobs that were lost.
  [[nodiscard]] std::vector<std::uint64_t> crash(base::monotonic_time now);

  /// Moves the model to `now`; reports first tokens and ends.
  [[nodiscard]] std::vector<job_progress> advance(base::monotonic_time now);

  /// When the next first token or end is due, if any job runs.
  [[nodiscard]] std::optional<base::monotonic_time> next_progress_time() const;

  [[nodiscard]] endpoints::load_report load() const;
  [[nodiscard]] options const& settings() const { return m_options; }

private:
  struct running_job {
    experiment::job job;
    /// Decode steps that are left, the prefill included.
    double steps_left = 0.0;
    bool has_first_token = false;
  };

  [[nodiscard]] double seconds_per_step(running_job const& running) const;
  [[nodiscard]] bool use_cached_prefix(std::string const& session);
  void start_waiting_jobs();

  options m_options;
  base::monotonic_time m_last_update{};
  std::vector<running_job> m_running;
  std::map<std::pair<std::uint32_t, std::uint64_t>, job> m_waiting;
  std::uint64_t m_arrivals = 0;
  std::deque<std::string> m_cache;
};

} // namespace catkinlanding::experiment
