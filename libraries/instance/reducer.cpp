#include <libraries/base/hash.h>
#include <libraries/base/verify.h>
#include <libraries/instance/reducer.h>
#include <libraries/instance/send_all.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::instance {

namespace {

/// Interval of the checks for changes in the deployment. Their cost grows with its size.
constexpr base::duration deployment_check_interval = std::chrono::seconds(1);
/// How often a stop tells which requests it waits for, and how many of them at most.
constexpr base::duration stop_report_interval = std::chrono::seconds(1);
constexpr std::size_t max_reported_requests = 20;
/// How long a stop waits for another instance to become leader of the replicated log.
constexpr base::duration leadership_transfer_timeout = std::chrono::seconds(2);

/// The instances to poll before a leader is known. An instance with the control role polls nobody
/// until then, a relay polls the control instances, and others try the relays of their zone first.
std::vector<base::instance_id> initial_publishers(reducer::options const& options) {
  if (options.control) {
    return {};
  }
  auto publishers = options.is_relay ? std::vector<base::instance_id>{} : options.zone_relays;
  publishers.insert(publishers.end(), options.control_instances.begin(),
                    options.control_instances.end());
  return publishers;
}

/// A relay requests its shares from itself, so that its own demand counts towards that of its zone.
limits::share_source::options share_source_options(reducer::options const& options) {
  if (options.is_relay) {
    return {.relays = {options.self}, .control_instances = {}};
  }
  return {.relays = options.zone_relays, .control_instances = options.control_instances};
}

/// In a zone with relays, the relays hold the guaranteed shares and divide them among its
/// instances, so that the instances themselves hold none.
limits::rate_limiter::options limiter_options(reducer::options const& options,
                                              std::uint64_t first_sequence) {
  limits::rate_limiter::options result{.instances = options.max_floor_holders,
                                       .lessee = {.first_sequence = first_sequence}};
  if (options.is_relay || !options.zone_relays.empty()) {
    result.floor_permille = 0;
  }
  return result;
}

distribution::subscriber::options subscriber_options(reducer::options const& options,
                                                     base::monotonic_time now) {
  distribution::subscriber::options result;
  result.zone = options.zone;
  result.publishers = initial_publishers(options);
  result.follows_leader = options.is_relay;
  result.incarnation = options.incarnation;
  result.started_at = now;
  return result;
}

distribution::publisher::options publisher_options(reducer::options const& options) {
  auto result = options.publisher;
  result.self = options.self;
  result.zone = options.zone;
  result.incarnation = options.incarnation;
  result.members = options.members;
  return result;
}

/// Upper bound of the share requests in one run of the process, so that their sequence numbers stay
/// below those of the next run.
constexpr std::uint64_t share_requests_per_start = 1ULL << 20U;

std::uint64_t first_share_sequence(std::uint64_t incarnation) {
  return incarnation * share_requests_per_start + 1;
}

} // namespace

reducer reducer::create(options options, recovered const& recovered, base::monotonic_time now) {
  return reducer(std::move(options), recovered, now);
}

reducer::reducer(options options, recovered const& recovered, base::monotonic_time now)
    : m_options(std::move(options)),
      m_members(
          {.self = m_options.self_as_member, .seeds = m_options.seeds, .seed = m_options.seed},
          now),
      m_subscriber(subscriber_options(m_options, now)), m_publisher(publisher_options(m_options)),
      m_directory({.forwarding = {.self = m_options.self, .incarnation = m_options.incarnation},
                   .started_at = now}),
      m_chooser({.seed = m_options.seed}), m_rater({}),
      m_rollout_exchange({.self = m_options.self,
                          .incarnation = m_options.incarnation,
                          .is_control = m_options.control.has_value()}),
      m_admission({}),
      m_limiter(limiter_options(m_options, first_share_sequence(m_options.incarnation))),
      m_share_source(share_source_options(m_options)),
      m_relay_source({.relays = {}, .control_instances = m_options.control_instances}),
      m_requests({.self = m_options.self, .incarnation = m_options.incarnation}),
      m_outbox({.ledgers = m_options.control_instances,
                .seed = base::stable_hash(m_options.self.value)}),
      m_bill_copies({}), m_claim_client({.control_instances = m_options.control_instances}),
      m_pin_client({.self = m_options.self,
                    .incarnation = m_options.incarnation,
                    .control_instances = m_options.control_instances}),
      m_pins({}), m_gateway(m_options.self, {.control_instances = m_options.control_instances}),
      m_lifecycle({.started_at = now, .stop_notice = m_options.stop_notice}) {
  if (m_options.is_relay) {
    limits::share_relay::options const relay{
        .floor_holders = m_options.max_floor_holders,
        .lessee = {.first_sequence = first_share_sequence(m_options.incarnation)}};
    m_share_relay.emplace(relay, now);
  }
  if (m_options.control) {
    m_control = control::create(*m_options.control, recovered.log, now);
    m_ledger.emplace(recovered.bills);
  }
}

effects reducer::reduce(event const& event, base::monotonic_time now) {
  effects out;
  auto const revision = m_subscriber.document().revision();
  std::visit([&](auto const& alternative) { handle(alternative, now, out); }, event);
  // An accepted catalogue revision is never replaced by an earlier one.
  CATKINLANDING_VERIFY(m_subscriber.document().revision() >= revision);
  return out;
}

void reducer::handle(tick const& /*event*/, base::monotonic_time now, effects& out) {
  if (m_control) {
    control_effects control;
    m_control->tick(m_publisher, m_rollout_exchange.evidence(), now, control);
    emit(std::move(control), now, out);
    update_catalogue_from_log(now, out);
    auto const& leader = m_control->replica().leader();
    m_subscriber.set_leader(leader ? std::optional(leader->instance) : std::nullopt);
    if (leader && leader->instance != m_options.self) {
      m_subscriber.follow(leader->instance);
    }
  }
  membership::effects membership_messages;
  m_members.tick(now, membership_messages);
  send_all(membership_messages, out);
  update_members(now, out);
  m_publisher.tick(now);
  bool const is_leader = m_control && m_control->replica().holds_lease(now);
  if (!is_leader) {
    // The leader reads its own log, and must not be counted as a subscriber of another instance.
    distribution::effects polls;
    m_subscriber.tick(m_publisher.summary(m_subscriber.document().revision(), now), now, polls);
    send_all(polls, out);
  }
  endpoints::effects announcements;
  m_directory.tick(now, announcements);
  send_all(announcements, out);
  routing::effects evidence;
  m_chooser.tick(now, evidence);
  send_all(evidence, out);
  routing::rater_effects overdue;
  m_rater.tick(now, overdue);
  emit(std::move(overdue), now, out);
  tick_rollouts(now, out);
  tick_limits(now, out);
  std::vector<billing::outgoing> bills;
  for (auto& bill : m_bill_copies.take_overdue(now)) {
    m_outbox.adopt(std::move(bill));
  }
  m_outbox.tick(now, bills);
  send_all(bills, out);
  std::vector<claims::outgoing> claims;
  m_claim_client.tick(now, claims);
  send_all(claims, out);
  std::vector<sessions::outgoing> proposals;
  m_pin_client.tick(now, proposals);
  send_all(proposals, out);
  std::vector<operators::outgoing> commands;
  std::vector<operators::answer> answers;
  m_gateway.tick(now, commands, answers);
  send_all(commands, out);
  std::ranges::move(answers, std::back_inserter(out));
  requests::effects requests;
  m_requests.tick(request_environment(now), now, requests);
  emit(std::move(requests), now, out);
  log_state_changes(now, out);
  stop_when_idle(now, out);
}

void reducer::handle(message_received const& event, base::monotonic_time now, effects& out) {
  std::visit([&](auto const& message) { receive(event.from, message, now, out); }, event.message);
}

void reducer::handle(log_written const& event, base::monotonic_time now, effects& out) {
  if (m_control) {
    control_effects control;
    m_control->complete_write(event.id, now, control);
    emit(std::move(control), now, out);
  }
}

void reducer::handle(ledger_written const& event, base::monotonic_time /*now*/, effects& out) {
  if (m_ledger) {
    std::vector<billing::outgoing> receipts;
    m_ledger->complete_write(event.id, receipts);
    send_all(receipts, out);
  }
}

void reducer::handle(endpoint_announced const& event, base::monotonic_time now, effects& out) {
  endpoints::effects forwarded;
  m_directory.announce(event.announcement, now, forwarded);
  send_all(forwarded, out);
}

void reducer::handle(stop_requested const& /*event*/, base::monotonic_time now, effects& out) {
  m_lifecycle.stop(now);
  if (m_control) {
    control_effects control;
    m_control->resign(now, control);
    emit(std::move(control), now, out);
  }
}

void reducer::drain(base::monotonic_time now, effects& out) {
  m_is_draining = true;
  m_requests.drain();
  membership::effects leave_messages;
  m_members.leave(now, leave_messages);
  send_all(leave_messages, out);
  m_leadership_transfer_deadline = now + leadership_transfer_timeout;
  if (m_control) {
    // This instance may have been elected again since the stop was requested.
    control_effects control;
    m_control->resign(now, control);
    emit(std::move(control), now, out);
  }
}

void reducer::handle(requests::event const& event, base::monotonic_time now, effects& out) {
  requests::effects requests;
  m_requests.reduce(event, request_environment(now), now, requests);
  emit(std::move(requests), now, out);
}

void reducer::handle(routing::rating_result const& event, base::monotonic_time now, effects& out) {
  routing::rater_effects rated;
  m_rater.receive(event, now, rated);
  emit(std::move(rated), now, out);
}

void reducer::tick_rollouts(base::monotonic_time now, effects& out) {
  rollouts::exchange::receivers receivers;
  if (m_control) {
    auto const& leader = m_control->replica().leader();
    receivers.control = m_options.self;
    receivers.leader = leader ? leader->instance : base::instance_id{};
  } else {
    auto const& control = m_options.control_instances;
    auto const publisher = m_subscriber.publisher();
    // The publisher may be a relay or an entry instance, which don't aggregate reports.
    bool const is_control_instance = std::ranges::find(control, publisher) != control.end();
    receivers.control = is_control_instance || control.empty() ? publisher : control.front();
  }
  rollouts::effects reports;
  m_rollout_exchange.tick(rollouts::watched_versions(m_subscriber.document()), m_chooser.answers(),
                          receivers, now, reports);
  send_all(reports, out);
}

void reducer::tick_limits(base::monotonic_time now, effects& out) {
  bool const is_leader = m_control && m_control->replica().holds_lease(now);
  limits::share_allocator::options const options{.instances = m_options.max_floor_holders};
  if (!is_leader) {
    m_share_allocator.reset();
  } else if (!m_share_allocator) {
    // The shares that the previous leader granted have expired by then.
    m_share_allocator.emplace(options, now + options.lease);
  }
  tick_share_relay(now, out);
  auto request = m_limiter.tick(now);
  auto const* source = request ? m_share_source.next(now) : nullptr;
  if (source != nullptr) {
    out.emplace_back(send{.to = *source, .message = limits::message{std::move(*request)}});
  }
}

void reducer::tick_share_relay(base::monotonic_time now, effects& out) {
  if (!m_share_relay || !m_share_relay->is_due(now)) {
    return;
  }
  auto request = m_share_relay->tick(limits::limits_in(m_subscriber.document()), now);
  auto const* source = request ? m_relay_source.next(now) : nullptr;
  if (source != nullptr) {
    out.emplace_back(send{.to = *source, .message = limits::message{std::move(*request)}});
  }
}

void reducer::update_members(base::monotonic_time now, effects& out) {
  m_subscriber.follow_zone(m_members.zone_peers(now));
  auto const peers = m_members.entry_peers(now);
  m_directory.follow_zone(peers);
  m_chooser.follow_zone(peers);
  m_outbox.follow_zone(peers);
  for (auto const& member : m_members.take_address_changes()) {
    out.emplace_back(update_address{.instance = member.id, .address = member.address});
  }
}

void reducer::emit(control_effects requested, base::monotonic_time now, effects& out) {
  for (auto& write : requested.log.writes) {
    out.emplace_back(write_log{std::move(write)});
  }
  send_all(requested.log.messages, out);
  send_all(requested.operator_messages, out);
  send_all(requested.claim_messages, out);
  send_all(requested.session_messages, out);
  if (requested.is_catalogue_changed) {
    update_catalogue_from_log(now, out);
  }
}

void reducer::emit(requests::effects requested, base::monotonic_time now, effects& out) {
  std::vector<base::request_id> replicated_bills;
  for (auto& effect : requested) {
    if (auto* charge = std::get_if<requests::charge>(&effect)) {
      std::vector<billing::outgoing> copies;
      auto const request = charge->bill.request;
      m_outbox.add(std::move(charge->bill), now, copies);
      send_all(copies, out);
      if (m_outbox.is_replicated(request)) {
        replicated_bills.push_back(request);
      }
      continue;
    }
    if (auto* claim = std::get_if<requests::claim_action>(&effect)) {
      std::vector<claims::outgoing> messages;
      m_claim_client.submit(std::move(claim->action), now, messages);
      send_all(messages, out);
      continue;
    }
    routing::rater_effects rated;
    if (auto* evaluation = std::get_if<requests::evaluate_answer>(&effect)) {
      m_rater.request_judgement(evaluation->number, std::move(evaluation->subject), m_directory,
                                now, rated);
      emit(std::move(rated), now, out);
      continue;
    }
    if (auto* sample = std::get_if<requests::rate_answer>(&effect)) {
      m_rater.request_rating(std::move(sample->arm), std::move(sample->subject), m_directory, now,
                             rated);
      emit(std::move(rated), now, out);
      continue;
    }
    if (auto* pin = std::get_if<requests::pin_session>(&effect)) {
      std::vector<sessions::outgoing> messages;
      m_pin_client.submit(pin->key, pin->version, now, messages);
      send_all(messages, out);
      continue;
    }
    out.emplace_back(std::move(effect));
  }
  notify_replicated_bills(replicated_bills, now, out);
}

void reducer::emit(routing::rater_effects requested, base::monotonic_time now, effects& out) {
  std::ranges::move(requested.rating_requests, std::back_inserter(out));
  for (auto const& rating : requested.ratings) {
    m_chooser.observe(rating, now);
  }
  for (auto const& judged : requested.judgements) {
    handle(requests::event{requests::answer_evaluated{.number = judged.request,
                                                      .judgement = judged.judgement}},
           now, out);
  }
}

void reducer::notify_replicated_bills(std::vector<base::request_id> const& replicated_bills,
                                      base::monotonic_time now, effects& out) {
  for (auto const& request : replicated_bills) {
    handle(requests::event{requests::bill_replicated{request}}, now, out);
  }
}

void reducer::update_catalogue_from_log(base::monotonic_time now, effects& out) {
  bool const is_leader = m_control->replica().holds_lease(now);
  if (!is_leader) {
    return;
  }
  auto const& state = m_control->state().catalogue();
  auto const lease_until = now + m_options.control->replica.lease_duration;
  if (m_subscriber.load_from_log(state.document(), state.recent_changes(), lease_until)) {
    publish(now, out);
  }
}

void reducer::publish(base::monotonic_time now, effects& out) {
  distribution::effects updates;
  m_publisher.push(m_subscriber, now, updates);
  send_all(updates, out);
}

std::optional<base::monotonic_time> reducer::grant_until(base::monotonic_time now) const {
  if (m_control && m_control->replica().holds_lease(now)) {
    return now + m_options.publisher.lease_duration;
  }
  return m_subscriber.lease_until();
}

requests::environment reducer::request_environment(base::monotonic_time now) {
  return {.document = m_subscriber.document(),
          .has_lease = m_subscriber.has_lease(now),
          .without_lease = m_subscriber.without_lease(now),
          .directory = m_directory,
          .chooser = m_chooser,
          .admission = &m_admission,
          .limiter = &m_limiter,
          .can_claim = m_subscriber.has_lease(now) && !m_claim_client.is_full(),
          .has_rating_service = m_rater.is_available(m_directory, now),
          .pins = &m_pins,
          .can_pin = m_subscriber.has_lease(now) && !m_pin_client.is_full(),
          .is_billing_full = m_outbox.is_full()};
}

void reducer::stop_when_idle(base::monotonic_time now, effects& out) {
  if (!m_lifecycle.is_draining(now)) {
    return;
  }
  if (!m_is_draining) {
    drain(now, out);
  }
  report_stop(now, out);
  bool const has_left_leadership =
      !m_control || m_control->replica().is_safe_to_stop() || now >= m_leadership_transfer_deadline;
  if (has_left_leadership && m_requests.size() == 0 && m_outbox.size() == 0 &&
      m_claim_client.size() == 0) {
    out.emplace_back(stop{});
  }
}

void reducer::report_stop(base::monotonic_time now, effects& out) {
  if (m_requests.size() == 0 || now < m_stop_report_due) {
    return;
  }
  m_stop_report_due = now + stop_report_interval;
  out.emplace_back(stop_report{.requests = m_requests.size(),
                               .first = m_requests.running(max_reported_requests, now)});
}

bool reducer::is_ready(base::monotonic_time now) const {
  return m_lifecycle.is_ready(m_subscriber.document().revision(), now);
}

void reducer::log_state_changes(base::monotonic_time now, effects& out) {
  instance_state own{.has_lease = m_subscriber.has_lease(now),
                     .revision = m_subscriber.document().revision(),
                     .endpoints = m_directory.size()};
  if (m_control) {
    own.role = m_control->replica().role();
    own.term = m_control->replica().term();
  }
  std::ranges::move(m_state_changes.observe(own), std::back_inserter(out));
  if (now < m_deployment_check_due) {
    return;
  }
  m_deployment_check_due = now + deployment_check_interval;
  deployment_state deployment{.zones = m_publisher.zones(own.revision, now)};
  if (m_control) {
    deployment.voters = m_control->replica().current_configuration().voters;
  }
  std::ranges::move(m_state_changes.observe(deployment), std::back_inserter(out));
}

} // namespace catkinlanding::instance
