#include <services/daemon/caller_protocol.h>
#include <services/daemon/request_log.h>

#include <spdlog/spdlog.h>

#include <array>
#include <utility>

namespace catkinlanding::daemon {

namespace {

constexpr std::size_t max_lines_per_second = 20;
constexpr std::chrono::seconds one_second{1};
constexpr std::array attempt_failure_names{"not_sent", "refused", "error_status", "broken"};
constexpr std::array progress_names{"awaiting_log", "queued", "sent",
                                    "streaming",    "held",   "finalizing"};

auto milliseconds(base::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

char const* name_of(std::optional<requests::attempt_failure_kind> kind) {
  return kind ? attempt_failure_names.at(static_cast<std::size_t>(*kind)) : "none";
}

bool is_lost(requests::reply_failure const& failure) {
  auto const state = failure.failure.run_state;
  return failure.is_answer_started || state == requests::run_state::outcome_unknown ||
         state == requests::run_state::failed;
}

} // namespace

void request_log::lost(requests::reply_failure const& failure, base::monotonic_time now) {
  if (!is_lost(failure)) {
    return;
  }
  if (now >= m_second_began + one_second) {
    m_second_began = now;
    m_lines_in_second = 0;
  }
  if (m_lines_in_second == max_lines_per_second) {
    ++m_unlogged;
    return;
  }
  ++m_lines_in_second;
  spdlog::warn(
      "requests lost request={} reason={} begun={} attempts={} endpoint={} last_failure={} "
      "took_ms={} left_ms={} unlogged_before={}",
      failure.request.value, daemon::name_of(failure.failure.kind), failure.is_answer_started,
      failure.attempts, failure.endpoint.value, name_of(failure.last_failure),
      milliseconds(failure.took), milliseconds(failure.left), std::exchange(m_unlogged, 0));
}

void request_log::stopping(instance::stop_report const& report) {
  spdlog::info("daemon stopping requests={} listed={}", report.requests, report.first.size());
  for (auto const& running : report.first) {
    spdlog::info("daemon stopping request={} progress={} attempts={} endpoint={} left_ms={}",
                 running.request.value,
                 progress_names.at(static_cast<std::size_t>(running.progress)), running.attempts,
                 running.endpoint.value, milliseconds(running.left));
  }
}

} // namespace catkinlanding::daemon
