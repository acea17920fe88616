#pragma once

#include <services/daemon/coroutine.h>

#include <cstdint>
#include <list>

namespace catkinlanding::daemon {

/// The connections of a server that wait for a request or have received a part of one. When the
/// connection limit is reached, the one that has waited longest is closed in favour of a new one.
class waiting_connections {
public:
  /// `server` is the component's name in the log.
  explicit waiting_connections(char const* server) : m_server(server) {}

  /// Lists a connection until the entry is destroyed or `close_longest` chooses it.
  class entry {
  public:
    entry(waiting_connections& all, tcp_stream& stream);
    ~entry();
    entry(entry const&) = delete;
    entry& operator=(entry const&) = delete;

  private:
    friend class waiting_connections;

    waiting_connections& m_all;
    tcp_stream& m_stream;
    bool m_is_listed = true;
    std::list<entry*>::iterator m_place;
  };

  /// Cancels the reads of the connection that has waited longest, which makes its coroutine close
  /// it. Returns whether there was one.
  [[nodiscard]] bool close_longest();
  /// Number of connections closed in this way.
  [[nodiscard]] std::uint64_t closed() const { return m_closed; }

private:
  void log_closed();

  char const* m_server;
  std::list<entry*> m_entries;
  std::uint64_t m_closed = 0;
  std::chrono::steady_clock::time_point m_next_line{};
};

} // namespace catkinlanding::daemon
