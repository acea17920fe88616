#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace catkinlanding::proxy {

/// Cuts a stream of events (text/event-stream) at the ends of events, so that only whole ones are
/// passed on and a broken stream can be continued behind the last of them.
class event_stream {
public:
  /// Adds bytes, and gives back the whole events that they complete; empty where they complete
  /// none.
  [[nodiscard]] std::string take(std::string_view bytes);

  /// The id of the last event that was given back.
  [[nodiscard]] std::optional<std::string> const& last_id() const { return m_last_id; }
  /// Bytes of an event that is not whole yet.
  [[nodiscard]] std::size_t partial_bytes() const { return m_partial.size(); }
  [[nodiscard]] std::size_t events() const { return m_events; }
  /// Drops the event that is not whole: its stream is broken.
  void drop_partial() { m_partial.clear(); }

private:
  void note_ids(std::string_view whole);

  std::string m_partial;
  std::optional<std::string> m_last_id;
  std::size_t m_events = 0;
};

} // namespace catkinlanding::proxy
