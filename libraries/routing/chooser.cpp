#include <libraries/base/hash.h>
#include <libraries/base/verify.h>
#include <libraries/routing/chooser.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace catkinlanding::routing {

namespace {

constexpr std::uint32_t whole_permille = 1000;
/// An answer is slow if its time per token is this many times the version's average.
constexpr double slow_factor = 2.5;
/// Answers with less time per token are never slow: a reader notices no difference below this.
constexpr double min_slow_seconds_per_token = 0.03;
/// Weight of one answer in the moving average of the time per token.
constexpr double learning_rate = 0.02;
constexpr double baseline_failure_rate = 0.02;
constexpr double baseline_empty_rate = 0.01;
constexpr double baseline_slow_rate = 0.05;
constexpr std::size_t max_tracked_versions = 1024;
/// Maximum distance between the two versions of an escalation, in places of the list by price.
constexpr std::size_t max_escalation_distance = 2;

endpoint_windows::options window_options(chooser::options const& options) {
  auto windows = options.windows;
  windows.instances = options.zone_peers.size() + 1;
  return windows;
}

choice_error error_of(endpoint_windows::pick_error error) {
  return error == endpoint_windows::pick_error::busy ? choice_error::busy
                                                     : choice_error::no_endpoint;
}

} // namespace

bool can_receive_work(catalogue::version const& version, bool has_lease,
                      base::duration without_lease) {
  if (version.standing == catalogue::standing::withdrawn) {
    return false;
  }
  return has_lease || without_lease < catalogue::time_without_lease(version);
}

chooser::chooser(options options)
    : m_options(std::move(options)), m_random(m_options.seed), m_quality(m_options.quality),
      m_pass_rates(m_options.quality), m_windows(window_options(m_options)) {}

void chooser::follow_zone(std::vector<base::instance_id> peers) {
  m_windows.set_peer_count(peers.size());
  m_options.zone_peers = std::move(peers);
}

tl::expected<choice, choice_error> chooser::choose(version_query const& query,
                                                   routing_context const& routing_context,
                                                   base::monotonic_time now) {
  CATKINLANDING_VERIFY(query.customer != nullptr);
  if (routing_context.document.find_model(query.model) == nullptr) {
    return tl::unexpected(choice_error::unknown_model);
  }
  auto const allows_model = [&](catalogue::allowance const& a) { return a.model == query.model; };
  if (std::ranges::none_of(query.customer->allowances, allows_model)) {
    return tl::unexpected(choice_error::not_allowed);
  }
  auto const usable = usable_versions(query, routing_context, now);
  if (usable.empty()) {
    return tl::unexpected(choice_error::no_version);
  }
  auto const candidates = ranked_candidates(query, usable, now);
  auto chosen = choose_unsuspended(query, candidates, routing_context, now);
  if (!chosen && chosen.error() != choice_error::busy) {
    // A slow answer is better than none: all machines may have become slower at once.
    auto slow = choose_slow(query, candidates, routing_context, now);
    if (slow || slow.error() == choice_error::busy) {
      return slow;
    }
  }
  return chosen;
}

tl::expected<choice, choice_error>
chooser::choose_unsuspended(version_query const& query, std::vector<candidate> const& candidates,
                            routing_context const& routing_context, base::monotonic_time now) {
  auto last_error = choice_error::version_suspended;
  for (auto const& candidate : candidates) {
    auto& breaker = state_of({query.model, candidate.arm.first}).breaker;
    bool const is_probe = breaker.is_open();
    bool const is_allowed =
        !(is_probe && query.binds_session) && breaker.allow_request(now, m_random);
    if (!is_allowed) {
      continue;
    }
    auto chosen = choose_endpoint(query, candidate, routing_context, now);
    if (chosen && is_probe) {
      chosen->escalates_to = {};
      chosen->wants_rating = true;
    }
    // Falling back from a busy version to a more expensive one would take capacity that its own
    // requests need.
    if (chosen || chosen.error() == choice_error::busy) {
      return chosen;
    }
    last_error = chosen.error();
  }
  return tl::unexpected(last_error);
}

tl::expected<choice, choice_error> chooser::choose_slow(version_query const& query,
                                                        std::vector<candidate> const& candidates,
                                                        routing_context const& routing_context,
                                                        base::monotonic_time now) {
  auto last_error = choice_error::version_suspended;
  for (auto const& candidate : candidates) {
    if (!state_of({query.model, candidate.arm.first}).breaker.is_only_slow()) {
      continue;
    }
    auto chosen = choose_endpoint(query, candidate, routing_context, now);
    if (chosen || chosen.error() == choice_error::busy) {
      return chosen;
    }
    last_error = chosen.error();
  }
  return tl::unexpected(last_error);
}

tl::expected<choice, choice_error> chooser::choose_endpoint(version_query const& query,
                                                            candidate const& candidate,
                                                            routing_context const& routing_context,
                                                            base::monotonic_time now) {
  endpoints::served_version const served{query.model, candidate.arm.first};
  auto const endpoint =
      m_windows.pick(served, {.session = query.session, .excluded = query.excluded},
                     routing_context.directory, now, m_random);
  if (!endpoint) {
    return tl::unexpected(error_of(endpoint.error()));
  }
  return choice{.model = query.model,
                .version = candidate.arm.first,
                .endpoint = *endpoint,
                .escalates_to = candidate.arm.second,
                .wants_rating = candidate.is_explored || uniform() < m_options.rating_sample_rate};
}

tl::expected<base::endpoint_id, choice_error>
chooser::choose_service_endpoint(base::service_id const& service,
                                 std::set<base::endpoint_id> const& excluded,
                                 routing_context const& routing_context, base::monotonic_time now) {
  auto candidates = routing_context.directory.serving(service, now);
  std::erase_if(candidates, [&](auto const* record) {
    return excluded.contains(record->announcement.endpoint);
  });
  if (candidates.empty()) {
    return tl::unexpected(choice_error::no_endpoint);
  }
  // Power of two choices: with a deterministic pick, all instances that hold the same stale load
  // report would choose the same endpoint.
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  auto const* first = candidates[pick(m_random)];
  auto const* second = candidates[pick(m_random)];
  auto const load_of = [](endpoints::directory::record const* record) {
    auto const& load = record->announcement.load;
    auto const known = std::max(record->outstanding, load.running + load.waiting);
    return static_cast<double>(known) / std::max(1U, record->announcement.slots);
  };
  auto const* chosen = load_of(second) < load_of(first) ? second : first;
  return chosen->announcement.endpoint;
}

chooser::versions chooser::usable_versions(version_query const& query,
                                           routing_context const& routing_context,
                                           base::monotonic_time now) {
  versions usable;
  auto const& all = routing_context.document.versions();
  for (auto it = all.lower_bound({query.model, {}}); it != all.end(); ++it) {
    auto const& [key, version] = *it;
    if (key.first != query.model) {
      break;
    }
    if ((!query.version || *query.version == key.second) &&
        catalogue::is_allowed(*query.customer, key.first, key.second) &&
        can_receive_work(version, routing_context.has_lease, routing_context.without_lease)) {
      sync_with_catalogue(version);
      usable.push_back(&version);
    }
  }
  // A trial version without exposure serves only requests that are bound to it.
  std::erase_if(usable, [&](catalogue::version const* version) {
    return !query.version && version->standing == catalogue::standing::trial &&
           version->exposure_permille == 0;
  });
  // Exposure limits apply only if another version remains.
  auto const is_held_back = [&](catalogue::version const* version) {
    return !query.version && !passes_exposure(query, *version, now);
  };
  auto const held_back =
      std::stable_partition(usable.begin(), usable.end(), std::not_fn(is_held_back));
  if (held_back != usable.begin()) {
    usable.erase(held_back, usable.end());
  }
  std::ranges::sort(usable, {}, &catalogue::version::price_per_thousand_tokens);
  return usable;
}

bool chooser::passes_exposure(version_query const& query, catalogue::version const& version,
                              base::monotonic_time now) {
  if (version.standing != catalogue::standing::trial) {
    return true;
  }
  auto share = version.exposure_permille;
  quality_estimates::key const key{query.model, query.request_class, {version.id, {}}};
  if (m_quality.evidence(key, now) < m_options.sufficient_evidence) {
    share = std::min(share, m_options.low_evidence_exposure_permille);
  }
  // Hashing the session keeps it on the same side of the rollout at every instance.
  auto const draw =
      query.session ? base::stable_hash(query.session->value + "/" + version.id.value) : m_random();
  return draw % whole_permille < share;
}

std::vector<chooser::candidate> chooser::ranked_candidates(version_query const& query,
                                                           versions const& usable,
                                                           base::monotonic_time now) {
  std::vector<candidate> candidates;
  for (auto const* version : usable) {
    candidates.push_back(single_version(query, *version, now));
  }
  auto const single_count = candidates.size();
  bool const can_pair = query.can_escalate && !query.version;
  for (std::size_t i = 0; can_pair && i < single_count; ++i) {
    for (std::size_t j = i + 1; j < single_count && j <= i + max_escalation_distance; ++j) {
      if (!is_suspended(query.model, candidates[j].arm.first)) {
        candidates.push_back(escalation(query, candidates[i], candidates[j], now));
      }
    }
  }
  bool const explores = uniform() < m_options.exploration_rate && !query.binds_session;
  for (auto& candidate : candidates) {
    quality_estimates::key const key{query.model, query.request_class, candidate.arm};
    double const slack =
        candidate.prior >= query.quality_target
            ? m_options.tolerated_deviations * m_quality.deviation(key, candidate.prior, now)
            : 0.0;
    candidate.meets_target = candidate.quality + slack >= query.quality_target;
    if (explores && !candidate.meets_target) {
      candidate.is_explored =
          m_quality.sample(key, candidate.prior, now, m_random) >= query.quality_target;
    }
  }
  std::ranges::stable_sort(candidates, [](candidate const& left, candidate const& right) {
    bool const is_left_fit = left.meets_target || left.is_explored;
    bool const is_right_fit = right.meets_target || right.is_explored;
    if (is_left_fit != is_right_fit) {
      return is_left_fit;
    }
    return is_left_fit ? left.price < right.price : left.quality > right.quality;
  });
  return candidates;
}

chooser::candidate chooser::single_version(version_query const& query,
                                           catalogue::version const& version,
                                           base::monotonic_time now) const {
  quality_estimates::key const key{query.model, query.request_class, {version.id, {}}};
  return {.arm = key.arm,
          .price = static_cast<double>(version.price_per_thousand_tokens),
          .quality = m_quality.mean(key, version.quality_prior, now),
          .prior = version.quality_prior};
}

chooser::candidate chooser::escalation(version_query const& query, candidate const& first,
                                       candidate const& second, base::monotonic_time now) const {
  quality_estimates::key const first_key{query.model, query.request_class, first.arm};
  double const judge_accuracy = m_options.judge_accuracy_prior;
  double const pass_rate_prior =
      first.quality * judge_accuracy + (1.0 - first.quality) * (1.0 - judge_accuracy);
  double const pass_rate = m_pass_rates.mean(first_key, pass_rate_prior, now);
  quality_estimates::key const key{
      query.model, query.request_class, {first.arm.first, second.arm.first}};
  double const prior = first.quality * judge_accuracy + (1.0 - pass_rate) * second.quality;
  return {.arm = key.arm,
          .price = first.price + (1.0 - pass_rate) * second.price,
          .quality = m_quality.mean(key, prior, now),
          .prior = prior};
}

void chooser::observe(attempt_result const& result, base::monotonic_time now) {
  if (result.verdict == attempt_verdict::endpoint_lost) {
    m_windows.suspend(result.endpoint);
    return;
  }
  version_key const key{result.model, result.version};
  bool const slow = is_slow(state_of(key), result);
  outcome_counts const counts{
      .model = result.model,
      .version = result.version,
      .attempts = 1,
      .failed = result.verdict == attempt_verdict::failed ? 1U : 0U,
      .empty = result.verdict == attempt_verdict::empty ? 1U : 0U,
      .slow = slow ? 1U : 0U,
  };
  apply(counts, now);
  bool const is_bad = slow || result.verdict != attempt_verdict::answered;
  count(key, {.answers = 1, .bad = is_bad ? 1U : 0U});
  auto& unsent = m_unsent_outcomes[key];
  unsent.model = key.first;
  unsent.version = key.second;
  unsent.attempts += counts.attempts;
  unsent.failed += counts.failed;
  unsent.empty += counts.empty;
  unsent.slow += counts.slow;
}

void chooser::observe(rating const& rating, base::monotonic_time now) {
  rating_counts const counts{.model = rating.model,
                             .first = rating.version,
                             .second = rating.second,
                             .request_class = rating.request_class,
                             .good = rating.good,
                             .poor = rating.poor};
  apply(counts, now);
  if (rating.second.is_empty()) {
    count({rating.model, rating.version},
          {.rated = std::uint64_t{rating.good} + rating.poor, .poor = rating.poor});
  }
  quality_estimates::key const key{
      rating.model, rating.request_class, {rating.version, rating.second}};
  auto [it, is_new] = m_unsent_ratings.try_emplace(key, counts);
  if (!is_new) {
    it->second.good += counts.good;
    it->second.poor += counts.poor;
  }
}

void chooser::observe_judgement(base::model_id const& model, base::version_id const& version,
                                base::class_id const& request_class, bool is_poor,
                                base::monotonic_time now) {
  m_pass_rates.add({model, request_class, {version, {}}}, is_poor ? 0.0 : 1.0, is_poor ? 1.0 : 0.0,
                   now);
  count({model, version}, {.rated = 1, .poor = is_poor ? 1U : 0U});
  auto& state = state_of({model, version});
  // The pass rate is the baseline rather than the quality estimate, as it includes the judge's own
  // errors.
  double const pass_rate =
      m_pass_rates.mean({model, request_class, {version, {}}}, m_options.judge_accuracy_prior, now);
  outcome_batch const outcome{.good = is_poor ? 0U : 1U, .bad = is_poor ? 1U : 0U};
  state.breaker.observe(health_signal::poor_rating, outcome, 1.0 - pass_rate, now);
}

void chooser::receive(message const& message, base::monotonic_time now) {
  for (auto const& counts : message.ratings) {
    apply(counts, now);
  }
  for (auto const& counts : message.outcomes) {
    apply(counts, now);
  }
}

void chooser::tick(base::monotonic_time now, effects& out) {
  if (now < m_evidence_due) {
    return;
  }
  m_evidence_due = now + m_options.evidence_interval;
  evidence unsent;
  for (auto const& [key, counts] : m_unsent_ratings) {
    unsent.ratings.push_back(counts);
  }
  for (auto const& [key, counts] : m_unsent_outcomes) {
    unsent.outcomes.push_back(counts);
  }
  m_unsent_ratings.clear();
  m_unsent_outcomes.clear();
  if (unsent.ratings.empty() && unsent.outcomes.empty()) {
    return;
  }
  std::vector<base::instance_id> chosen;
  std::ranges::sample(m_options.zone_peers, std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(m_options.evidence_fan_out), m_random);
  for (auto const& peer : chosen) {
    out.push_back({peer, unsent});
  }
}

bool chooser::is_suspended(base::model_id const& model, base::version_id const& version) const {
  auto const it = m_versions.find({model, version});
  return it != m_versions.end() && it->second.breaker.is_open();
}

chooser::version_state& chooser::state_of(version_key const& key) {
  auto const it = m_versions.find(key);
  if (it != m_versions.end()) {
    return it->second;
  }
  if (m_versions.size() >= max_tracked_versions) {
    m_versions.clear();
  }
  return m_versions.emplace(key, version_state(m_options.breaker)).first->second;
}

chooser::version_state& chooser::sync_with_catalogue(catalogue::version const& version) {
  auto& state = state_of({version.model, version.id});
  bool const is_changed =
      state.price != version.price_per_thousand_tokens || state.prior != version.quality_prior;
  if (is_changed && state.price != 0) {
    m_quality.forget(version.model, version.id);
    m_pass_rates.forget(version.model, version.id);
    state = version_state(m_options.breaker);
  }
  state.price = version.price_per_thousand_tokens;
  state.prior = version.quality_prior;
  return state;
}

void chooser::apply(rating_counts const& counts, base::monotonic_time now) {
  quality_estimates::key const key{
      counts.model, counts.request_class, {counts.first, counts.second}};
  auto& state = state_of({counts.model, counts.first});
  if (counts.second.is_empty()) {
    double const baseline = 1.0 - m_quality.mean(key, state.prior, now);
    state.breaker.observe(health_signal::poor_rating, {.good = counts.good, .bad = counts.poor},
                          baseline, now);
  }
  m_quality.add(key, counts.good, counts.poor, now);
}

void chooser::apply(outcome_counts const& counts, base::monotonic_time now) {
  auto& breaker = state_of({counts.model, counts.version}).breaker;
  auto const observe = [&](health_signal signal, std::uint32_t bad, double baseline) {
    auto const good = counts.attempts - std::min(bad, counts.attempts);
    breaker.observe(signal, {.good = good, .bad = counts.attempts - good}, baseline, now);
  };
  observe(health_signal::failure, counts.failed, baseline_failure_rate);
  observe(health_signal::empty_answer, counts.empty, baseline_empty_rate);
  observe(health_signal::slowness, counts.slow, baseline_slow_rate);
}

bool chooser::is_slow(version_state& state, attempt_result const& result) const {
  if (result.verdict != attempt_verdict::answered || result.completion_tokens == 0) {
    return false;
  }
  double const seconds = std::chrono::duration<double>(result.generation).count() /
                         static_cast<double>(result.completion_tokens);
  if (state.seconds_per_token == 0.0) {
    state.seconds_per_token = seconds;
    return false;
  }
  bool const is_far_slower =
      seconds > min_slow_seconds_per_token && seconds > slow_factor * state.seconds_per_token;
  if (!is_far_slower) {
    state.seconds_per_token += learning_rate * (seconds - state.seconds_per_token);
  }
  return is_far_slower;
}

void chooser::count(version_key const& key, rollouts::tally const& increment) {
  if (m_answers.size() >= max_tracked_versions && !m_answers.contains(key)) {
    return;
  }
  auto& answers = m_answers[key];
  answers.answers += increment.answers;
  answers.bad += increment.bad;
  answers.rated += increment.rated;
  answers.poor += increment.poor;
}

double chooser::uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

} // namespace catkinlanding::routing
