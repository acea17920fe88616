#include <services/daemon/connections/open_connections.h>

#include <algorithm>

namespace catkinlanding::daemon::connections {

namespace {

using resources::connection_phase;

/// Limits the rate of log lines while there are too many connections.
constexpr std::chrono::seconds line_interval{1};
/// Bytes that count as progress. A caller that sends one at a time makes none.
constexpr std::size_t min_progress_bytes = 4UL * 1024;
/// A request may take up as much as it leaves free.
constexpr std::size_t free_memory_divisor = 1;

/// How long a request waits for memory. It is refused afterwards, while its caller may still find
/// another instance.
constexpr std::chrono::milliseconds max_wait{500};
/// Requests that may wait for memory. What they have read already is not accounted for.
constexpr std::size_t max_waiting = 16;

char const* name_of(open_connections::closing_reason reason) {
  return reason == open_connections::closing_reason::too_many ? "too_many" : "memory";
}

/// The place of a timer in a list, also if its coroutine is destroyed while it waits.
class waiting_place {
public:
  waiting_place(std::list<steady_timer*>& waiting, steady_timer& timer)
      : m_waiting(waiting), m_timer(timer) {
    m_waiting.push_back(&m_timer);
  }
  ~waiting_place() { m_waiting.remove(&m_timer); }
  waiting_place(waiting_place const&) = delete;
  waiting_place& operator=(waiting_place const&) = delete;

private:
  std::list<steady_timer*>& m_waiting;
  steady_timer& m_timer;
};

} // namespace

open_connections::entry::entry(std::shared_ptr<open_connections> all, tcp_stream& stream)
    : m_all(std::move(all)), m_stream(stream), m_id(++m_all->m_last_id), m_memory(m_all->m_memory),
      m_answer_memory(m_all->m_answer_memory) {
  m_all->m_entries.emplace(m_id, this);
  begin(connection_phase::unused);
}

open_connections::entry::~entry() {
  unlist();
  m_all->m_entries.erase(m_id);
  m_memory.release();
  m_all->note_freed();
}

void open_connections::entry::begin(connection_phase phase) {
  m_unnoted_bytes = 0;
  if (m_place) {
    m_all->m_order.move(*m_place, phase, now());
  } else if (!m_closing && m_has_place) {
    m_place = m_all->m_order.add(m_id, phase, now());
  }
  update_held();
}

void open_connections::entry::serve() {
  unlist();
}

void open_connections::entry::set_place(bool has_place) {
  m_has_place = has_place;
  if (!has_place) {
    unlist();
  }
}

void open_connections::entry::note_received(std::size_t bytes) {
  m_unnoted_bytes += bytes;
  if (m_unnoted_bytes >= min_progress_bytes) {
    begin(connection_phase::reading);
  }
}

awaitable<bool> open_connections::entry::hold_buffer(std::size_t bytes) {
  bool const is_held = co_await hold(bytes + m_body_bytes);
  m_buffer_bytes = is_held ? bytes : m_buffer_bytes;
  co_return is_held;
}

awaitable<bool> open_connections::entry::hold_body(std::size_t bytes) {
  bool const is_held = co_await hold(bytes + m_buffer_bytes);
  m_body_bytes = is_held ? bytes : m_body_bytes;
  co_return is_held;
}

void open_connections::entry::shrink_buffer(std::size_t bytes) {
  m_buffer_bytes = std::min(bytes, m_buffer_bytes);
  // A smaller share is always allowed.
  static_cast<void>(try_hold(m_buffer_bytes + m_body_bytes));
}

awaitable<bool> open_connections::entry::hold(std::size_t bytes) {
  if (try_hold(bytes)) {
    co_return true;
  }
  auto const end = now() + max_wait;
  while (co_await wait_for_memory(end)) {
    if (try_hold(bytes)) {
      // There may be enough for the next one too.
      m_all->note_freed();
      co_return true;
    }
  }
  co_return false;
}

awaitable<bool> open_connections::entry::wait_for_memory(base::monotonic_time end) {
  if (m_closing || now() >= end || m_all->m_waiting.size() >= max_waiting) {
    co_return false;
  }
  steady_timer wakeup(m_all->m_context);
  wakeup.expires_at(end);
  waiting_place const place(m_all->m_waiting, wakeup);
  auto const [error] = co_await wakeup.async_wait(completion);
  co_return error && !m_closing;
}

void open_connections::entry::release_body() {
  m_body_bytes = 0;
  shrink_buffer(m_buffer_bytes);
  m_all->note_freed();
}

bool open_connections::entry::try_hold_answer(std::size_t bytes) {
  // An answer that is larger than the memory for all takes the place of all others.
  auto const held = std::min(bytes, m_all->m_options.answer_bytes);
  bool is_held = m_answer_memory.try_resize(held);
  while (!is_held && m_all->close_unread()) {
    is_held = m_answer_memory.try_resize(held);
  }
  return is_held;
}

bool open_connections::entry::try_hold(std::size_t bytes) {
  auto const others = m_all->m_memory.used_bytes() - m_memory.bytes();
  bool const is_too_much = m_is_pipelined && bytes > m_memory.bytes() &&
                           others + bytes > m_all->m_options.request_bytes / 2;
  if (is_too_much) {
    return false;
  }
  bool is_held = m_memory.try_resize(bytes);
  while (!is_held && m_all->free_memory(*this)) {
    is_held = m_memory.try_resize(bytes);
  }
  update_held();
  return is_held;
}

void open_connections::entry::update_held() {
  if (m_place) {
    (*m_place)->held_bytes = m_memory.bytes();
  }
}

void open_connections::entry::close(closing_reason reason) {
  m_closing = reason;
  // The reads and writes fail, and the coroutine ends or answers why. Its memory, or its
  // descriptor, is given to another connection at once.
  unlist();
  m_memory.release();
  m_answer_memory.release();
  if (reason == closing_reason::too_many) {
    m_stream.close();
  } else {
    m_stream.cancel();
  }
}

void open_connections::entry::unlist() {
  if (m_place) {
    m_all->m_order.remove(*m_place);
    m_place.reset();
  }
}

open_connections::open_connections(boost::asio::io_context& context, options options)
    : m_context(context), m_options(options),
      m_memory({.max_bytes = options.request_bytes, .free_memory_divisor = free_memory_divisor}),
      m_answer_memory({.max_bytes = options.answer_bytes, .free_memory_divisor = 0}) {}

bool open_connections::close_one() {
  auto const* found = m_order.first_to_close(now());
  if (found == nullptr) {
    return false;
  }
  close(found->id, closing_reason::too_many);
  return true;
}

bool open_connections::close_unread() {
  auto const* found = m_order.longest_writing();
  if (found == nullptr) {
    return false;
  }
  close(found->id, closing_reason::memory);
  return true;
}

bool open_connections::free_memory(entry const& requester) {
  auto const* found = m_order.first_to_free(
      {.id = requester.m_id, .held_bytes = requester.m_memory.bytes()}, now());
  if (found == nullptr) {
    return false;
  }
  close(found->id, closing_reason::memory);
  return true;
}

void open_connections::close(std::uint64_t id, closing_reason reason) {
  m_entries.at(id)->close(reason);
  ++m_closed;
  log_closed(reason);
}

void open_connections::note_freed() {
  if (!m_waiting.empty()) {
    auto* const longest = m_waiting.front();
    m_waiting.pop_front();
    longest->cancel();
  }
}

void open_connections::log_closed(closing_reason reason) {
  auto const time = now();
  if (time < m_next_line) {
    return;
  }
  m_next_line = time + line_interval;
  spdlog::warn("{} connection_closed reason={} connections={} request_bytes={} total={}",
               m_options.server, name_of(reason), m_entries.size(), m_memory.used_bytes(),
               m_closed);
}

} // namespace catkinlanding::daemon::connections
