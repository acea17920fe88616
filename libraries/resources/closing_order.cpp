#include <libraries/resources/closing_order.h>

#include <algorithm>

namespace catkinlanding::resources {

closing_order::place closing_order::add(std::uint64_t id, connection_phase phase,
                                        base::monotonic_time now) {
  auto& list = list_of(phase);
  return list.insert(list.end(), {.id = id, .phase = phase, .since = now});
}

void closing_order::move(place place, connection_phase phase, base::monotonic_time now) {
  auto& target = list_of(phase);
  target.splice(target.end(), list_of(place->phase), place);
  place->phase = phase;
  place->since = now;
}

void closing_order::remove(place place) {
  list_of(place->phase).erase(place);
}

closing_order::member const* closing_order::first_to_close(base::monotonic_time now) const {
  using enum connection_phase;
  if (auto const* idle = overdue(unused, m_options.max_pause, now)) {
    return idle;
  }
  if (auto const* unread = overdue(writing, m_options.max_write_pause, now)) {
    return unread;
  }
  if (auto const* stalled = overdue(reading, m_options.max_pause, now)) {
    return stalled;
  }
  for (auto const phase : {resting, reading, unused}) {
    auto const& list = list_of(phase);
    if (!list.empty()) {
      return &list.front();
    }
  }
  return nullptr;
}

closing_order::member const* closing_order::first_to_free(requester requester,
                                                          base::monotonic_time now) const {
  member const* largest = nullptr;
  for (auto const& one : list_of(connection_phase::reading)) {
    if (one.id == requester.id) {
      continue;
    }
    bool const is_stalled = now >= one.since + m_options.max_pause;
    if (is_stalled && one.held_bytes > 0) {
      return &one;
    }
    if (largest == nullptr || one.held_bytes > largest->held_bytes) {
      largest = &one;
    }
  }
  auto const* unread = overdue(connection_phase::writing, m_options.max_write_pause, now);
  if (unread != nullptr && unread->held_bytes > 0) {
    return unread;
  }
  bool const holds_more = largest != nullptr && largest->held_bytes > requester.held_bytes;
  return holds_more ? largest : nullptr;
}

closing_order::member const* closing_order::longest_writing() const {
  auto const& list = list_of(connection_phase::writing);
  return list.empty() ? nullptr : &list.front();
}

std::size_t closing_order::size() const {
  std::size_t total = 0;
  for (auto const& list : m_members) {
    total += list.size();
  }
  return total;
}

closing_order::member const* closing_order::overdue(connection_phase phase,
                                                    base::duration max_pause,
                                                    base::monotonic_time now) const {
  auto const& list = list_of(phase);
  bool const is_overdue = !list.empty() && now >= list.front().since + max_pause;
  return is_overdue ? &list.front() : nullptr;
}

} // namespace catkinlanding::resources
