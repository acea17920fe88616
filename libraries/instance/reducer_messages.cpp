#include <libraries/base/overloaded.h>
#include <libraries/instance/reducer.h>
#include <libraries/instance/send_all.h>

#include <algorithm>

namespace catkinlanding::instance {

void reducer::receive(base::instance_id const& from, consensus::message const& message,
                      base::monotonic_time now, effects& out) {
  if (m_control) {
    control_effects control;
    m_control->receive(from, message, now, control);
    emit(std::move(control), now, out);
  }
}

void reducer::receive(base::instance_id const& from, distribution::message const& message,
                      base::monotonic_time now, effects& out) {
  distribution::effects replies;
  if (auto const* poll = std::get_if<distribution::poll>(&message)) {
    if (m_control) {
      // The subscriber of a leader that has just obtained its lease may lag behind the log.
      update_catalogue_from_log(now, out);
    }
    auto const own = m_subscriber.document().revision();
    auto const before = m_publisher.summary(own, now).in_force;
    m_publisher.receive(from, *poll, m_subscriber, grant_until(now), now, replies);
    if (m_publisher.summary(own, now).in_force > before) {
      m_subscriber.poll_on_next_tick();
    }
    send_all(replies, out);
    return;
  }
  if (m_subscriber.receive(from, std::get<distribution::update>(message), now)) {
    publish(now, out);
  }
}

void reducer::receive(base::instance_id const& /*from*/, routing::message const& message,
                      base::monotonic_time now, effects& /*out*/) {
  m_chooser.receive(message, now);
}

void reducer::receive(base::instance_id const& from, rollouts::message const& message,
                      base::monotonic_time now, effects& /*out*/) {
  m_rollout_exchange.receive(from, message, now);
}

void reducer::receive(base::instance_id const& from, limits::message const& message,
                      base::monotonic_time now, effects& out) {
  if (auto const* grant = std::get_if<limits::share_grant>(&message)) {
    if (m_share_relay && from != m_options.self) {
      m_relay_source.note_answer();
      m_share_relay->receive(*grant, now);
      return;
    }
    m_share_source.note_answer();
    m_limiter.receive(*grant, now);
    return;
  }
  if (m_share_relay) {
    auto grant = m_share_relay->receive(from, std::get<limits::share_request>(message),
                                        limits::limits_in(m_subscriber.document()), now);
    out.emplace_back(send{.to = from, .message = limits::message{std::move(grant)}});
    return;
  }
  // The lease is checked again, because this may be the first event after the process was
  // suspended.
  if (m_share_allocator && m_control->replica().holds_lease(now)) {
    auto grant = m_share_allocator->receive(from, std::get<limits::share_request>(message),
                                            limits::limits_in(m_subscriber.document()), now);
    out.emplace_back(send{.to = from, .message = limits::message{std::move(grant)}});
  }
}

void reducer::receive(base::instance_id const& from, endpoints::message const& message,
                      base::monotonic_time now, effects& /*out*/) {
  m_directory.receive(from, message, now);
}

void reducer::receive(base::instance_id const& from, billing::message const& message,
                      base::monotonic_time now, effects& out) {
  std::vector<billing::outgoing> replies;
  std::vector<base::request_id> replicated_bills;
  std::visit(
      base::overloaded{
          [&](billing::bill_batch const& batch) {
            if (!m_ledger) {
              return;
            }
            if (auto write = m_ledger->receive(from, batch, replies)) {
              out.emplace_back(write_ledger{std::move(*write)});
            }
          },
          [&](billing::bill_receipt const& receipt) {
            m_outbox.receive(from, receipt, replicated_bills);
          },
          [&](billing::bill_copy const& copy) { m_bill_copies.receive(from, copy, now, replies); },
          [&](billing::copy_receipt const& receipt) {
            m_outbox.receive(from, receipt, replicated_bills);
          },
          [&](billing::bills_settled const& settled) { m_bill_copies.receive(settled); },
      },
      message);
  send_all(replies, out);
  notify_replicated_bills(replicated_bills, now, out);
}

void reducer::receive(base::instance_id const& from, claims::message const& message,
                      base::monotonic_time now, effects& out) {
  if (auto const* decision = std::get_if<claims::decision>(&message)) {
    if (m_claim_client.receive(from, *decision)) {
      handle(requests::event{requests::claim_decided{*decision}}, now, out);
    }
    return;
  }
  if (m_control) {
    control_effects control;
    m_control->receive(std::get<claims::forwarded_action>(message), now, control);
    emit(std::move(control), now, out);
  }
}

void reducer::receive(base::instance_id const& from, sessions::message const& message,
                      base::monotonic_time now, effects& out) {
  if (auto const* decision = std::get_if<sessions::decision>(&message)) {
    auto const requested_at = m_pin_client.receive(from, *decision);
    if (!requested_at) {
      return;
    }
    if (decision->verdict.kind == sessions::verdict_kind::pinned) {
      m_pins.store(decision->key, {.pin = decision->verdict.pin,
                                   .revision = decision->verdict.revision,
                                   .requested_at = *requested_at});
    }
    handle(requests::event{requests::session_decided{.key = decision->key,
                                                     .verdict = decision->verdict.kind}},
           now, out);
    return;
  }
  if (m_control) {
    control_effects control;
    m_control->receive(std::get<sessions::forwarded_proposal>(message), now, control);
    emit(std::move(control), now, out);
  }
}

void reducer::receive(base::instance_id const& from, membership::message const& message,
                      base::monotonic_time now, effects& out) {
  membership::effects answers;
  m_members.receive(from, message, now, answers);
  send_all(answers, out);
  update_members(now, out);
}

} // namespace catkinlanding::instance
