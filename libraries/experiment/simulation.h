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

/// A routing policy and the features used with it. A run is repeated with each strategy so that
/// they can be compared.
struct strategy {
  std::string name;
  std::function<std::unique_ptr<routing::policy>(std::uint64_t seed,
                                                 std::vector<base::instance_id> const& peers)>
      make_policy;
  /// Whether the entry instances queue requests and refuse those that would miss their deadline.
  bool has_admission = false;
  /// Whether ratings are withheld from the policy during the measurement.
  bool is_learning_frozen = false;
  /// Whether a request is sent again, to the most expensive version, if its answer is evaluated as
  /// poor.
  bool has_cascade = false;
};

[[nodiscard]] std::vector<strategy> all_strategies();

/// A discrete-event simulation of one scenario with one strategy. The same seed gives the same run.
class simulation {
public:
  simulation(scenario const& scenario, strategy const& strategy, std::uint64_t seed);

  [[nodiscard]] result run();

private:
  struct event {
    base::monotonic_time at{};
    /// Keeps events with the same time in the order in which they were scheduled.
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator>(event const& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  /// An entry instance, made of the production components.
  struct entry {
    entry(std::size_t number, std::unique_ptr<routing::policy> policy, bool has_admission);

    endpoints::directory directory;
    std::unique_ptr<routing::policy> policy;
    std::optional<limits::admission> admission;
    requests::table table;
  };

  struct engine_state {
    engine model;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    /// Incremented whenever the next wake-up is rescheduled, so that outdated ones are ignored.
    std::uint64_t generation = 0;
    bool is_up = true;
  };

  /// What a caller wants answered. It may be sent several times, each time as a new caller request.
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
    /// Whether it arrived within the disturbance window.
    bool arrived_in_window = false;
    /// The current job at an engine; zero if there is none.
    std::uint64_t job = 0;
    std::size_t entry = 0;
    std::size_t engine = 0;
    requests::attempt_number attempt = 0;
    base::version_id version;
    base::monotonic_time sent{};
    /// The version whose answer was evaluated last.
    base::version_id evaluated_version;
    /// Quality of the evaluated answer; empty until one was evaluated.
    std::optional<bool> is_good;
    bool is_empty_answer = false;
  };

  void schedule(base::monotonic_time time, std::function<void()> action);
  void schedule_arrival(std::size_t customer, std::string const& request_class);
  void arrive(std::size_t customer, std::string const& request_class);
  void send(std::uint64_t logical_request);
  void evaluate_answer(std::size_t entry, requests::evaluate_answer const& evaluation);
  /// Draws at random whether an answer of the version is good.
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
  /// Records the answer that the caller received, or escalates the request. Returns whether the
  /// answer is good.
  bool finish_request(std::uint64_t logical_request, base::version_id const& version);
  /// Counts the failure and sends the request again if its deadline and the send limit permit it.
  void handle_failure(std::uint64_t logical_request, requests::failure const& failure);
  void schedule_engine(std::size_t engine);
  void run_engine(std::size_t engine, std::uint64_t generation);
  void handle_progress(std::size_t engine, std::vector<job_progress> const& changes);
  [[nodiscard]] requests::environment environment_of(entry& entry) const;
  /// Passes the rating of a delivered answer to the policy, after the delay of a rating service.
  void submit_rating(std::size_t entry, routing::rating rating, bool is_good);
  /// Whether the scenario has degraded the version at that time.
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
  /// The logical request of each job that is sent to or running at an engine.
  std::map<std::uint64_t, std::uint64_t> m_jobs;
  std::uint64_t m_last_logical_request = 0;
  std::uint64_t m_last_job = 0;
  /// Work in engine seconds per customer, for requests that arrived within the disturbance window:
  /// the work requested, and the work completed before the deadline.
  std::vector<double> m_work_offered;
  std::vector<double> m_work_done;
  result m_result;
};

} // namespace catkinlanding::experiment
