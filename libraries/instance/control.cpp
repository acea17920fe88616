#include <libraries/base/overloaded.h>
#include <libraries/base/verify.h>
#include <libraries/instance/control.h>
#include <libraries/voters/tolerated_losses.h>

#include <algorithm>
#include <set>

namespace catkinlanding::instance {

namespace {

operators::refusal refusal_for(consensus::propose_error error) {
  switch (error) {
  case consensus::propose_error::not_leader:
    return {operators::refusal_kind::no_leader};
  case consensus::propose_error::overloaded:
    return {operators::refusal_kind::overloaded};
  case consensus::propose_error::configuration_pending:
    return {operators::refusal_kind::configuration_pending};
  case consensus::propose_error::already_initialised:
    return {operators::refusal_kind::already_founded};
  }
  return {operators::refusal_kind::outcome_unknown};
}

/// Whether a group that tolerates the loss of a disk would tolerate none with these voters.
/// Operators may make a group smaller, but not by an order that leaves a name out or has one twice.
bool ends_fault_tolerance(std::vector<base::instance_id> const& present,
                          std::vector<base::instance_id> const& ordered) {
  std::set<base::instance_id> const distinct(ordered.begin(), ordered.end());
  return voters::max_lost_disks(present.size()) > 0 && voters::max_lost_disks(distinct.size()) == 0;
}

} // namespace

control control::create(options options, consensus::recovered_state const& recovered,
                        base::monotonic_time now) {
  return control(std::move(options), recovered, now);
}

control::control(options options, consensus::recovered_state const& recovered,
                 base::monotonic_time now)
    : m_options(std::move(options)),
      m_replica(consensus::replica::create(m_options.replica, recovered, now)) {
  restore(recovered.snapshot);
}

void control::receive(base::instance_id const& from, consensus::message const& message,
                      base::monotonic_time now, control_effects& out) {
  m_replica.receive(from, message, now, out.log);
  apply_committed(now, out);
}

void control::tick(distribution::publisher const& publisher, rollouts::collector const& evidence,
                   base::monotonic_time now, control_effects& out) {
  m_replica.tick(now, out.log);
  apply_committed(now, out);
  advance_rollouts(evidence, now, out);
  std::erase_if(m_pending_changes, [&](pending_change const& change) {
    auto const reply = change_status(change.outcome, publisher, now);
    bool const is_done = reply.is_in_force_everywhere || now >= change.due;
    if (is_done) {
      answer(change.origin, change.number, reply, out);
    }
    return is_done;
  });
}

void control::complete_write(consensus::write_id id, base::monotonic_time now,
                             control_effects& out) {
  m_replica.complete_write(id, now, out.log);
  apply_committed(now, out);
}

void control::resign(base::monotonic_time now, control_effects& out) {
  m_replica.resign(now, out.log);
  update_leadership(now);
}

void control::receive(operators::forwarded_request const& request,
                      distribution::publisher const& publisher, base::monotonic_time now,
                      control_effects& out) {
  bool const is_founding = std::holds_alternative<operators::found_deployment>(request.request);
  if (!is_founding && m_replica.role() != consensus::role::leader) {
    if (auto const& leader = m_replica.leader();
        leader && leader->instance != m_replica.self().instance) {
      out.operator_messages.push_back({leader->instance, request});
    }
    return;
  }
  if (auto const* apply = std::get_if<operators::apply_change>(&request.request)) {
    auto const index = m_replica.propose(encode(command{apply->change}), now, out.log);
    if (!index) {
      answer(request.origin, request.number, refusal_for(index.error()), out);
      return;
    }
    m_pending_proposals[*index] = {.term = m_replica.term(),
                                   .origin = request.origin,
                                   .number = request.number,
                                   .waits_until_in_force = apply->waits_until_in_force};
  } else {
    auto reply = reply_to(request.request, now, out);
    answer(request.origin, request.number, std::move(reply), out);
  }
  static_cast<void>(publisher);
  apply_committed(now, out);
}

void control::receive(claims::forwarded_action const& forwarded, base::monotonic_time now,
                      control_effects& out) {
  if (m_replica.role() != consensus::role::leader) {
    if (auto const& leader = m_replica.leader();
        leader && leader->instance != m_replica.self().instance) {
      out.claim_messages.push_back({leader->instance, forwarded});
    }
    return;
  }
  claims::command const proposed{.at = log_clock(now), .action = forwarded.action};
  // If the log rejects the proposal, the entry instance sends the action again.
  static_cast<void>(m_replica.propose(encode(command{proposed}), now, out.log));
  apply_committed(now, out);
}

void control::receive(sessions::forwarded_proposal const& forwarded, base::monotonic_time now,
                      control_effects& out) {
  if (m_replica.role() != consensus::role::leader) {
    if (auto const& leader = m_replica.leader();
        leader && leader->instance != m_replica.self().instance) {
      out.session_messages.push_back({leader->instance, forwarded});
    }
    return;
  }
  sessions::command const proposed{.at = log_clock(now), .proposal = forwarded.proposal};
  // If the log rejects the proposal, the entry instance sends it again.
  static_cast<void>(m_replica.propose(encode(command{proposed}), now, out.log));
  apply_committed(now, out);
}

operators::reply control::reply_to(operators::request const& request, base::monotonic_time now,
                                   control_effects& out) {
  auto const done = [](auto const& result) -> operators::reply {
    if (!result) {
      return refusal_for(result.error());
    }
    return operators::done_reply{};
  };
  // Reads must be current, so a leader that may have been replaced rejects them.
  auto const current = [&](operators::reply reply) -> operators::reply {
    if (!m_replica.holds_lease(now)) {
      return operators::refusal{operators::refusal_kind::no_leader};
    }
    return reply;
  };
  return std::visit(
      base::overloaded{
          [&](operators::show_catalogue const&) {
            return current(operators::catalogue_reply{m_state.catalogue().document()});
          },
          [&](operators::show_history const&) {
            auto const& changes = m_state.catalogue().recent_changes();
            return current(operators::history_reply{{changes.begin(), changes.end()}});
          },
          [&](operators::found_deployment const& found) {
            return done(m_replica.initialise(found.voters, now, out.log));
          },
          [&](operators::set_voters const& set) -> operators::reply {
            auto const& present = m_replica.current_configuration().desired_voters;
            if (ends_fault_tolerance(present, set.voters)) {
              return operators::refusal{operators::refusal_kind::malformed};
            }
            return done(m_replica.propose_desired_voters(set.voters, now, out.log));
          },
          [](auto const&) -> operators::reply {
            return operators::refusal{operators::refusal_kind::malformed};
          },
      },
      request);
}

void control::apply_committed(base::monotonic_time now, control_effects& out) {
  update_leadership(now);
  if (out.log.restored_snapshot) {
    restore(*out.log.restored_snapshot);
    out.log.restored_snapshot.reset();
    out.is_catalogue_changed = true;
  }
  auto const committed = std::exchange(out.log.committed, {});
  for (auto const& entry : committed) {
    apply(entry, now, out);
  }
  if (m_applied - m_replica.snapshot_index() >= m_options.entries_per_snapshot) {
    m_replica.compact(m_applied, m_state.encode(), out.log);
  }
}

void control::apply(consensus::log_entry const& entry, base::monotonic_time now,
                    control_effects& out) {
  CATKINLANDING_VERIFY(entry.index == m_applied + 1);
  m_applied = entry.index;
  auto const pending = m_pending_proposals.extract(entry.index);
  if (entry.kind != consensus::entry_kind::command) {
    return;
  }
  auto const decoded = decode_command(entry.command);
  CATKINLANDING_VERIFY(decoded.has_value());
  auto const revision = m_state.catalogue().document().revision();
  auto const result = m_state.apply(*decoded);
  CATKINLANDING_VERIFY(m_state.catalogue().document().revision() >= revision);
  out.is_catalogue_changed |= m_state.catalogue().document().revision() > revision;
  if (auto const* verdict = std::get_if<claims::verdict>(&result)) {
    if (m_replica.role() == consensus::role::leader) {
      auto const& action = std::get<claims::command>(*decoded).action;
      out.claim_messages.push_back({claims::holder_of(action).instance,
                                    claims::decision{.request = claims::request_of(action),
                                                     .holder = claims::holder_of(action),
                                                     .kind = claims::kind_of(action),
                                                     .verdict = *verdict}});
    }
    return;
  }
  if (auto const* verdict = std::get_if<sessions::verdict>(&result)) {
    if (m_replica.role() == consensus::role::leader) {
      auto const& proposal = std::get<sessions::command>(*decoded).proposal;
      out.session_messages.push_back(
          {proposal.instance, sessions::decision{.key = proposal.key,
                                                 .incarnation = proposal.incarnation,
                                                 .number = proposal.number,
                                                 .verdict = *verdict}});
    }
    return;
  }
  if (pending.empty() || pending.mapped().term != entry.term) {
    return;
  }
  auto const& proposal = pending.mapped();
  auto const& outcome = std::get<catalogue::change_outcome>(result);
  bool const is_accepted = outcome.verdict == catalogue::change_verdict::accepted;
  if (proposal.waits_until_in_force && is_accepted) {
    m_pending_changes.push_back({.origin = proposal.origin,
                                 .number = proposal.number,
                                 .outcome = outcome,
                                 .due = now + m_options.in_force_timeout});
    return;
  }
  operators::change_reply reply;
  reply.outcome = outcome;
  if (is_accepted) {
    reply.in_force_within =
        m_options.max_lease_duration + m_state.catalogue().document().time_without_lease();
  }
  answer(proposal.origin, proposal.number, std::move(reply), out);
}

void control::restore(consensus::snapshot const& snapshot) {
  if (snapshot.index == 0) {
    return;
  }
  auto state = replicated_state::decode(snapshot.state);
  CATKINLANDING_VERIFY(state.has_value());
  m_state = std::move(*state);
  m_applied = snapshot.index;
}

void control::update_leadership(base::monotonic_time now) {
  bool const is_leader = m_replica.role() == consensus::role::leader;
  if (is_leader && !m_was_leader) {
    m_leader_since = now;
    m_log_clock_at_election = std::max(m_state.claims().clock(), m_state.sessions().clock());
    m_rollouts.emplace(rollouts::controller::options{}, m_log_clock_at_election, now);
  }
  if (!is_leader && m_was_leader) {
    // No replies are sent: the origin sends its command again to the next leader.
    m_pending_proposals.clear();
    m_pending_changes.clear();
    m_rollouts.reset();
  }
  m_was_leader = is_leader;
}

void control::advance_rollouts(rollouts::collector const& evidence, base::monotonic_time now,
                               control_effects& out) {
  if (!m_rollouts || !m_replica.holds_lease(now)) {
    return;
  }
  auto change = m_rollouts->propose(m_state.catalogue().document(), evidence, now);
  if (!change) {
    return;
  }
  if (!m_replica.propose(encode(command{std::move(*change)}), now, out.log)) {
    m_rollouts->cancel_proposal();
  }
  apply_committed(now, out);
}

base::duration control::log_clock(base::monotonic_time now) const {
  return m_log_clock_at_election + (now - m_leader_since);
}

void control::answer(base::instance_id const& origin, std::uint64_t number, operators::reply reply,
                     control_effects& out) const {
  out.operator_messages.push_back(
      {origin, operators::forwarded_reply{.number = number, .reply = std::move(reply)}});
}

operators::change_reply control::change_status(catalogue::change_outcome const& outcome,
                                               distribution::publisher const& publisher,
                                               base::monotonic_time now) const {
  operators::change_reply reply;
  reply.outcome = outcome;
  auto const revision = m_state.catalogue().document().revision();
  reply.zones = publisher.zones(revision, now);
  // Until then there may be instances that this leader doesn't know and that hold a lease granted
  // by an earlier leader.
  bool const knows_all_leases = now >= m_leader_since + m_options.max_lease_duration;
  reply.is_in_force_everywhere = knows_all_leases && m_replica.holds_lease(now) &&
                                 publisher.is_in_force_everywhere(outcome.revision, revision, now);
  if (!reply.is_in_force_everywhere) {
    reply.in_force_within =
        m_options.max_lease_duration + m_state.catalogue().document().time_without_lease();
  }
  return reply;
}

} // namespace catkinlanding::instance
