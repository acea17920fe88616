#pragma once

#include <libraries/base/memory_budget.h>
#include <libraries/resources/closing_order.h>
#include <services/daemon/coroutine.h>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

namespace catkinlanding::daemon::connections {

/// The connections of a server, and the memory of their requests. When there are too many of them,
/// or no memory is left for a request that gets on, one of those gives way that do not.
class open_connections {
public:
  struct options {
    /// The server's name in the log.
    char const* server = "";
    /// Memory for the requests of all connections that are being read or served, beyond a few KiB
    /// for each.
    std::size_t request_bytes = 0;
    /// Memory for answers that are kept until their callers read them, likewise.
    std::size_t answer_bytes = 0;
  };

  /// Why a connection was closed in favour of others.
  enum class closing_reason : std::uint8_t { too_many, memory };

  /// One connection, as long as it is open. What it does is told with `begin`, and `serve` while
  /// it must not be closed.
  class entry {
  public:
    /// Shares the others, as connections may be closed after their server at the end of a process.
    entry(std::shared_ptr<open_connections> all, tcp_stream& stream);
    ~entry();
    entry(entry const&) = delete;
    entry& operator=(entry const&) = delete;

    void begin(resources::connection_phase phase);
    void serve();
    /// Tells whether it is one of the connections of which there may only be so many. One that is
    /// not can't give way to another.
    void set_place(bool has_place);
    /// Notes whether the next request came before the answer to the one before was read. Such a
    /// request leaves half of the memory to others.
    void set_pipelined(bool is_pipelined) { m_is_pipelined = is_pipelined; }
    /// Notes that bytes of its request have arrived. A few don't count as progress.
    void note_received(std::size_t bytes);
    /// Take memory for the request: for what is buffered of its header or framing, and for its
    /// body. If there is none, another connection that gets on less is closed, or it is waited a
    /// moment for what others give back. Return false if there is still none.
    [[nodiscard]] awaitable<bool> hold_buffer(std::size_t bytes);
    [[nodiscard]] awaitable<bool> hold_body(std::size_t bytes);
    /// Gives back what the buffer needs no more.
    void shrink_buffer(std::size_t bytes);
    /// Takes memory for an answer. Connections whose callers don't read may be closed for it, those
    /// first that have waited longest. Returns false if there is none.
    [[nodiscard]] bool try_hold_answer(std::size_t bytes);
    /// Give the memory of the body and of the answer back.
    void release_body();
    void release_answer() { m_answer_memory.release(); }
    /// Why this connection has been closed, or is about to be; nothing if it has not.
    [[nodiscard]] std::optional<closing_reason> closing() const { return m_closing; }

  private:
    friend class open_connections;

    [[nodiscard]] awaitable<bool> hold(std::size_t bytes);
    [[nodiscard]] bool try_hold(std::size_t bytes);
    /// Waits until memory was given back, at most until then. Returns false if it was not.
    [[nodiscard]] awaitable<bool> wait_for_memory(base::monotonic_time end);
    void update_held();
    void close(closing_reason reason);
    void unlist();

    std::shared_ptr<open_connections> m_all;
    tcp_stream& m_stream;
    std::uint64_t m_id;
    base::memory_share m_memory;
    base::memory_share m_answer_memory;
    std::size_t m_buffer_bytes = 0;
    std::size_t m_body_bytes = 0;
    std::size_t m_unnoted_bytes = 0;
    bool m_has_place = true;
    bool m_is_pipelined = false;
    std::optional<closing_reason> m_closing;
    std::optional<resources::closing_order::place> m_place;
  };

  /// The time in which an answer is written to a connection. It may be closed meanwhile, if its
  /// caller doesn't read.
  class writing_scope {
  public:
    explicit writing_scope(entry& connection) : m_connection(connection) {
      m_connection.begin(resources::connection_phase::writing);
    }
    ~writing_scope() { m_connection.serve(); }
    writing_scope(writing_scope const&) = delete;
    writing_scope& operator=(writing_scope const&) = delete;

  private:
    entry& m_connection;
  };

  open_connections(boost::asio::io_context& context, options options);

  /// Closes the connection that gives way to a new one. Returns false if there is none.
  [[nodiscard]] bool close_one();
  /// Connections that were closed in favour of others.
  [[nodiscard]] std::uint64_t closed() const { return m_closed; }
  [[nodiscard]] std::size_t size() const { return m_entries.size(); }
  [[nodiscard]] std::size_t request_bytes() const { return m_memory.used_bytes(); }
  [[nodiscard]] std::size_t answer_bytes() const { return m_answer_memory.used_bytes(); }

private:
  [[nodiscard]] bool free_memory(entry const& requester);
  /// Closes the connection that has waited longest for its caller to read. Returns false if there
  /// is none.
  [[nodiscard]] bool close_unread();
  void close(std::uint64_t id, closing_reason reason);
  /// Lets the request go on that has waited longest for memory.
  void note_freed();
  void log_closed(closing_reason reason);

  boost::asio::io_context& m_context;
  options m_options;
  base::memory_budget m_memory;
  base::memory_budget m_answer_memory;
  resources::closing_order m_order;
  std::unordered_map<std::uint64_t, entry*> m_entries;
  /// The requests that wait for memory.
  std::list<steady_timer*> m_waiting;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_closed = 0;
  base::monotonic_time m_next_line{};
};

} // namespace catkinlanding::daemon::connections
