#include <services/proxy/stop_log.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>

namespace catkinlanding::proxy::stop_log {

namespace {

/// Logged for what a request does not have.
constexpr char const* absent = "-";

/// The whole milliseconds from one time to another, rounded down: negative whenever the other is
/// earlier, by less than a millisecond too.
std::string milliseconds_between(std::optional<base::monotonic_time> from,
                                 std::optional<base::monotonic_time> to) {
  if (!from || !to) {
    return absent;
  }
  return std::to_string(std::chrono::floor<std::chrono::milliseconds>(*to - *from).count());
}

std::string const& or_absent(std::string const& text) {
  static std::string const nothing = absent;
  return text.empty() ? nothing : text;
}

} // namespace

void stopping(int signal, std::size_t active, std::size_t half_read) {
  spdlog::info("process stopping signal={} active={} half_read={}", signal, active, half_read);
}

void cut(std::vector<open_request> const& requests, stop_times const& times) {
  auto const lines = std::min(requests.size(), max_cut_lines);
  for (std::size_t i = 0; i < lines; ++i) {
    auto const& request = requests[i];
    spdlog::warn("entry cut_by_stop request={} route={} state={} endpoint={} attempt={} events={} "
                 "header_ms={} last_byte_ms={} left_ms={} silent_ms={}",
                 or_absent(request.id.value), or_absent(request.route), name_of(request.state),
                 or_absent(request.endpoint), request.attempt, request.events,
                 milliseconds_between(times.signal_at, request.header_at),
                 milliseconds_between(times.signal_at, request.last_byte_at),
                 milliseconds_between(times.end_at, request.caller_deadline),
                 milliseconds_between(request.progress_at, times.end_at));
  }
  if (requests.size() > lines) {
    spdlog::warn("entry cut_by_stop_lines_left_out count={}", requests.size() - lines);
  }
}

} // namespace catkinlanding::proxy::stop_log
