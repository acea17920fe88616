#include <libraries/base/overloaded.h>
#include <libraries/base/verify.h>
#include <libraries/proxy/control.h>
#include <libraries/proxy/evacuation_codec.h>
#include <libraries/proxy/voter_policy.h>

#include <algorithm>
#include <bit>

namespace catkinlanding::proxy {

namespace {

std::string describe(known_state const& known) {
  return "document=" + std::to_string(known.document_revision) +
         ",registry=" + std::to_string(known.registry_term) + "/" +
         std::to_string(known.registry_revision) +
         ",rollouts=" + std::to_string(known.rollouts_revision);
}

} // namespace

control control::create(options options, consensus::recovered_state const& recovered,
                        base::monotonic_time now) {
  return control(std::move(options), recovered, now);
}

control::control(options options, consensus::recovered_state const& recovered,
                 base::monotonic_time now)
    : m_options(std::move(options)),
      m_replica(consensus::replica::create(m_options.replica, recovered, now)),
      m_registry(m_options.registry), m_subscriber({.self = m_options.replica.self.instance,
                                                    .seeds = upstream_candidates(m_options.replica),
                                                    .seed = m_options.replica.seed}),
      m_evaluator(m_options.evaluator), m_rates(m_options.rates),
      m_quarantine(m_options.quarantine), m_publisher(m_options.publisher),
      m_calls(m_options.calls), m_voters(m_options.voters), m_relay(m_options.relay) {
  if (!m_replica.current_configuration().voters.empty()) {
    m_voters.note_earlier_start();
  }
  restore(recovered.snapshot);
}

void control::receive(base::instance_id const& from, message const& message,
                      base::monotonic_time now, control_effects& out) {
  m_voters.note_contact(from, now);
  std::visit([&](auto const& one) { handle(from, one, now, out); }, message);
  process_replica_output(now, out);
}

void control::receive(call_number number, call_request const& request, base::monotonic_time now,
                      control_effects& out) {
  if (m_replica.role() != consensus::role::leader) {
    bool const is_accepted = accept_for_leader(request);
    call_reply const elsewhere{.kind = reply_kind::not_leader, .leader = other_leader(m_replica)};
    answer(number, is_accepted ? done_here() : elsewhere, out);
    return;
  }
  if (!is_serving_leader(m_replica, now)) {
    answer(number, {.kind = reply_kind::unavailable}, out);
    return;
  }
  std::visit(
      base::overloaded{
          [&](replace_document const& one) { process_request(number, one, now, out); },
          [&](start_rollout const& one) { process_request(number, one, now, out); },
          [&](read_document const&) { answer(number, read_document_reply(m_state), out); },
          [&](read_rollout const& one) { answer(number, read_rollout_reply(m_state, one), out); },
          [&](announce_endpoint const& one) { process_request(number, one, now, out); },
          [&](withdraw_endpoint const& one) { process_request(number, one, now, out); },
          [&](begin_evacuation const& one) {
            process_evacuation(number, one.zone, true, now, out);
          },
          [&](end_evacuation const& one) { process_evacuation(number, one.zone, false, now, out); },
      },
      request);
  process_replica_output(now, out);
}

void control::tick(base::monotonic_time now, control_effects& out) {
  m_replica.tick(now, out.log);
  process_replica_output(now, out);
  if (m_replica.role() == consensus::role::leader) {
    manage_voters(now, out);
    inform_former_voters(now, out);
    advance_rollouts(now, out);
    drop_silent_downstreams(now, out);
    m_rates.tick(now);
    m_quarantine.sweep(now);
    if (now >= m_leader_since + m_options.registry_warmup) {
      m_registry.tick(now);
    }
  } else if (auto const upstream = m_subscriber.tick(now)) {
    if (*upstream != m_replica.self().instance) {
      out.messages.push_back(make_subscription(*upstream));
    }
  }
  update_cold_endpoints(now, out);
  relay_announcements(now, out);
  process_replica_output(now, out);
  announce_departure(out);
}

void control::complete_write(consensus::write_id id, base::monotonic_time now,
                             control_effects& out) {
  m_replica.complete_write(id, now, out.log);
  process_replica_output(now, out);
}

void control::resign(base::monotonic_time now, control_effects& out) {
  m_is_stopping = true;
  m_replica.resign(now, out.log);
  process_replica_output(now, out);
  announce_departure(out);
}

void control::use_seeds(std::vector<base::instance_id> const& seeds) {
  m_options.replica.peers = seeds;
  m_replica.set_peers(seeds);
  m_subscriber.use_seeds(upstream_candidates(m_options.replica));
}

// Messages from other instances.

void control::handle(base::instance_id const& from, consensus::message const& message,
                     base::monotonic_time now, control_effects& out) {
  if (auto const* join = std::get_if<consensus::join_request>(&message)) {
    process_request(*join, from, now, out);
  }
  m_replica.receive(from, message, now, out.log);
}

void control::process_request(consensus::join_request const& request, base::instance_id const& from,
                              base::monotonic_time now, control_effects& out) {
  m_voters.note_applicant(request.voter.instance, now);
  auto const leader = other_leader(m_replica);
  // The joining instance may not know the leader, so the request is forwarded to it.
  if (leader && *leader != from) {
    out.messages.push_back({*leader, consensus::message{request}});
  }
}

void control::handle(base::instance_id const& from, subscription const& subscription,
                     base::monotonic_time now, control_effects& out) {
  if (!is_serving_leader(m_replica, now)) {
    send_referral(from, subscription, now, out);
    return;
  }
  auto& downstreams = m_publisher.downstreams();
  if (!downstreams.has_room_for(from)) {
    return;
  }
  if (downstreams.note(from, subscription, now)) {
    out.events.push_back({control_event::instance_joined, from.value, {}, downstreams.size()});
  }
  m_evaluator.report(from, subscription.tallies, now);
  m_rates.report(from, subscription.rate_notices, now);
  m_quarantine.merge(subscription.evidence, now);
  m_rejection_limits.merge(subscription.rejection_limits, now);
  for (auto const& source : subscription.leaving_endpoints) {
    if (m_registry.note_departure({.source = source, .state = endpoint_state::leaving})) {
      note_endpoint(source.endpoint, out);
    }
  }
  send_state(m_publisher.reply_to(from, published(now), now), out);
}

void control::send_state(outgoing state, control_effects& out) const {
  if (state.needs_new_connection) {
    auto const& downstream = m_publisher.downstreams().all().at(state.to);
    // Each doubling is enough to see how long it lasts.
    if (std::has_single_bit(downstream.losses)) {
      out.events.push_back({control_event::state_repeated, state.to.value,
                            describe(downstream.known), downstream.losses});
    }
  }
  out.messages.push_back(std::move(state));
}

void control::send_referral(base::instance_id const& from, subscription const& subscription,
                            base::monotonic_time now, control_effects& out) {
  auto const leader = other_leader(m_replica);
  out.messages.push_back({from, referral{leader}});
  bool const needs_last_known_state =
      !leader && subscription.is_entry && subscription.known.document_revision == 0;
  if (needs_last_known_state && m_state.revision() != 0) {
    if (auto state = m_publisher.last_known(m_state, m_registry, now)) {
      withhold_cold(*state, now);
      out.messages.push_back({from, std::move(*state)});
    }
  }
}

void control::handle(base::instance_id const& from, document_request const& request,
                     base::monotonic_time now, control_effects& out) {
  auto part =
      is_serving_leader(m_replica, now) ? m_publisher.part_for(from, request) : std::nullopt;
  if (part) {
    send_state(std::move(*part), out);
  }
}

void control::handle(base::instance_id const& /*from*/, relayed_announcements const& relayed,
                     base::monotonic_time now, control_effects& out) {
  // A former leader drops them. Each endpoint announces itself again soon.
  if (m_replica.role() != consensus::role::leader) {
    return;
  }
  for (auto const& announcement : relayed.announcements) {
    // An announcement that its endpoint leaves is not passed on, so such a one is not genuine.
    if (!announcement.is_leaving && !is_reserved(announcement.id)) {
      register_announcement(announcement, now, out);
      apply_departure(announcement.id, out);
    }
  }
}

void control::handle(base::instance_id const& from, update const& update, base::monotonic_time now,
                     control_effects& out) {
  if (m_replica.role() == consensus::role::leader || m_subscriber.is_outdated(update)) {
    return;
  }
  m_subscriber.note_update(update, from, now);
  for (auto const& record : update.endpoints) {
    m_registry.adopt(record, now);
    auto const* adopted = m_registry.find(record.announcement.id);
    if (adopted != nullptr && adopted->announcement == record.announcement) {
      note_cold(record.announcement, now);
    }
    apply_departure(record.announcement.id, out);
  }
  static_cast<void>(m_subscriber.advance(update));
}

void control::handle(base::instance_id const& from, referral const& referral,
                     base::monotonic_time now, control_effects& out) {
  if (referral.leader && *referral.leader != m_replica.self().instance) {
    m_replica.note_member(*referral.leader);
  }
  if (auto const upstream = m_subscriber.follow(referral, from, now)) {
    out.messages.push_back(make_subscription(*upstream));
  }
}

outgoing control::make_subscription(base::instance_id const& upstream) {
  return {upstream, subscription{.known = m_subscriber.known(), .report = ++m_last_subscription},
          m_subscriber.lacks_reply()};
}

// The replicated log.

void control::process_replica_output(base::monotonic_time now, control_effects& out) {
  if (m_monitor.note_role(m_replica, out.events)) {
    change_role(now);
  }
  m_monitor.note_quorum(m_replica, now, out.events);
  if (out.log.restored_snapshot) {
    restore(*out.log.restored_snapshot);
    out.log.restored_snapshot.reset();
  }
  auto const committed = std::exchange(out.log.committed, {});
  for (auto const& entry : committed) {
    apply(entry, now, out);
  }
  if (m_bytes_applied >= m_options.bytes_per_snapshot) {
    m_replica.compact(m_applied, m_state.snapshot(), out.log);
    m_bytes_applied = 0;
  }
  m_evaluator.note(m_state.rollouts(), now);
  m_monitor.note_voters(m_replica, out.events);
  m_voters.note_voters(m_replica.current_configuration(), now);
  if (m_replica.leader()) {
    m_voters.note_leader(now);
  }
  push_changes(now, out);
  answer_pending_calls(now, out);
}

void control::change_role(base::monotonic_time now) {
  m_ordered_services.clear();
  m_has_awaited_voters = false;
  if (m_replica.role() != consensus::role::leader) {
    m_publisher.downstreams().clear();
    return;
  }
  m_leader_since = now;
  m_registry.reset_silence_timers(now);
  m_rates.begin_term(now);
  m_voters.begin_term(now);
}

void control::apply(consensus::log_entry const& entry, base::monotonic_time now,
                    control_effects& out) {
  CATKINLANDING_VERIFY(entry.index == m_applied + 1);
  m_applied = entry.index;
  m_bytes_applied += entry.command.size();
  auto const pending = m_calls.take_committed(entry.index, entry.term);
  if (entry.kind != consensus::entry_kind::command) {
    return;
  }
  m_has_changes = true;
  auto const decoded = decode_command(entry.command);
  CATKINLANDING_VERIFY(decoded.has_value());
  auto const* started = std::get_if<start_rollout>(&*decoded);
  if (started != nullptr) {
    m_ordered_services.erase(started->service);
  }
  auto const* departed = std::get_if<record_departure>(&*decoded);
  auto const order = departed == nullptr ? std::nullopt : decode_order(departed->departure);
  auto const revision = m_state.revision();
  bool const is_changed = m_state.apply(*decoded);
  CATKINLANDING_VERIFY(m_state.revision() >= revision);
  m_evaluator.note(m_state.rollouts(), now);
  if (m_state.revision() > revision) {
    read_cold_rates();
    out.events.push_back({control_event::document_applied, {}, {}, m_state.revision()});
  } else if (order) {
    if (is_changed) {
      apply_order(*order, out);
    }
    answer_order(*order, pending, now, out);
    return;
  } else if (departed != nullptr) {
    apply_departure(departed->departure.source.endpoint, out);
  } else if (is_changed) {
    for (auto const& rollout : m_state.rollouts()) {
      out.events.push_back({control_event::rollout_changed, rollout.service.value,
                            name_of(rollout.state), rollout.number});
    }
  }
  if (!pending) {
    return;
  }
  if (started != nullptr && is_changed) {
    m_evaluator.note_ordered_here(started->service);
  }
  if (departed != nullptr) {
    m_calls.await_confirmation(*pending, published(now).revisions(), now);
  } else {
    answer(*pending, done_here(), out);
  }
}

void control::apply_departure(base::endpoint_id const& id, control_effects& out) {
  auto const* departure = m_state.departures().find(id);
  if (departure != nullptr && m_registry.note_departure(*departure)) {
    note_endpoint(id, out);
  }
}

void control::apply_order(evacuations::order const& order, control_effects& out) {
  bool const is_put_back = !evacuations::takes_out_of_use(order.number);
  m_registry.set_zones_out_of_use(m_state.zones().zones_out_of_use());
  // Other instances receive no announcements, so they could not tell when an endpoint has sent one.
  if (is_put_back && m_replica.role() == consensus::role::leader) {
    await_announcements(order.zone);
  }
  out.events.push_back({control_event::evacuation_changed, order.zone.value,
                        is_put_back ? "in_use" : "out_of_use", order.number});
}

void control::answer_order(evacuations::order const& order, std::optional<call_number> pending,
                           base::monotonic_time now, control_effects& out) {
  if (!pending) {
    return;
  }
  bool const is_in_force =
      m_state.zones().is_out_of_use(order.zone) == evacuations::takes_out_of_use(order.number);
  if (is_in_force) {
    m_calls.await_confirmation(*pending, published(now).revisions(), now);
  } else {
    answer(*pending, {.kind = reply_kind::unavailable}, out);
  }
}

void control::restore(consensus::snapshot const& snapshot) {
  if (snapshot.index == 0) {
    return;
  }
  auto state = replicated_state::from_snapshot(snapshot.state);
  CATKINLANDING_VERIFY(state.has_value());
  m_state = std::move(*state);
  // There is a snapshot only once there were changes.
  m_has_changes = true;
  m_applied = snapshot.index;
  m_bytes_applied = 0;
  m_registry.set_zones_out_of_use(m_state.zones().zones_out_of_use());
  read_cold_rates();
  for (auto const& departure : m_state.departures().all()) {
    m_registry.note_departure(departure);
  }
}

void control::manage_voters(base::monotonic_time now, control_effects& out) {
  auto proposal =
      is_serving_leader(m_replica, now) ? m_voters.next_voters(m_replica, now) : std::nullopt;
  if (!proposal) {
    return;
  }
  control_event_details proposed{control_event::voters_proposed, names_of(proposal->voters),
                                 proposal->reason, proposal->voters.size()};
  // Fails while another configuration change is in progress; retried on the next tick.
  if (m_replica.propose_desired_voters(std::move(proposal->voters), now, out.log)) {
    out.events.push_back(std::move(proposed));
  }
}

void control::inform_former_voters(base::monotonic_time now, control_effects& out) {
  if (!is_serving_leader(m_replica, now)) {
    return;
  }
  for (auto& instance : m_voters.take_former_voters(now)) {
    out.messages.push_back({std::move(instance), referral{m_replica.self().instance}});
  }
}

void control::announce_departure(control_effects& out) const {
  auto const leader = other_leader(m_replica);
  if (m_is_stopping && leader) {
    out.messages.push_back({*leader, departure_notice{}});
  }
}

// Rollouts and subscribed instances.

void control::advance_rollouts(base::monotonic_time now, control_effects& out) {
  if (!is_serving_leader(m_replica, now)) {
    return;
  }
  for (auto const& rollout : m_state.rollouts()) {
    if (auto const next = m_evaluator.next_state(rollout, now)) {
      advance_rollout const advanced{
          .service = rollout.service, .number = rollout.number, .state = *next};
      out.events.push_back(
          {control_event::rollout_decided, rollout.service.value,
           std::string(name_of(*next)) + "," + m_evaluator.describe_evidence(rollout),
           rollout.number});
      // If the log accepts no entry, the next tick retries. A duplicate entry has no effect.
      static_cast<void>(m_replica.propose(encode(command{advanced}), now, out.log));
    }
  }
}

void control::drop_silent_downstreams(base::monotonic_time now, control_effects& out) {
  auto& downstreams = m_publisher.downstreams();
  for (auto const& instance : downstreams.drop_silent(now)) {
    m_rates.release(instance);
    out.events.push_back({control_event::instance_lost, instance.value, {}, downstreams.size()});
  }
}

state_publisher::source control::published(base::monotonic_time now) {
  return {.replica = m_replica,
          .state = m_state,
          .registry = m_registry,
          .rates = m_rates,
          .quarantine = m_quarantine,
          .rejection_limits = m_rejection_limits,
          .is_registry_complete = now >= m_leader_since + m_options.registry_warmup};
}

void control::push_changes(base::monotonic_time now, control_effects& out) {
  if (!is_serving_leader(m_replica, now)) {
    return;
  }
  for (auto& message : m_publisher.push(published(now), now)) {
    send_state(std::move(message), out);
  }
}

void control::note_endpoint(base::endpoint_id const& id, control_effects& out) const {
  auto const* record = m_registry.find(id);
  if (record != nullptr) {
    out.events.push_back({control_event::endpoint_changed, id.value, name_of(record->state),
                          record->announcement.number.incarnation});
  }
}

} // namespace catkinlanding::proxy
