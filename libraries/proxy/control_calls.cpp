#include <libraries/proxy/control.h>
#include <libraries/proxy/evacuation_codec.h>
#include <libraries/proxy/voter_policy.h>

namespace catkinlanding::proxy {

void control::process_request(call_number number, replace_document const& request,
                              base::monotonic_time now, control_effects& out) {
  if (request.document.revision <= m_state.revision()) {
    // This document or a newer one is already in force, so there is nothing to change.
    answer(number, {.kind = reply_kind::done}, out);
    return;
  }
  propose(number, request, now, out);
}

void control::process_request(call_number number, start_rollout const& request,
                              base::monotonic_time now, control_effects& out) {
  auto const* known = m_state.find_rollout(request.service);
  auto const order = m_ordered_services.contains(request.service)
                         ? rollout_order::undecided
                         : m_evaluator.classify_start(request.target, known, now);
  out.events.push_back({control_event::rollout_requested, request.service.value,
                        m_evaluator.describe_start(order, request.target, known, now),
                        known == nullptr ? 0 : known->number});
  if (order == rollout_order::new_rollout) {
    if (propose(number, request, now, out)) {
      m_ordered_services.insert(request.service);
    }
  } else {
    answer(number, {.kind = reply_to(order)}, out);
  }
}

void control::process_request(call_number number, announce_endpoint const& request,
                              base::monotonic_time now, control_effects& out) {
  auto const& announcement = request.announcement;
  if (is_reserved(announcement.id)) {
    answer(number, {.kind = reply_kind::unavailable}, out);
    return;
  }
  if (register_announcement(announcement, now, out) == announcement_outcome::refused) {
    answer(number, {.kind = reply_kind::unavailable}, out);
    return;
  }
  if (announcement.is_leaving) {
    acknowledge(number,
                {.source = {announcement.id, announcement.number.incarnation},
                 .state = endpoint_state::leaving},
                now, out);
    return;
  }
  apply_departure(announcement.id, out);
  answer(number, done_here(), out);
}

announcement_outcome control::register_announcement(endpoint_announcement const& announcement,
                                                    base::monotonic_time now,
                                                    control_effects& out) {
  auto const outcome = m_registry.announce(announcement, now);
  if (outcome == announcement_outcome::refreshed || outcome == announcement_outcome::changed) {
    note_cold(announcement, now);
  }
  if (outcome == announcement_outcome::changed) {
    note_endpoint(announcement.id, out);
  }
  return outcome;
}

void control::process_request(call_number number, withdraw_endpoint const& request,
                              base::monotonic_time now, control_effects& out) {
  if (is_reserved(request.endpoint)) {
    answer(number, {.kind = reply_kind::unavailable}, out);
    return;
  }
  auto const* known = m_registry.find(request.endpoint);
  auto const known_incarnation =
      known == nullptr ? any_incarnation : known->announcement.number.incarnation;
  auto const incarnation = request.incarnation.value_or(known_incarnation);
  bool const covers_known = known != nullptr && known_incarnation <= incarnation;
  if (covers_known && m_registry.withdraw(request.endpoint, now) == announcement_outcome::changed) {
    note_endpoint(request.endpoint, out);
  }
  acknowledge(number, {.source = {request.endpoint, incarnation}, .state = endpoint_state::gone},
              now, out);
}

void control::process_evacuation(call_number number, base::availability_zone_id const& zone,
                                 bool is_out_of_use, base::monotonic_time now,
                                 control_effects& out) {
  auto const& zones = m_state.zones();
  m_proposed_orders.update(m_replica.term(), zones);
  auto const note = [&](std::string const& outcome, std::uint64_t order_number) {
    out.events.push_back({control_event::evacuation_requested, zone.value,
                          (is_out_of_use ? "begin," : "end,") + outcome, order_number});
  };
  bool const is_in_force =
      zones.is_out_of_use(zone) == is_out_of_use && !m_proposed_orders.is_pending(zone);
  if (is_in_force) {
    note("in_force", zones.number_of(zone));
    m_calls.await_confirmation(number, published(now).revisions(), now);
    return;
  }
  auto const order = m_proposed_orders.make_order(zone, is_out_of_use, zones);
  if (!order) {
    note("too_many_zones", 0);
    answer(number, {.kind = reply_kind::unavailable}, out);
    return;
  }
  bool const is_proposed = propose(number, record_departure{encode_order(*order)}, now, out);
  if (is_proposed) {
    m_proposed_orders.note_proposed(*order);
  }
  note(is_proposed ? "proposed" : "log_unavailable", order->number);
}

bool control::accept_for_leader(call_request const& request) {
  auto const* announced = std::get_if<announce_endpoint>(&request);
  // That an endpoint leaves is acknowledged by the leader only, once the entry instances know.
  bool const may_accept = announced != nullptr && !is_reserved(announced->announcement.id) &&
                          !announced->announcement.is_leaving &&
                          other_leader(m_replica).has_value();
  return may_accept && m_relay.add(announced->announcement);
}

void control::relay_announcements(base::monotonic_time now, control_effects& out) {
  bool const is_leader = m_replica.role() == consensus::role::leader;
  auto const leader =
      is_leader ? std::optional(m_replica.self().instance) : other_leader(m_replica);
  if (!leader) {
    return;
  }
  for (auto& relayed : m_relay.take()) {
    if (is_leader) {
      handle(m_replica.self().instance, relayed, now, out);
    } else {
      out.messages.push_back({*leader, std::move(relayed)});
    }
  }
}

void control::acknowledge(call_number number, endpoint_departure const& departure,
                          base::monotonic_time now, control_effects& out) {
  if (m_state.departures().covers(departure)) {
    m_calls.await_confirmation(number, published(now).revisions(), now);
    return;
  }
  propose(number, record_departure{departure}, now, out);
}

bool control::refuses_first_change(base::monotonic_time now, control_effects& out) {
  if (m_has_changes || !m_voters.awaits_voters(m_replica, now)) {
    return false;
  }
  auto const& voters = m_replica.current_configuration().voters;
  if (!std::exchange(m_has_awaited_voters, true)) {
    out.events.push_back({control_event::voters_awaited, names_of(voters), {}, voters.size()});
  }
  return true;
}

bool control::propose(call_number number, command const& command, base::monotonic_time now,
                      control_effects& out) {
  if (refuses_first_change(now, out)) {
    answer(number, {.kind = reply_kind::unavailable}, out);
    return false;
  }
  auto const index = m_replica.propose(encode(command), now, out.log);
  if (!index) {
    answer(number, {.kind = reply_kind::unavailable}, out);
    return false;
  }
  m_calls.await_commit(*index, m_replica.term(), number, now);
  return true;
}

void control::answer_pending_calls(base::monotonic_time now, control_effects& out) {
  for (auto const number : m_calls.take_expired(m_replica.term(), now)) {
    answer(number, {.kind = reply_kind::unavailable}, out);
  }
  for (auto const number : m_calls.take_confirmed(m_publisher.downstreams(), now)) {
    answer(number, done_here(), out);
  }
}

} // namespace catkinlanding::proxy
