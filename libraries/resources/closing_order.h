#pragma once

#include <libraries/base/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

namespace catkinlanding::resources {

/// What a connection does that may be closed in favour of others. One whose request is being served
/// is not listed at all.
enum class connection_phase : std::uint8_t {
  /// No byte of a request has ever arrived.
  unused,
  /// An answer is being written to it.
  writing,
  /// A part of a request has arrived.
  reading,
  /// It has been answered, and waits for the next request.
  resting,
};

/// Decides which connection is closed first when there are too many of them, or when their requests
/// take up too much memory. Ordinary callers send a request as soon as they have connected, go on
/// sending it, and read the answer; those who do neither for a while go before all others.
class closing_order {
public:
  struct options {
    /// How long a connection may stay unused, and a part of a request may make no progress.
    base::duration max_pause = std::chrono::seconds(1);
    /// How long a caller may take nothing of its answer.
    base::duration max_write_pause = std::chrono::seconds(2);
  };

  struct member {
    std::uint64_t id = 0;
    connection_phase phase = connection_phase::unused;
    /// When the phase began, or last got on.
    base::monotonic_time since{};
    /// Memory that closing the connection would free.
    std::size_t held_bytes = 0;
  };

  /// A connection that needs more memory for its request.
  struct requester {
    std::uint64_t id = 0;
    std::size_t held_bytes = 0;
  };

  /// Refers to a listed connection until it is removed.
  using place = std::list<member>::iterator;

  closing_order() : closing_order(options{}) {}
  explicit closing_order(options options) : m_options(options) {}

  [[nodiscard]] place add(std::uint64_t id, connection_phase phase, base::monotonic_time now);
  /// Begins another phase, or notes that the current one gets on.
  void move(place place, connection_phase phase, base::monotonic_time now);
  void remove(place place);

  /// The connection that gives way to a new one; nullptr if there is none.
  [[nodiscard]] member const* first_to_close(base::monotonic_time now) const;
  /// The connection whose memory goes to another one that needs more: one that sends nothing, or
  /// reads nothing, or else the one that holds most, if that is more than the requester holds.
  [[nodiscard]] member const* first_to_free(requester requester, base::monotonic_time now) const;
  /// The connection that has waited longest for its caller to read.
  [[nodiscard]] member const* longest_writing() const;
  [[nodiscard]] std::size_t size() const;

private:
  static constexpr std::size_t phases = 4;

  [[nodiscard]] std::list<member>& list_of(connection_phase phase) {
    return m_members.at(static_cast<std::size_t>(phase));
  }
  [[nodiscard]] std::list<member> const& list_of(connection_phase phase) const {
    return m_members.at(static_cast<std::size_t>(phase));
  }
  /// The longest in this phase, if that is longer than the pause.
  [[nodiscard]] member const* overdue(connection_phase phase, base::duration max_pause,
                                      base::monotonic_time now) const;

  options m_options;
  /// By phase; those whose progress lies back furthest come first.
  std::array<std::list<member>, phases> m_members;
};

} // namespace catkinlanding::resources
