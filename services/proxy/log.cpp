#include <services/daemon/crash_log.h>
#include <services/proxy/log.h>
#include <services/proxy/log_sink.h>

#include <spdlog/async.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

namespace catkinlanding::proxy {

namespace {

constexpr std::size_t max_queued_lines = 4096;

} // namespace

void start_log(std::string const& instance, std::string const& level) {
  spdlog::init_thread_pool(max_queued_lines, 1);
  // Only the pool's own thread writes to the sink, so the pool outlives each use of the pointer.
  // While the log is stopped, that thread must not ask spdlog for the pool: the stop holds the lock
  // and waits for the thread.
  auto* const pool = spdlog::thread_pool().get();
  auto sink = std::make_shared<log_sink>(log_sink::options{
      .descriptor = STDOUT_FILENO, .dropped_before = [pool] { return pool->overrun_counter(); }});
  auto logger =
      std::make_shared<spdlog::async_logger>("proxy", std::move(sink), spdlog::thread_pool(),
                                             spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l instance=" + instance + " event=%v");
  spdlog::set_default_logger(std::move(logger));
  set_log_level(level);
  daemon::install_crash_log({.descriptor = STDOUT_FILENO,
                             .before_time = "",
                             .time_separator = 'T',
                             .after_time = " level=critical instance=" + instance + " event="});
}

void set_log_level(std::string const& level) {
  spdlog::set_level(spdlog::level::from_str(level));
}

void stop_log() {
  spdlog::shutdown();
}

} // namespace catkinlanding::proxy
