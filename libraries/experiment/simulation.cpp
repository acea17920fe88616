#include <libraries/base/overloaded.h>
#include <libraries/experiment/baselines.h>
#include <libraries/experiment/simulation.h>
#include <libraries/routing/chooser.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

namespace catkinlanding::experiment {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t entry_count = 9;
constexpr std::size_t engine_count = 12;
constexpr std::size_t customer_count = 10;
constexpr std::size_t sessions_per_customer = 40;
constexpr base::duration network_delay = milliseconds(1);
constexpr base::duration tick_interval = milliseconds(20);
constexpr double evaluator_accuracy = 0.9;
constexpr base::duration evaluator_latency = milliseconds(150);
constexpr int max_send_count = 4;
/// Factor on the load of the scenario during the warm-up.
constexpr double warm_up_load_factor = 0.5;
constexpr char const* model_name = "hatline";

/// Actual properties of a version. Except for the price and the prior, the policy has to learn
/// them.
struct simulated_version {
  char const* id;
  std::uint64_t price_per_thousand_tokens;
  double quality_prior;
  double interactive_quality;
  double report_quality;
  double slowdown;
  double error_share;
};

constexpr std::array<simulated_version, 3> simulated_versions{{
    {"small", 200, 0.85, 0.87, 0.72, 1.0, 0.002},
    {"medium", 600, 0.88, 0.93, 0.92, 1.8, 0.002},
    {"large", 1500, 0.95, 0.96, 0.96, 3.0, 0.002},
}};

/// Load and requirements of a request class. The token counts are means.
struct simulated_class {
  char const* id;
  double share;
  std::uint32_t priority;
  base::duration deadline;
  double quality_target;
  double prompt_tokens;
  double completion_tokens;
};

constexpr std::array<simulated_class, 2> simulated_classes{{
    {"interactive", 0.85, 0, seconds(10), 0.8, 600.0, 100.0},
    {"report", 0.15, 5, seconds(120), 0.9, 2500.0, 700.0},
}};

simulated_version const& find_version(base::version_id const& version) {
  return *std::ranges::find_if(simulated_versions,
                               [&](auto const& item) { return version.value == item.id; });
}

simulated_class const& find_class(std::string_view name) {
  return *std::ranges::find_if(simulated_classes,
                               [&](auto const& item) { return name == item.id; });
}

std::string customer_name(std::size_t customer) {
  return "customer-" + std::to_string(customer);
}

/// The fraction of the load that a customer sends: three large customers send 20% each, the others
/// share the rest equally.
double customer_load_share(std::size_t customer) {
  return customer < 3 ? 0.2 : 0.4 / static_cast<double>(customer_count - 3);
}

base::instance_id entry_id(std::size_t number) {
  return {std::to_string(number)};
}

catalogue::document make_document() {
  catalogue::change change{.id = {"first"}, .base_revision = 0, .author = "experiment"};
  catalogue::stewardship const owner{.owner = "experiment", .request_class = {"interactive"}};
  change.upserts.emplace_back(catalogue::model{.id = {model_name}, .stewardship = owner});
  for (auto const& item : simulated_versions) {
    change.upserts.emplace_back(
        catalogue::version{.model = {model_name},
                           .id = {item.id},
                           .stewardship = owner,
                           .price_per_thousand_tokens = item.price_per_thousand_tokens,
                           .quality_prior = item.quality_prior});
  }
  for (auto const& item : simulated_classes) {
    auto const deadline = std::chrono::duration_cast<milliseconds>(item.deadline);
    change.upserts.emplace_back(catalogue::request_class{.id = {item.id},
                                                         .stewardship = owner,
                                                         .priority = item.priority,
                                                         .deadline = deadline,
                                                         .quality_target = item.quality_target});
    change.upserts.emplace_back(
        catalogue::request_class{.id = {std::string(item.id) + "-escalated"},
                                 .stewardship = owner,
                                 .priority = item.priority,
                                 .deadline = deadline,
                                 .quality_target = escalated_quality_target});
  }
  for (std::size_t i = 0; i < customer_count; ++i) {
    change.upserts.emplace_back(
        catalogue::customer{.id = {customer_name(i)},
                            .stewardship = owner,
                            .key_hashes = {catalogue::key_hash(customer_name(i))},
                            .allowances = {{.model = {model_name}, .versions = {}}}});
  }
  catalogue::document document;
  document.apply(change);
  return document;
}

/// Engine seconds for an answer of the fastest version, on an engine with default options and
/// without other jobs.
double service_time(double prompt_tokens, double completion_tokens) {
  return (completion_tokens + prompt_tokens / 60.0) * 0.01;
}

} // namespace

std::vector<strategy> all_strategies() {
  using peers = std::vector<base::instance_id>;
  auto const make_product_policy = [](std::uint64_t seed, peers const& others, double threshold) {
    return std::make_unique<routing::chooser>(routing::chooser::options{
        .seed = seed,
        .zone_peers = others,
        .breaker = {.opening_threshold = threshold},
    });
  };
  constexpr double default_threshold = routing::breaker::options{}.opening_threshold;
  constexpr double unreachable_threshold = 1e18;
  return {
      {.name = "product",
       .make_policy =
           [=](std::uint64_t seed, peers const& others) {
             return make_product_policy(seed, others, default_threshold);
           },
       .has_admission = true},
      {.name = "no-breaker",
       .make_policy =
           [=](std::uint64_t seed, peers const& others) {
             return make_product_policy(seed, others, unreachable_threshold);
           },
       .has_admission = true},
      {.name = "no-reaction",
       .make_policy =
           [=](std::uint64_t seed, peers const& others) {
             return make_product_policy(seed, others, unreachable_threshold);
           },
       .has_admission = true,
       .is_learning_frozen = true},
      {.name = "random",
       .make_policy = [](std::uint64_t seed, peers const&) { return make_random_policy(seed); }},
      {.name = "round-robin",
       .make_policy = [](std::uint64_t, peers const&) { return make_round_robin_policy(); }},
      {.name = "dearest",
       .make_policy = [](std::uint64_t seed,
                         peers const&) { return make_least_outstanding_policy(seed); }},
      {.name = "cascade",
       .make_policy = [](std::uint64_t seed,
                         peers const&) { return make_static_cascade_policy(seed); },
       .has_cascade = true},
  };
}

simulation::entry::entry(std::size_t number, std::unique_ptr<routing::policy> routing_policy,
                         bool has_admission)
    : directory({.forwarding = {.self = entry_id(number)}}), policy(std::move(routing_policy)),
      table({.self = entry_id(number)}) {
  if (has_admission) {
    admission.emplace(limits::admission::options{});
  }
}

simulation::simulation(scenario const& scenario, strategy const& strategy, std::uint64_t seed)
    : m_scenario(scenario), m_strategy(strategy), m_random(seed), m_document(make_document()),
      m_work_offered(customer_count), m_work_done(customer_count) {
  m_now = base::monotonic_time(seconds(1000));
  for (std::size_t i = 0; i < entry_count; ++i) {
    std::vector<base::instance_id> peers;
    for (std::size_t j = 0; j < entry_count; ++j) {
      if (j != i) {
        peers.push_back(entry_id(j));
      }
    }
    auto const entry_seed = seed * entry_count + i;
    m_entries.push_back(std::make_unique<entry>(i, m_strategy.make_policy(entry_seed, peers),
                                                m_strategy.has_admission));
  }
  for (std::size_t i = 0; i < engine_count; ++i) {
    m_engines.push_back({.model = engine({})});
  }
}

result simulation::run() {
  auto const begin = m_now + m_scenario.warm_up;
  auto const end = begin + m_scenario.length;
  m_measurement_start = begin;
  schedule(begin, [this] { start_measuring(); });
  for (std::size_t i = 0; i < engine_count; ++i) {
    report_load(i);
  }
  for (std::size_t i = 0; i < entry_count; ++i) {
    schedule(m_now + tick_interval * i / entry_count, [this, i] { tick_entry(i); });
  }
  for (std::size_t i = 0; i < customer_count; ++i) {
    for (auto const& item : simulated_classes) {
      schedule_arrival(i, item.id);
    }
  }
  for (std::size_t i = 0; i < m_scenario.crashed_engines; ++i) {
    schedule(begin + m_scenario.window_start, [this, i] { crash(i); });
    schedule(begin + m_scenario.window_end, [this, i] {
      m_engines[i].is_up = true;
      ++m_engines[i].incarnation;
      m_engines[i].sequence = 0;
    });
  }
  while (!m_events.empty() && m_events.top().at < end) {
    auto next = m_events.top();
    m_events.pop();
    m_now = next.at;
    next.action();
  }
  m_result.goodput /=
      std::chrono::duration<double>(m_scenario.window_end - m_scenario.window_start).count();
  compute_unfairness();
  return m_result;
}

void simulation::schedule(base::monotonic_time time, std::function<void()> action) {
  m_events.push({.at = time, .order = ++m_order, .action = std::move(action)});
}

bool simulation::is_window_active() const {
  auto const since = m_now - m_measurement_start;
  return since >= m_scenario.window_start && since < m_scenario.window_end;
}

double simulation::uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

double simulation::arrival_rate(std::size_t customer, std::string const& request_class) const {
  double rate = (m_is_measuring ? 1.0 : warm_up_load_factor) * m_scenario.requests_per_second *
                customer_load_share(customer) * find_class(request_class).share;
  if (is_window_active()) {
    rate *= m_scenario.window_load_factor * (customer == 0 ? m_scenario.greedy_factor : 1.0);
  }
  return rate;
}

void simulation::schedule_arrival(std::size_t customer, std::string const& request_class) {
  // A Poisson process at the maximum rate, thinned to the current rate.
  double const highest = m_scenario.requests_per_second * customer_load_share(customer) *
                         find_class(request_class).share * m_scenario.window_load_factor *
                         (customer == 0 ? m_scenario.greedy_factor : 1.0);
  std::exponential_distribution<double> gap(highest);
  auto const wait =
      std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(gap(m_random)));
  schedule(m_now + wait, [this, customer, request_class, highest] {
    if (uniform() * highest < arrival_rate(customer, request_class)) {
      arrive(customer, request_class);
    }
    schedule_arrival(customer, request_class);
  });
}

void simulation::arrive(std::size_t customer, std::string const& request_class) {
  auto const& parameters = find_class(request_class);
  auto const length = [&](double mean) {
    return static_cast<std::uint32_t>(mean * (0.5 + uniform()));
  };
  auto const number = ++m_last_logical_request;
  auto& logical_request = m_logical_requests[number];
  logical_request.customer = customer;
  logical_request.request_class = request_class;
  logical_request.session =
      customer_name(customer) + "/" + std::to_string(m_random() % sessions_per_customer);
  logical_request.prompt_tokens = length(parameters.prompt_tokens);
  logical_request.completion_tokens = length(parameters.completion_tokens);
  logical_request.arrival_time = m_now;
  logical_request.deadline = m_now + parameters.deadline;
  ++m_result.classes[request_class].offered;
  logical_request.arrived_in_window = is_window_active();
  if (logical_request.arrived_in_window) {
    m_work_offered[customer] +=
        service_time(logical_request.prompt_tokens, logical_request.completion_tokens);
  }
  send(number);
}

void simulation::send(std::uint64_t number) {
  auto& logical_request = m_logical_requests.at(number);
  ++logical_request.send_count;
  logical_request.evaluated_version = {};
  logical_request.is_good.reset();
  logical_request.entry = m_random() % entry_count;
  requests::caller_request request{
      // Dividing by 8 gives the logical request back; the remainder counts how often it was sent.
      .number = number * 8 + static_cast<std::uint64_t>(logical_request.send_count),
      .customer_key = customer_name(logical_request.customer),
      .target = requests::completion_target{{model_name}},
      .is_stream = false,
      .content_type = "application/json",
      .body = std::make_shared<std::string const>(std::to_string(number)),
      .idempotency_key = {},
      .session = base::session_id{logical_request.session},
      .request_class = base::class_id{logical_request.request_class +
                                      (logical_request.is_escalated ? "-escalated" : "")},
      .deadline = logical_request.deadline - m_now,
  };
  reduce(logical_request.entry, request);
}

void simulation::reduce(std::size_t number, requests::event const& event) {
  auto& entry = *m_entries[number];
  requests::effects effects;
  entry.table.reduce(event, environment_of(entry), m_now, effects);
  apply_effects(number, effects);
}

requests::environment simulation::environment_of(entry& entry) const {
  return {.document = m_document,
          .has_lease = true,
          .directory = entry.directory,
          .chooser = *entry.policy,
          .admission = entry.admission ? &*entry.admission : nullptr,
          .has_rating_service = true};
}

void simulation::tick_entry(std::size_t number) {
  auto& entry = *m_entries[number];
  requests::effects effects;
  endpoints::effects forwarded;
  entry.directory.tick(m_now, forwarded);
  entry.table.tick(environment_of(entry), m_now, effects);
  apply_effects(number, effects);
  routing::effects evidence;
  entry.policy->tick(m_now, evidence);
  for (auto const& outgoing : evidence) {
    schedule(m_now + network_delay, [this, outgoing] {
      m_entries[std::stoul(outgoing.to.value)]->policy->receive(outgoing.message, m_now);
    });
  }
  schedule(m_now + tick_interval, [this, number] { tick_entry(number); });
}

void simulation::report_load(std::size_t number) {
  auto& engine = m_engines[number];
  schedule(m_now + m_scenario.report_interval, [this, number] { report_load(number); });
  if (!engine.is_up) {
    return;
  }
  endpoints::announcement announcement{
      .endpoint = {"engine-" + std::to_string(number)},
      .incarnation = engine.incarnation,
      .sequence = ++engine.sequence,
      .address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(number)},
      .load = engine.model.load(),
      .slots = engine.model.settings().slots,
  };
  for (auto const& item : simulated_versions) {
    announcement.versions.push_back({{model_name}, {item.id}});
  }
  schedule(m_now + m_scenario.report_lag, [this, announcement] {
    for (auto& entry : m_entries) {
      // Every engine announces itself to every entry instance, so nothing needs to be forwarded.
      endpoints::effects ignored;
      entry->directory.announce(announcement, m_now, ignored);
    }
  });
}

void simulation::crash(std::size_t number) {
  auto& engine = m_engines[number];
  engine.is_up = false;
  ++engine.generation;
  for (auto const job : engine.model.crash(m_now)) {
    auto const it = m_jobs.find(job);
    auto& logical_request = m_logical_requests.at(it->second);
    m_jobs.erase(it);
    logical_request.job = 0;
    auto const entry = logical_request.entry;
    auto const attempt = logical_request.attempt;
    schedule(m_now + network_delay, [this, entry, attempt] {
      reduce(entry, requests::attempt_failed{attempt, requests::attempt_failure_kind::broken});
    });
  }
}

void simulation::apply_effects(std::size_t entry, requests::effects const& effects) {
  base::version_id version;
  bool is_good = false;
  for (auto const& effect : effects) {
    std::visit(
        base::overloaded{
            [&](requests::dispatch const& e) { start_attempt(entry, e); },
            [&](requests::cancel_attempt const& e) { cancel(entry, e.attempt); },
            [&](requests::reply_head const& e) { version = e.version; },
            [&](requests::reply_end const& e) { is_good = finish_request(e.number / 8, version); },
            [&](requests::reply_failure const& e) { handle_failure(e.number / 8, e.failure); },
            [&](requests::evaluate_answer const& e) { evaluate_answer(entry, e); },
            [&](requests::rate_answer const& e) { submit_rating(entry, e.arm, is_good); },
            [&](requests::charge const& e) { record_charge(entry, e.bill); },
            [](auto const&) {},
        },
        effect);
  }
}

void simulation::record_charge(std::size_t entry, billing::bill const& bill) {
  m_result.cost += bill.price();
  // Simulates the round trip to the entry instance of the zone that replicates the bill.
  schedule(m_now + 2 * network_delay,
           [this, entry, id = bill.request] { reduce(entry, requests::bill_replicated{id}); });
}

void simulation::start_attempt(std::size_t entry, requests::dispatch const& dispatch) {
  auto const number = std::stoull(*dispatch.body);
  auto& logical_request = m_logical_requests.at(number);
  logical_request.attempt = dispatch.attempt;
  logical_request.version = dispatch.version;
  logical_request.engine = dispatch.address.port;
  logical_request.sent = m_now;
  auto const id = ++m_last_job;
  logical_request.job = id;
  m_jobs[id] = number;
  auto const attempt = dispatch.attempt;
  auto const priority = dispatch.priority;
  schedule(m_now + network_delay, [this, entry, number, id, attempt, priority] {
    auto const it = m_jobs.find(id);
    if (it == m_jobs.end()) {
      return;
    }
    auto& sent = m_logical_requests.at(number);
    auto const& parameters = find_version(sent.version);
    bool const is_degraded_now = is_degraded(sent.version, m_now);
    bool const is_error =
        uniform() < (is_degraded_now ? m_scenario.degraded_error_share : parameters.error_share);
    auto& engine = m_engines[sent.engine];
    if (is_error || !engine.is_up) {
      m_jobs.erase(it);
      sent.job = 0;
      auto const kind = engine.is_up ? requests::attempt_failure_kind::error_status
                                     : requests::attempt_failure_kind::not_sent;
      reduce(entry, requests::attempt_failed{attempt, kind});
      return;
    }
    sent.is_empty_answer = is_degraded_now && uniform() < m_scenario.degraded_empty_share;
    handle_progress(sent.engine, engine.model.advance(m_now));
    engine.model.add(
        {.id = id,
         .priority = priority,
         .session = sent.session,
         .prompt_tokens = sent.prompt_tokens,
         .completion_tokens = sent.is_empty_answer ? 1 : sent.completion_tokens,
         .slowdown = parameters.slowdown * (is_degraded_now ? m_scenario.degraded_slowdown : 1.0)},
        m_now);
    schedule_engine(sent.engine);
  });
}

void simulation::cancel(std::size_t entry, requests::attempt_number attempt) {
  auto const it = std::ranges::find_if(m_jobs, [&](auto const& item) {
    auto const& logical_request = m_logical_requests.at(item.second);
    return logical_request.entry == entry && logical_request.attempt == attempt &&
           logical_request.job == item.first;
  });
  if (it == m_jobs.end()) {
    return;
  }
  auto const engine = m_logical_requests.at(it->second).engine;
  handle_progress(engine, m_engines[engine].model.advance(m_now));
  m_engines[engine].model.remove(it->first, m_now);
  m_jobs.erase(it->first);
  schedule_engine(engine);
}

void simulation::schedule_engine(std::size_t number) {
  auto& engine = m_engines[number];
  auto const generation = ++engine.generation;
  if (auto const next = engine.model.next_progress_time()) {
    schedule(std::max(*next, m_now),
             [this, number, generation] { run_engine(number, generation); });
  }
}

void simulation::run_engine(std::size_t number, std::uint64_t generation) {
  if (m_engines[number].generation != generation) {
    return;
  }
  handle_progress(number, m_engines[number].model.advance(m_now));
  schedule_engine(number);
}

void simulation::handle_progress(std::size_t /*engine*/, std::vector<job_progress> const& changes) {
  for (auto const& change : changes) {
    auto const it = m_jobs.find(change.job);
    if (it == m_jobs.end()) {
      continue;
    }
    auto const number = it->second;
    auto const entry = m_logical_requests.at(number).entry;
    auto const attempt = m_logical_requests.at(number).attempt;
    if (!change.is_finished) {
      schedule(m_now + network_delay, [this, entry, attempt] {
        reduce(entry,
               requests::attempt_head{.attempt = attempt, .status = 200, .content_type = {}});
      });
      continue;
    }
    m_jobs.erase(it);
    auto const& logical_request = m_logical_requests.at(number);
    requests::token_usage const usage{.prompt_tokens = logical_request.prompt_tokens,
                                      .completion_tokens = logical_request.is_empty_answer
                                                               ? 0
                                                               : logical_request.completion_tokens};
    schedule(m_now + network_delay, [this, entry, attempt, usage] {
      reduce(entry, requests::attempt_finished{attempt, usage});
    });
  }
}

bool simulation::is_degraded(base::version_id const& version, base::monotonic_time when) const {
  return m_scenario.degraded_from > base::duration::zero() &&
         version.value == simulated_versions[0].id &&
         when - m_measurement_start >= m_scenario.degraded_from;
}

bool simulation::finish_request(std::uint64_t number, base::version_id const& version) {
  auto& logical_request = m_logical_requests.at(number);
  bool const is_from_degraded = is_degraded(version, logical_request.sent);
  // An answer that was evaluated keeps the quality drawn for the evaluation.
  bool const is_good = logical_request.evaluated_version == version && logical_request.is_good
                           ? *logical_request.is_good
                           : draw_quality(logical_request, version);
  ++m_result.answers_by_version[version.value];
  m_result.degraded_answers += is_from_degraded ? 1 : 0;
  bool const appears_good = uniform() < evaluator_accuracy ? is_good : !is_good;
  if (m_strategy.has_cascade && !logical_request.is_escalated && !appears_good &&
      m_now < logical_request.deadline) {
    logical_request.is_escalated = true;
    logical_request.send_count = 0;
    schedule(m_now + evaluator_latency, [this, number] { send(number); });
    return is_good;
  }
  auto& totals = m_result.classes[logical_request.request_class];
  ++totals.answered;
  totals.good += is_good ? 1 : 0;
  totals.latencies.push_back(
      std::chrono::duration<double>(m_now - logical_request.arrival_time).count());
  if (m_now <= logical_request.deadline) {
    ++totals.in_time;
    if (is_window_active()) {
      m_result.goodput += 1.0;
      double const work =
          service_time(logical_request.prompt_tokens, logical_request.completion_tokens);
      m_result.useful_work += work;
    }
    if (logical_request.arrived_in_window) {
      m_work_done[logical_request.customer] +=
          service_time(logical_request.prompt_tokens, logical_request.completion_tokens);
    }
  }
  m_logical_requests.erase(number);
  return is_good;
}

bool simulation::draw_quality(logical_request const& logical_request,
                              base::version_id const& version) {
  auto const& parameters = find_version(version);
  if (is_degraded(version, logical_request.sent)) {
    return !logical_request.is_empty_answer && uniform() < m_scenario.degraded_quality;
  }
  return uniform() < (logical_request.request_class == "interactive"
                          ? parameters.interactive_quality
                          : parameters.report_quality);
}

void simulation::evaluate_answer(std::size_t entry, requests::evaluate_answer const& evaluation) {
  auto& logical_request = m_logical_requests.at(evaluation.number / 8);
  logical_request.evaluated_version = evaluation.subject.version;
  logical_request.is_good = draw_quality(logical_request, logical_request.version);
  bool const is_poor =
      uniform() < evaluator_accuracy ? !*logical_request.is_good : *logical_request.is_good;
  auto const judgement = is_poor ? routing::judgement::poor : routing::judgement::good;
  auto const request = evaluation.number;
  schedule(m_now + evaluator_latency, [this, entry, request, judgement] {
    reduce(entry, requests::answer_evaluated{.number = request, .judgement = judgement});
  });
}

void simulation::submit_rating(std::size_t entry, routing::rating rating, bool is_good) {
  if (m_is_measuring && m_strategy.is_learning_frozen) {
    return;
  }
  rating.good = is_good ? 1U : 0U;
  rating.poor = is_good ? 0U : 1U;
  auto const delay = seconds(1) + milliseconds(m_random() % 3000);
  schedule(m_now + delay,
           [this, entry, rating] { m_entries[entry]->policy->observe(rating, m_now); });
}

void simulation::handle_failure(std::uint64_t number, requests::failure const& failure) {
  auto& logical_request = m_logical_requests.at(number);
  bool const is_expired = failure.kind == requests::failure_kind::deadline_passed;
  ++(is_expired ? m_result.expired : m_result.refusals);
  bool const can_retry = failure.retry_after && logical_request.send_count < max_send_count &&
                         m_now + *failure.retry_after < logical_request.deadline;
  if (!can_retry) {
    m_logical_requests.erase(number);
    return;
  }
  schedule(m_now + *failure.retry_after, [this, number] { send(number); });
}

void simulation::start_measuring() {
  m_result = {};
  m_is_measuring = true;
}

void simulation::compute_unfairness() {
  double supply = 0.0;
  for (auto const work : m_work_done) {
    supply += work;
  }
  // Max-min fairness: the smallest demands are met in full first, and the rest is shared equally.
  auto demands = m_work_offered;
  std::ranges::sort(demands);
  double fair_level = 0.0;
  double remaining = supply;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    fair_level = remaining / static_cast<double>(demands.size() - i);
    if (demands[i] > fair_level) {
      break;
    }
    remaining -= demands[i];
  }
  for (std::size_t i = 0; i < m_work_done.size(); ++i) {
    double const fair = std::min(m_work_offered[i], fair_level);
    if (fair > 0.0) {
      m_result.max_unfairness = std::max(m_result.max_unfairness, 1.0 - m_work_done[i] / fair);
    }
  }
}

} // namespace catkinlanding::experiment
