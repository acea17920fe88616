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
  made.endpoint = active->is_relaying ? active->relays.back().value : active->endpoint.value;
  made.attempt = static_cast<std::uint32_t>(active->tried.size());
  if (active->is_attempting) {
    made.progress_at = active->progress_at;
  }
  if (!made.caller_deadline) {
    made.caller_deadline = m_started_at + active->route->timeout;
  }
  return made;
}

} // namespace catkinlanding::proxy
