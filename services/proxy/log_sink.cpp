#include <services/proxy/log_sink.h>

#include <poll.h>
#include <string>
#include <unistd.h>

namespace catkinlanding::proxy {

namespace {

/// A pipe that has any room takes this much without blocking; longer lines are cut off.
constexpr std::size_t max_line_bytes = 4096;

} // namespace

void log_sink::sink_it_(spdlog::details::log_msg const& line) {
  if (!tell_losses() || !write(line)) {
    ++m_dropped_here;
  }
}

bool log_sink::has_room() {
  constexpr std::chrono::milliseconds none{0};
  auto const patience = m_is_blocked ? none : m_options.patience;
  pollfd waiting{.fd = m_options.descriptor, .events = POLLOUT, .revents = 0};
  bool const is_ready = ::poll(&waiting, 1, static_cast<int>(patience.count())) > 0;
  bool const has_reader = (waiting.revents & POLLERR) == 0;
  m_is_blocked = !is_ready || !has_reader;
  return !m_is_blocked;
}

bool log_sink::write(spdlog::details::log_msg const& line) {
  if (!has_room()) {
    return false;
  }
  spdlog::memory_buf_t text;
  formatter_->format(line, text);
  if (text.size() > max_line_bytes) {
    text.resize(max_line_bytes);
    text[max_line_bytes - 1] = '\n';
  }
  return ::write(m_options.descriptor, text.data(), text.size()) ==
         static_cast<ssize_t>(text.size());
}

bool log_sink::tell_losses() {
  auto const dropped = m_dropped_here + (m_options.dropped_before ? m_options.dropped_before() : 0);
  if (dropped == m_told) {
    return true;
  }
  auto const text = "log lines_lost lines=" + std::to_string(dropped - m_told);
  if (!write(spdlog::details::log_msg("", spdlog::level::warn, text))) {
    return false;
  }
  m_told = dropped;
  return true;
}

} // namespace catkinlanding::proxy
