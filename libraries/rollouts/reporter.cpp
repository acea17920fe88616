#include <libraries/rollouts/reporter.h>

namespace catkinlanding::rollouts {

bool reporter::is_due(base::instance_id const& receiver, base::monotonic_time now) const {
  return !receiver.is_empty() && (receiver != m_receiver || now >= m_due);
}

report reporter::next(base::instance_id const& receiver, tallies counts, base::monotonic_time now) {
  if (receiver != m_receiver) {
    m_receiver = receiver;
    ++m_stream;
    m_sequence = 0;
  }
  m_due = now + m_options.interval;
  report_stamp const stamp{
      .incarnation = m_options.incarnation, .stream = m_stream, .sequence = ++m_sequence};
  return {.scope = m_options.scope, .stamp = stamp, .counts = std::move(counts)};
}

} // namespace catkinlanding::rollouts
