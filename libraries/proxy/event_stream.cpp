#include <libraries/proxy/event_stream.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view returned_end = "\r\n\r\n";
constexpr std::string_view id_field = "id:";
/// A larger buffer is given back once the event that needed it is complete.
constexpr std::size_t max_idle_buffer_bytes = 4UL * 1024;

std::string_view without_return(std::string_view line) {
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

/// Returns the offset after the last complete event, including its blank line; 0 if there is none.
std::size_t end_of_last_event(std::string_view text) {
  auto const plain = text.rfind(event_end);
  auto const returned = text.rfind(returned_end);
  auto const plain_end = plain == std::string_view::npos ? 0 : plain + event_end.size();
  auto const other_end = returned == std::string_view::npos ? 0 : returned + returned_end.size();
  return std::max(plain_end, other_end);
}

} // namespace

std::string event_stream::take(std::string_view bytes) {
  // The earlier bytes hold no complete event, so one ends within the new bytes.
  auto const begin = m_partial.size() - std::min(m_partial.size(), returned_end.size() - 1);
  m_partial.append(bytes);
  auto const end_in_new = end_of_last_event(std::string_view(m_partial).substr(begin));
  if (end_in_new == 0) {
    return {};
  }
  auto const end = begin + end_in_new;
  auto whole = m_partial.substr(0, end);
  m_partial.erase(0, end);
  if (m_partial.capacity() > max_idle_buffer_bytes) {
    m_partial.shrink_to_fit();
  }
  note_ids(whole);
  return whole;
}

void event_stream::note_ids(std::string_view whole) {
  bool is_in_event = false;
  while (!whole.empty()) {
    auto const end = whole.find('\n');
    auto const line = without_return(whole.substr(0, end));
    whole.remove_prefix(end == std::string_view::npos ? whole.size() : end + 1);
    if (line.empty()) {
      m_events += is_in_event ? 1 : 0;
      is_in_event = false;
      continue;
    }
    is_in_event = true;
    if (line.starts_with(id_field)) {
      auto value = line.substr(id_field.size());
      if (value.starts_with(' ')) {
        value.remove_prefix(1);
      }
      m_last_id = std::string(value);
    }
  }
}

} // namespace catkinlanding::proxy
