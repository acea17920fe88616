#pragma once

#include <services/daemon/connections/open_connections.h>
#include <services/daemon/coroutine.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <list>
#include <memory>

namespace catkinlanding::daemon::connections {

/// The places of a server's connections, of which there are only so many. A connection that comes
/// while all are taken by requests in flight waits a moment for one, as requests end within some
/// milliseconds; it is to be refused then, while its caller may still find another instance.
class places {
public:
  /// One connection's place, or its wait for one. Its end gives the place to the connection that
  /// has waited longest.
  class holder {
  public:
    /// Takes the place that `make_place` has made, or none. It must end before the entry.
    holder(std::shared_ptr<places> all, open_connections::entry& entry, bool has_place);
    ~holder();
    holder(holder const&) = delete;
    holder& operator=(holder const&) = delete;

    /// Waits for the place. Returns false if there was none in time.
    [[nodiscard]] awaitable<bool> wait();
    /// Gives the place to the connection that has waited longest. Returns false if none waits. The
    /// connection has to end afterwards; it still counts until then.
    [[nodiscard]] bool give_way() { return m_all->grant_to_first(); }

  private:
    friend class places;

    std::shared_ptr<places> m_all;
    open_connections::entry& m_entry;
    bool m_has_place;
    /// Ends the wait, while there is one.
    steady_timer* m_wakeup = nullptr;
  };

  places(boost::asio::io_context& context, std::shared_ptr<open_connections> open, std::size_t max)
      : m_context(context), m_open(std::move(open)), m_max(max) {}

  /// Whether a new connection gets a place: one is free, or another connection has given way.
  [[nodiscard]] bool make_place() { return m_taken < m_max || m_open->close_one(); }
  /// Whether a connection may come without a place, to wait or to be refused.
  [[nodiscard]] bool may_wait() const;

private:
  bool grant_to_first();

  boost::asio::io_context& m_context;
  std::shared_ptr<open_connections> m_open;
  std::size_t m_max;
  std::size_t m_taken = 0;
  std::size_t m_placeless = 0;
  /// Those that have waited longest come first.
  std::list<holder*> m_waiting;
};

} // namespace catkinlanding::daemon::connections
