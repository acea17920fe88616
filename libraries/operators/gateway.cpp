#include <libraries/operators/gateway.h>

namespace catkinlanding::operators {

void gateway::submit(command command, base::monotonic_time now, std::vector<outgoing>& messages) {
  auto const number = command.number;
  auto [it, is_new] = m_pending.try_emplace(number, pending{.request = std::move(command.request),
                                                            .expires_at = now + m_options.timeout,
                                                            .resend_at = now,
                                                            .attempts = 0});
  if (is_new) {
    send(number, it->second, now, messages);
  }
}

void gateway::receive(forwarded_reply const& reply, std::vector<answer>& answers) {
  if (m_pending.erase(reply.number) > 0) {
    answers.push_back({reply.number, reply.reply});
  }
}

void gateway::tick(base::monotonic_time now, std::vector<outgoing>& messages,
                   std::vector<answer>& answers) {
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (now >= it->second.expires_at) {
      answers.push_back({it->first, refusal{refusal_kind::outcome_unknown}});
      it = m_pending.erase(it);
      continue;
    }
    if (now >= it->second.resend_at) {
      send(it->first, it->second, now, messages);
    }
    ++it;
  }
}

void gateway::send(std::uint64_t number, pending& pending, base::monotonic_time now,
                   std::vector<outgoing>& messages) {
  pending.resend_at = now + m_options.resend_interval;
  auto const& instances = m_options.control_instances;
  if (instances.empty()) {
    return;
  }
  auto const& to = instances[pending.attempts++ % instances.size()];
  messages.push_back(
      {to, forwarded_request{.origin = m_self, .number = number, .request = pending.request}});
}

} // namespace catkinlanding::operators
