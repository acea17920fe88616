#include <libraries/base/verify.h>
#include <libraries/limits/fair_queue.h>

#include <algorithm>

namespace catkinlanding::limits {

void fair_queue::push(item item) {
  reset_if_empty();
  m_locations[item.number] = {.customer = item.customer, .priority = item.priority};
  auto& level = m_levels[item.priority];
  auto& waiting = level.waiting[item.customer];
  if (waiting.empty()) {
    auto& served = level.served[item.customer];
    served = std::max(served, level.virtual_time);
  }
  waiting.push_back(std::move(item));
}

std::optional<fair_queue::item> fair_queue::pop(base::monotonic_time now) {
  if (m_locations.empty()) {
    return std::nullopt;
  }
  auto const chosen = next_level(now);
  if (chosen == m_levels.end()) {
    return std::nullopt;
  }
  auto& level = chosen->second;
  auto const least_served = [&](auto const& left, auto const& right) {
    return level.served.at(left.first) < level.served.at(right.first);
  };
  auto const it = std::ranges::min_element(level.waiting, least_served);
  auto item = std::move(it->second.front());
  it->second.pop_front();
  if (it->second.empty()) {
    level.waiting.erase(it);
  }
  level.virtual_time = level.served.at(item.customer);
  account(item, 1.0, now);
  m_locations.erase(item.number);
  return item;
}

void fair_queue::restore(item item, base::monotonic_time now) {
  if (!is_contended(now) || item.priority <= m_contended_priority) {
    m_contended_priority = item.priority;
    m_contended_at = now;
  }
  m_locations[item.number] = {.customer = item.customer, .priority = item.priority};
  m_levels[item.priority].served.try_emplace(item.customer, 0.0);
  account(item, -1.0, now);
  m_levels[item.priority].waiting[item.customer].push_front(std::move(item));
}

void fair_queue::remove(std::uint64_t number) {
  auto const it = m_locations.find(number);
  if (it == m_locations.end()) {
    return;
  }
  auto const location = it->second;
  m_locations.erase(it);
  auto& waiting = m_levels.at(location.priority).waiting;
  auto const queue = waiting.find(location.customer);
  CATKINLANDING_VERIFY(queue != waiting.end());
  std::erase_if(queue->second, [&](item const& i) { return i.number == number; });
  if (queue->second.empty()) {
    waiting.erase(queue);
  }
}

double fair_queue::work_ahead(base::customer_id const& customer, std::uint32_t priority) const {
  auto const it = m_levels.find(priority);
  if (it == m_levels.end()) {
    return 0.0;
  }
  auto const& level = it->second;
  auto const served = level.served.find(customer);
  double start = level.virtual_time;
  if (served != level.served.end()) {
    start = std::max(start, served->second);
  }
  double work = 0.0;
  if (auto const own = level.waiting.find(customer); own != level.waiting.end()) {
    // Items of one level have similar costs, so the first one stands for all.
    work = own->second.front().cost * static_cast<double>(own->second.size());
    start = level.served.at(customer) + work;
  }
  for (auto const& [other, items] : level.waiting) {
    if (other != customer) {
      double const before = std::max(0.0, start - level.served.at(other));
      double const all = items.front().cost * static_cast<double>(items.size());
      work += std::min(before, all);
    }
  }
  bool const has_higher_priority = std::any_of(m_levels.begin(), it, [](auto const& other_level) {
    return !other_level.second.waiting.empty();
  });
  bool const has_lower_priority =
      std::any_of(std::next(it), m_levels.end(),
                  [](auto const& other_level) { return !other_level.second.waiting.empty(); });
  if (has_higher_priority) {
    return work / m_options.low_priority_share;
  }
  return has_lower_priority ? work / (1.0 - m_options.low_priority_share) : work;
}

bool fair_queue::is_contended(base::monotonic_time now) const {
  return m_contended_at && now < *m_contended_at + m_options.contention_window;
}

fair_queue::levels::iterator fair_queue::next_level(base::monotonic_time now) {
  auto const has_work = [](auto const& item) { return !item.second.waiting.empty(); };
  auto const first = std::find_if(m_levels.begin(), m_levels.end(), has_work);
  CATKINLANDING_VERIFY(first != m_levels.end());
  auto const lower = std::find_if(std::next(first), m_levels.end(), has_work);
  if (lower != m_levels.end() && m_low_priority_credit > 0.0) {
    return lower;
  }
  bool const is_low_priority = is_contended(now) && first->first > m_contended_priority;
  return is_low_priority && m_low_priority_credit < 0.0 ? m_levels.end() : first;
}

void fair_queue::account(item const& item, double sign, base::monotonic_time now) {
  auto const own = m_levels.find(item.priority);
  for (auto it = own; it != m_levels.end(); ++it) {
    it->second.served[item.customer] += sign * item.cost;
  }
  auto const waits = [](auto const& other) { return !other.second.waiting.empty(); };
  bool const is_low_priority = std::any_of(m_levels.begin(), own, waits) ||
                               (is_contended(now) && item.priority > m_contended_priority);
  if (is_low_priority) {
    m_low_priority_credit -= sign * item.cost * (1.0 - m_options.low_priority_share);
  } else if (own != m_levels.end() && std::any_of(std::next(own), m_levels.end(), waits)) {
    m_low_priority_credit += sign * item.cost * m_options.low_priority_share;
  }
}

void fair_queue::reset_if_empty() {
  if (m_locations.empty()) {
    m_levels.clear();
  }
}

} // namespace catkinlanding::limits
