#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace catkinlanding::proxy {

/// Splits an event stream (text/event-stream) at event boundaries, so that only complete events are
/// forwarded and an interrupted stream can be resumed after the last of them.
class event_stream {
public:
  /// Appends bytes and returns the events that they complete; empty if there are none.
  [[nodiscard]] std::string take(std::string_view bytes);

  /// The id of the last event that was returned.
  [[nodiscard]] std::optional<std::string> const& last_id() const { return m_last_id; }
  /// Size of the buffered incomplete event.
  [[nodiscard]] std::size_t partial_bytes() const { return m_partial.size(); }
  [[nodiscard]] std::size_t events() const { return m_events; }
  /// Discards the incomplete event after the stream was interrupted.
  void drop_partial() {
    m_partial.clear();
    m_partial.shrink_to_fit();
  }

private:
  void note_ids(std::string_view whole);

  std::string m_partial;
  std::optional<std::string> m_last_id;
  std::size_t m_events = 0;
};

} // namespace catkinlanding::proxy
