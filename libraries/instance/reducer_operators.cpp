#include <libraries/instance/reducer.h>
#include <libraries/instance/send_all.h>

#include <algorithm>

namespace catkinlanding::instance {

void reducer::handle(operators::command const& event, base::monotonic_time now, effects& out) {
  if (std::holds_alternative<operators::show_status>(event.request)) {
    out.emplace_back(operators::answer{event.number, status(now)});
    return;
  }
  if (std::holds_alternative<operators::drain>(event.request)) {
    out.emplace_back(operators::answer{event.number, operators::done_reply{}});
    handle(stop_requested{}, now, out);
    return;
  }
  if (std::holds_alternative<operators::export_bills>(event.request)) {
    operators::bills_reply reply;
    if (!m_ledger) {
      out.emplace_back(operators::answer{
          event.number, operators::refusal{operators::refusal_kind::not_a_control_instance}});
      return;
    }
    for (auto const& [request, bill] : m_ledger->bills()) {
      reply.bills.push_back(bill);
    }
    out.emplace_back(operators::answer{event.number, std::move(reply)});
    return;
  }
  if (std::holds_alternative<operators::found_deployment>(event.request)) {
    // A deployment is founded on the instance that was asked, so the request is never forwarded.
    if (!m_control) {
      out.emplace_back(operators::answer{
          event.number, operators::refusal{operators::refusal_kind::not_a_control_instance}});
      return;
    }
    std::vector<operators::outgoing> ignored;
    m_gateway.submit(event, now, ignored);
    receive(m_options.self,
            operators::message{operators::forwarded_request{
                .origin = m_options.self, .number = event.number, .request = event.request}},
            now, out);
    return;
  }
  std::vector<operators::outgoing> commands;
  m_gateway.submit(event, now, commands);
  send_all(commands, out);
}

operators::status_reply reducer::status(base::monotonic_time now) const {
  operators::status_reply reply;
  reply.instance = m_options.self;
  reply.zone = m_options.zone;
  reply.revision = m_subscriber.document().revision();
  reply.has_lease = m_subscriber.has_lease(now);
  reply.lease_left = std::max<base::duration>(m_subscriber.lease_until().value_or(now) - now,
                                              base::duration::zero());
  reply.endpoints = static_cast<std::uint32_t>(m_directory.size());
  reply.requests = static_cast<std::uint32_t>(m_requests.size());
  reply.unsettled_bills = static_cast<std::uint32_t>(m_outbox.size());
  reply.zones = m_publisher.zones(m_subscriber.document().revision(), now);
  if (m_control) {
    auto const& replica = m_control->replica();
    reply.role = replica.role();
    reply.term = replica.term();
    reply.commit_index = replica.commit_index();
    reply.configuration = replica.current_configuration();
    if (replica.leader()) {
      reply.leader = replica.leader()->instance;
    }
  }
  return reply;
}

void reducer::receive(base::instance_id const& /*from*/, operators::message const& message,
                      base::monotonic_time now, effects& out) {
  if (auto const* reply = std::get_if<operators::forwarded_reply>(&message)) {
    std::vector<operators::answer> answers;
    m_gateway.receive(*reply, answers);
    std::ranges::move(answers, std::back_inserter(out));
    return;
  }
  if (!m_control) {
    return;
  }
  auto const& request = std::get<operators::forwarded_request>(message);
  if (adds_relay_as_voter(request.request)) {
    operators::refusal const refusal{operators::refusal_kind::not_a_control_instance};
    out.emplace_back(send{.to = request.origin,
                          .message = operators::message{operators::forwarded_reply{
                              .number = request.number, .reply = refusal}}});
    return;
  }
  control_effects control;
  m_control->receive(request, m_publisher, now, control);
  emit(std::move(control), now, out);
}

bool reducer::adds_relay_as_voter(operators::request const& request) const {
  auto const is_relay = [this](base::instance_id const& id) {
    auto const* member = m_members.find(id);
    return member != nullptr && member->is_relay;
  };
  if (auto const* found = std::get_if<operators::found_deployment>(&request)) {
    return std::ranges::any_of(found->voters, is_relay);
  }
  auto const* set = std::get_if<operators::set_voters>(&request);
  return set != nullptr && std::ranges::any_of(set->voters, is_relay);
}

} // namespace catkinlanding::instance
