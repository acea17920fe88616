#include <libraries/base/broken_invariant.h>
#include <services/daemon/crash_log.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <poll.h>
#include <string_view>
#include <tuple>
#include <unistd.h>

namespace catkinlanding::daemon {

namespace {

constexpr std::array crash_signals{SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV};
/// How long the line waits for room in the log.
constexpr std::chrono::milliseconds patience{100};
/// A handler's own stack, as the main thread's may be what overflowed.
constexpr std::size_t handler_stack_bytes = 64UL * 1024;

/// A text of bounded size that a signal handler can build: without memory allocation or locks.
template<std::size_t Capacity>
class bounded_text {
public:
  void append(std::string_view text) {
    auto const size = std::min(text.size(), Capacity - m_size);
    std::copy_n(text.begin(), size, m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
    m_size += size;
  }

  /// Appends a value in quotation marks, without the characters that would end it or the line.
  void append_quoted(std::string_view text) {
    append("\"");
    for (char const character : text) {
      bool const is_control = static_cast<unsigned char>(character) < ' ';
      char const kept = is_control ? ' ' : character == '"' ? '\'' : character;
      append({&kept, 1});
    }
    append("\"");
  }

  void append(std::int64_t number, std::size_t min_digits = 1) {
    std::array<char, 24> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    auto const size = static_cast<std::size_t>(end - digits.data());
    for (auto missing = size; missing < min_digits; ++missing) {
      append("0");
    }
    append({digits.data(), size});
  }

  [[nodiscard]] std::string_view view() const { return {m_bytes.data(), m_size}; }
  [[nodiscard]] bool is_empty() const { return m_size == 0; }

private:
  std::array<char, Capacity> m_bytes{};
  std::size_t m_size = 0;
};

/// What the handlers use. It is complete before they are installed.
struct crash_state {
  int descriptor = 1;
  bounded_text<32> before_time;
  char time_separator = ' ';
  bounded_text<512> after_time;
  std::chrono::seconds utc_offset{};
  /// What the exception that ends the process says of itself.
  bounded_text<512> exception;
  std::terminate_handler previous_terminate_handler = nullptr;
  alignas(std::max_align_t) std::array<char, handler_stack_bytes> stack{};
};

crash_state state;

using line_text = bounded_text<2048>;

/// Appends the local time. The offset of the time zone is that of the program's start.
void append_time(line_text& line) {
  timespec time{};
  ::clock_gettime(CLOCK_REALTIME, &time);
  auto const local = std::chrono::seconds(time.tv_sec) + state.utc_offset;
  auto const day = std::chrono::floor<std::chrono::days>(local);
  std::chrono::year_month_day const date{std::chrono::sys_days(day)};
  std::chrono::hh_mm_ss const clock(local - day);
  line.append(static_cast<int>(date.year()), 4);
  line.append("-");
  line.append(static_cast<unsigned>(date.month()), 2);
  line.append("-");
  line.append(static_cast<unsigned>(date.day()), 2);
  line.append({&state.time_separator, 1});
  line.append(clock.hours().count(), 2);
  line.append(":");
  line.append(clock.minutes().count(), 2);
  line.append(":");
  line.append(clock.seconds().count(), 2);
  line.append(".");
  constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
  line.append(time.tv_nsec / nanoseconds_per_millisecond, 3);
}

void append_reason(line_text& line) {
  bounded_text<1024> reason;
  if (auto const* broken = base::first_broken_invariant()) {
    reason.append("invariant broken: ");
    reason.append(broken->condition);
    reason.append(" at ");
    reason.append(broken->file);
    reason.append(":");
    reason.append(broken->line);
  } else if (!state.exception.is_empty()) {
    reason.append("exception: ");
    reason.append(state.exception.view());
  } else {
    reason.append("-");
  }
  line.append_quoted(reason.view());
}

void write_line(line_text const& line) {
  pollfd waiting{.fd = state.descriptor, .events = POLLOUT, .revents = 0};
  bool const is_ready = ::poll(&waiting, 1, static_cast<int>(patience.count())) > 0;
  bool const has_reader = (waiting.revents & POLLERR) == 0;
  if (is_ready && has_reader) {
    std::ignore = ::write(state.descriptor, line.view().data(), line.view().size());
  }
}

/// Runs with the default action restored.
void on_crash(int signal, siginfo_t* info, void* /*context*/) {
  int const previous_error = errno;
  line_text line;
  line.append(state.before_time.view());
  append_time(line);
  line.append(state.after_time.view());
  line.append("process crashed signal=");
  line.append(signal);
  line.append(" reason=");
  append_reason(line);
  line.append("\n");
  write_line(line);
  errno = previous_error;
  // A faulty instruction runs again after the return, and ends the process with the details of its
  // fault. A signal that was sent does not come again by itself.
  if (info->si_code <= 0) {
    ::raise(signal);
  }
}

void note_exception() noexcept {
  auto const current = std::current_exception();
  if (!current) {
    return;
  }
  try {
    std::rethrow_exception(current);
  } catch (std::exception const& exception) {
    state.exception.append(exception.what());
  } catch (...) {
    state.exception.append("of an unknown type");
  }
}

[[noreturn]] void on_terminate() {
  note_exception();
  // Tells standard error, and aborts.
  state.previous_terminate_handler();
  std::abort();
}

std::chrono::seconds current_utc_offset() {
  auto const time = std::time(nullptr);
  std::tm local{};
  ::localtime_r(&time, &local);
  return std::chrono::seconds(local.tm_gmtoff);
}

} // namespace

void install_crash_log(crash_log_options const& options) {
  state.descriptor = options.descriptor;
  state.before_time = {};
  state.before_time.append(options.before_time);
  state.time_separator = options.time_separator;
  state.after_time = {};
  state.after_time.append(options.after_time);
  state.utc_offset = current_utc_offset();
  if (state.previous_terminate_handler == nullptr) {
    state.previous_terminate_handler = std::set_terminate(on_terminate);
  }
  stack_t stack{};
  stack.ss_sp = state.stack.data();
  stack.ss_size = state.stack.size();
  ::sigaltstack(&stack, nullptr);
  for (int const signal : crash_signals) {
    struct sigaction action {};
    action.sa_sigaction = on_crash;
    // The flags of the system are signed.
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
    ::sigaction(signal, &action, nullptr);
  }
}

} // namespace catkinlanding::daemon
