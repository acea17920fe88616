#include <services/proxy/exchange.h>

namespace catkinlanding::proxy {

open_request exchange::progress() const {
  open_request made{.state = open_request_state::awaiting_state,
                    .id = m_id,
                    .events = m_forwarder.events().events(),
                    .header_at = m_started_at,
                    .last_byte_at = m_last_byte_at};
  if (m_caller_timeout) {
    made.caller_deadline = m_started_at + *m_caller_timeout;
  }
  if (m_is_done) {
    // Its answer is being written.
    made.state = open_request_state::answering;
    return made;
  }
  auto const* active = m_context.router.find(m_number);
  if (active == nullptr) {
    return made;
  }
  made.state =
      m_forwarder.has_begun() ? open_request_state::answering : open_request_state::awaiting_answer;
  made.route = active->route->name;
  // What goes on is described, not what may take its place.
  auto const& attempt = active->held ? active->held->state : active->current;
  bool const is_relayed = active->is_relaying && !active->held;
  made.endpoint = is_relayed ? active->relays.back().value : attempt.endpoint.value;
  made.attempt = attempt.number;
  if (active->is_attempting || active->held) {
    made.progress_at = attempt.progress_at;
  }
  if (!made.caller_deadline) {
    made.caller_deadline = m_started_at + active->route->timeout;
  }
  return made;
}

} // namespace catkinlanding::proxy
