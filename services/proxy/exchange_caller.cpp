#include <services/daemon/socket_state.h>
#include <services/proxy/exchange.h>

namespace catkinlanding::proxy {

void exchange::watch_for_caller_disconnect() {
  m_caller.socket().async_wait(
      daemon::tcp_socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_is_done) {
          return;
        }
        if (daemon::state_of(self->m_caller.socket()) == daemon::socket_state::closed) {
          self->m_is_caller_gone = true;
          self->close_upstream();
        }
      });
}

void exchange::start_deadline_timer(base::monotonic_time deadline) {
  m_deadline_timer.expires_at(deadline);
  m_deadline_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (!error && !self->m_is_done) {
      self->m_is_expired = true;
      self->close_upstream();
      self->end_unread_answer();
    }
  });
}

void exchange::end_unread_answer() {
  bool const is_unread = m_forwarder.is_writing() && m_forwarder.has_begun() && m_current;
  if (!is_unread) {
    return;
  }
  if (m_current->answer().is_done()) {
    // What has arrived is delivered, also late, but the endpoint has done its work.
    m_context.router.release_slot(m_number);
  } else {
    m_caller.cancel();
  }
}

void exchange::release_request() {
  // A replacement that was closed may still refer to the body.
  if (!m_replacement) {
    std::string().swap(m_request.body());
    m_connection.release_body();
  }
}

} // namespace catkinlanding::proxy
