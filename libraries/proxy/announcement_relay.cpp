#include <libraries/base/codec.h>
#include <libraries/proxy/announcement_relay.h>

#include <utility>

namespace catkinlanding::proxy {

bool announcement_relay::add(endpoint_announcement const& announcement) {
  auto const found = m_waiting.find(announcement.id);
  if (found == m_waiting.end() && m_waiting.size() >= m_options.max_waiting) {
    return false;
  }
  ++m_accepted;
  if (found == m_waiting.end()) {
    m_waiting.emplace(announcement.id, announcement);
  } else if (found->second.number < announcement.number) {
    found->second = announcement;
  }
  return true;
}

std::vector<relayed_announcements> announcement_relay::take() {
  std::vector<relayed_announcements> messages;
  std::size_t bytes = 0;
  for (auto& [id, announcement] : std::exchange(m_waiting, {})) {
    auto const size = base::encode(announcement).size();
    bytes += size;
    bool const is_full =
        !messages.empty() && (messages.back().announcements.size() >= m_options.max_per_message ||
                              bytes > m_options.max_bytes_per_message);
    if (messages.empty() || is_full) {
      messages.emplace_back();
      bytes = size;
    }
    messages.back().announcements.push_back(std::move(announcement));
  }
  return messages;
}

} // namespace catkinlanding::proxy
