#pragma once

#include <libraries/base/random.h>
#include <libraries/experiment/engine.h>
#include <libraries/experiment/result.h>
#include <libraries/experiment/scenario.h>
#include <libraries/requests/table.h>

#include <functional>
#include <memory>
#include <queue>

namespace catkinlanding::experiment {

/// The part of a run that is compared: how decisions are made.
struct strategy {
  std::string name;
  std::function<std::unique_ptr<routing::policy>(std::uint64_t seed,
                                                 std::vector<base::instance_id> const& peers)>
      make_policy;
  /// Whether requests wait at the entry instance and are refused when they would be late.
  bool has_admission = false;
  /// Whether nothing is learned while the run is measured.
  bool is_learning_frozen = false;
  /// Whether a poor answer is asked for again from the dearest version.
  bool has_cascade = false;
};

[[nodiscard]] std::vector<strategy> all_strategies();

/// One run of one scenario with one strategy, from one seed.
class simulation {
public:
  simulation(scenario const& scenario, strategy const& strategy, std::uint64_t seed);

  [[nodiscard]] result run();

private:
  struct event {
    base::monotonic_time at{};
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator>(event const& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  /// One entry instance.
  struct entry {
    entry(std::size_t number, std::unique_ptr<routing::policy> policy, bool has_admission,
          std::uint64_t seed);

    endpoints::directory directory;
    std::unique_ptr<routing::policy> policy;
    std::optional<limits::admission> admission;
    requests::table table;
  };

  struct engine_state {
    engine model;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0;
    bool is_up = true;
  };

  /// A need of a caller, over all the times that it asks.
  struct logical_request {
    std::size_t customer = 0;
    std::string request_class;
    std::string session;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    base::monotonic_time arrival_time{};
    base::monotonic_time deadline{};
    int send_count = 0;
    bool is_escalated = false;
    /// Whether it was first asked in the window of the rush.
    bool arrived_in_window = false;
    /// The running job; zero where none runs.
    std::uint64_t job = 0;
    std::size_t entry = 0;
    std::size_t engine = 0;
    requests::attempt_number attempt = 0;
    base::version_id version;
    base::monotonic_time sent{};
    /// The version whose answer was judged.
    base::version_id evaluated_version;
    /// Whether the answer at hand is good, once it was drawn.
    std::optional<bool> is_good;
    bool is_empty_answer = false;
  };

  void schedule(base::monotonic_time time, std::function<void()> action);
  void schedule_arrival(std::size_t customer, std::string const& request_class);
  void arrive(std::size_t customer, std::string const& request_class);
  void send(std::uint64_t logical_request);
  void evaluate_answer(std::size_t entry, requests::evaluate_answer const& evaluation);
  /// Draws whether the answer that the need now has is good.
  [[nodiscard]] bool draw_quality(logical_request const& logical_request,
                                  base::version_id const& version);
  void tick_entry(std::size_t entry);
  void report_load(std::size_t engine);
  void crash(std::size_t engine);
  void reduce(std::size_t entry, requests::event const& event);
  void apply_effects(std::size_t entry, requests::effects const& effects);
  void record_charge(std::size_t entry, billing::bill const& bill);
  void start_attempt(std::size_t entry, requests::dispatch const& dispatch);
  void cancel(std::size_t entry, requests::attempt_number attempt);
  /// The caller has its answer. Returns whether that is good.
  bool finish_request(std::uint64_t logical_request, base::version_id const& version);
  void handle_failure(std::uint64_t logical_request, requests::failure const& failure);
  void schedule_engine(std::size_t engine);
  void run_engine(std::size_t engine, std::uint64_t generation);
  void handle_progress(std::size_t engine, std::vector<job_progress> const& changes);
  [[nodiscard]] requests::environment environment_of(entry& entry) const;
  /// The rating service says of an answer that was given whether it is good.
  void submit_rating(std::size_t entry, routing::rating rating, bool is_good);
  [[nodiscard]] bool is_degraded(base::version_id const& version, base::monotonic_time when) const;
  [[nodiscard]] double arrival_rate(std::size_t customer, std::string const& request_class) const;
  [[nodiscard]] bool is_window_active() const;
  [[nodiscard]] double uniform();
  void compute_unfairness();
  void start_measuring();

  scenario m_scenario;
  strategy m_strategy;
  base::random_generator m_random;
  catalogue::document m_document;
  std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
  std::uint64_t m_order = 0;
  base::monotonic_time m_now{};
  base::monotonic_time m_measurement_start{};
  bool m_is_measuring = false;
  std::vector<std::unique_ptr<entry>> m_entries;
  std::vector<engine_state> m_engines;
  std::map<std::uint64_t, logical_request> m_logical_requests;
  std::map<std::uint64_t, std::uint64_t> m_jobs;
  std::uint64_t m_last_logical_request = 0;
  std::uint64_t m_last_job = 0;
  /// Engine seconds that each customer asked for and got in time, in the window of the rush.
  std::vector<double> m_work_offered;
  std::vector<double> m_work_done;
  result m_result;
};

} // namespace catkinlanding::experiment
