#include <libraries/base/verify.h>
#include <libraries/limits/fair_queue.h>

#include <algorithm>

namespace catkinlanding::limits {

void fair_queue::push(item item) {
  reset_if_empty();
  auto& level = m_levels[item.priority];
  if (!level.waiting.contains(item.customer)) {
    auto& served = level.served[item.customer];
    served = std::max(served, level.virtual_time);
  }
  insert(std::move(item));
}

std::optional<fair_queue::item> fair_queue::pop(std::set<base::model_id> const& full_models) {
  for (auto& [priority, level] : m_levels) {
    if (auto popped = pop(level, full_models)) {
      return popped;
    }
  }
  return std::nullopt;
}

std::optional<fair_queue::item> fair_queue::pop(level& level,
                                                std::set<base::model_id> const& full_models) {
  auto const may_run = [&](item const& one) { return !full_models.contains(one.model); };
  auto least_served = level.waiting.end();
  for (auto queue = level.waiting.begin(); queue != level.waiting.end(); ++queue) {
    bool const is_less_served =
        least_served == level.waiting.end() ||
        level.served.at(queue->first) < level.served.at(least_served->first);
    if (is_less_served && std::ranges::any_of(queue->second.items, may_run)) {
      least_served = queue;
    }
  }
  if (least_served == level.waiting.end()) {
    return std::nullopt;
  }
  level.virtual_time = level.served.at(least_served->first);
  auto& items = least_served->second.items;
  auto popped = take(level, least_served, std::ranges::find_if(items, may_run));
  account(popped, popped.cost);
  m_locations.erase(popped.number);
  return popped;
}

void fair_queue::restore(item item) {
  m_levels[item.priority].served.try_emplace(item.customer, 0.0);
  account(item, -item.cost);
  insert(std::move(item));
}

void fair_queue::remove(std::uint64_t number) {
  auto const found = m_locations.find(number);
  if (found == m_locations.end()) {
    return;
  }
  auto& level = m_levels.at(found->second.priority);
  auto const queue = level.waiting.find(found->second.customer);
  CATKINLANDING_VERIFY(queue != level.waiting.end());
  auto const place = std::ranges::find(queue->second.items, number, &item::number);
  CATKINLANDING_VERIFY(place != queue->second.items.end());
  take(level, queue, place);
  m_locations.erase(found);
}

double fair_queue::work_ahead(base::customer_id const& customer, std::uint32_t priority,
                              base::monotonic_time arrived_at, double further_work) const {
  double work = further_work;
  auto level = m_levels.begin();
  for (; level != m_levels.end() && level->first < priority; ++level) {
    work += level->second.cost;
  }
  if (level == m_levels.end() || level->first != priority) {
    return work;
  }
  auto const& [waiting, served, virtual_time, cost] = level->second;
  auto const own_served = served.find(customer);
  double turn = own_served == served.end() ? virtual_time : own_served->second;
  double own_work = 0.0;
  if (auto const own = waiting.find(customer); own != waiting.end()) {
    auto const& items = own->second.items;
    auto const before = std::ranges::upper_bound(items, arrived_at, {}, &item::arrived_at);
    own_work = own->second.cost * static_cast<double>(before - items.begin()) /
               static_cast<double>(items.size());
  } else {
    turn = std::max(turn, virtual_time);
  }
  turn += own_work + further_work;
  for (auto const& [other, queue] : waiting) {
    if (other != customer) {
      work += std::clamp(turn - served.at(other), 0.0, queue.cost);
    }
  }
  return work + own_work;
}

void fair_queue::insert(item item) {
  m_locations[item.number] = {.customer = item.customer, .priority = item.priority};
  auto& level = m_levels[item.priority];
  auto& queue = level.waiting[item.customer];
  level.cost += item.cost;
  queue.cost += item.cost;
  auto const place = std::ranges::upper_bound(queue.items, item.arrived_at, {}, &item::arrived_at);
  queue.items.insert(place, std::move(item));
}

fair_queue::item fair_queue::take(level& level,
                                  std::map<base::customer_id, customer_queue>::iterator queue,
                                  std::deque<item>::iterator const& place) {
  auto taken = std::move(*place);
  queue->second.items.erase(place);
  queue->second.cost -= taken.cost;
  level.cost -= taken.cost;
  if (queue->second.items.empty()) {
    level.waiting.erase(queue);
  }
  return taken;
}

void fair_queue::account(item const& item, double cost) {
  for (auto it = m_levels.find(item.priority); it != m_levels.end(); ++it) {
    it->second.served[item.customer] += cost;
  }
}

void fair_queue::reset_if_empty() {
  if (m_locations.empty()) {
    m_levels.clear();
  }
}

} // namespace catkinlanding::limits
