#include <libraries/base/verify.h>
#include <libraries/endpoints/directory.h>

#include <algorithm>
#include <tuple>

namespace catkinlanding::endpoints {

namespace {

/// Time after a freeze within which the backlog of messages is read.
constexpr base::duration catch_up_time = std::chrono::seconds(1);

auto order_of(announcement const& a) {
  return std::tuple(a.incarnation, a.sequence);
}

} // namespace

void directory::follow_zone(std::vector<base::instance_id> peers) {
  if (!m_forwarder.follow_zone(std::move(peers))) {
    return;
  }
  for (auto& [endpoint, record] : m_records) {
    record.is_watched = m_forwarder.is_watched_here(endpoint);
  }
}

void directory::detect_freeze(base::monotonic_time now) {
  if (now > m_last_event + m_options.freeze_threshold) {
    m_frozen_since = m_last_event;
    m_stale_input_until = now + catch_up_time;
  }
  m_last_event = now;
}

base::monotonic_time directory::estimate_sent_time(announcement const& announcement,
                                                   base::monotonic_time now) {
  auto const it = m_records.find(announcement.endpoint);
  bool const is_known =
      it != m_records.end() && it->second.announcement.incarnation == announcement.incarnation;
  if (announcement.sent_at && is_known && it->second.offset.is_known()) {
    return it->second.offset.add(*announcement.sent_at, now);
  }
  if (now < m_stale_input_until) {
    return m_frozen_since;
  }
  if (announcement.sent_at && is_known) {
    return it->second.offset.add(*announcement.sent_at, now);
  }
  return now;
}

void directory::announce(announcement const& announcement, base::monotonic_time now, effects& out) {
  detect_freeze(now);
  auto const announced_at = estimate_sent_time(announcement, now);
  m_forwarder.add(announcement, is_rare(announcement), announced_at, now, out);
  apply(announcement, announced_at);
}

void directory::receive(base::instance_id const& from, message const& message,
                        base::monotonic_time now) {
  auto const sent_at = m_forwarder.receive(from, message, now);
  if (!sent_at) {
    // The transit time is unknown, so nothing in the batch counts as fresh.
    return;
  }
  for (auto const& forwarded : message.full) {
    apply(forwarded.announcement, *sent_at - forwarded.age);
  }
  for (auto const& load_update : message.load_updates) {
    apply(load_update, *sent_at - std::chrono::milliseconds(load_update.age_milliseconds));
  }
}

void directory::apply(announcement const& announcement, base::monotonic_time announced_at) {
  supersede(announcement, announced_at);
  auto const [it, is_new] = m_records.try_emplace(announcement.endpoint);
  auto& known = it->second;
  if (is_new) {
    known.is_watched = m_forwarder.is_watched_here(announcement.endpoint);
    known.announced_at = announced_at;
    mark_active(known, announced_at);
  } else if (order_of(announcement) <= order_of(known.announcement)) {
    return;
  } else {
    unindex(known.announcement);
  }
  bool const is_same_start = !is_new && known.announcement.incarnation == announcement.incarnation;
  bool const has_left = is_same_start && known.announcement.is_leaving;
  bool const was_silent = announced_at > known.announced_at + m_options.max_announcement_age;
  if (!is_new && (!is_same_start || was_silent)) {
    mark_active(known, announced_at);
  }
  if (!is_same_start) {
    known.offset = {};
    known.announced_at = announced_at;
  }
  known.announcement = announcement;
  known.announcement.is_leaving = announcement.is_leaving || has_left;
  known.announced_at = std::max(known.announced_at, announced_at);
  index(known.announcement);
}

void directory::apply(load_update const& load_update, base::monotonic_time announced_at) {
  auto const content = m_by_content.find(load_update.content);
  if (content == m_by_content.end()) {
    return;
  }
  auto& known = m_records.at(content->second);
  if (load_update.sequence <= known.announcement.sequence) {
    return;
  }
  if (announced_at > known.announced_at + m_options.max_announcement_age) {
    mark_active(known, announced_at);
  }
  known.announcement.sequence = load_update.sequence;
  known.announcement.load = {.running = load_update.running,
                             .waiting = load_update.waiting,
                             .cache_permille = load_update.cache_permille};
  known.announced_at = std::max(known.announced_at, announced_at);
}

void directory::mark_active(record& record, base::monotonic_time announced_at) const {
  if (announced_at > m_options.started_at + m_options.startup_period) {
    record.active_since = announced_at;
  }
}

void directory::supersede(announcement const& announcement, base::monotonic_time announced_at) {
  auto const it = m_by_address.find(announcement.address);
  if (it == m_by_address.end() || it->second == announcement.endpoint) {
    return;
  }
  // Another endpoint uses the address now, so the previous one is gone.
  auto& previous = m_records.at(it->second);
  if (announced_at > previous.announced_at) {
    previous.announcement.is_leaving = true;
  }
}

bool directory::is_rare(announcement const& announcement) const {
  auto const has_few_watched = [&](auto const& endpoints) {
    std::size_t watched = 0;
    for (auto const& id : endpoints) {
      watched += m_records.at(id).is_watched ? 1 : 0;
      if (watched >= m_options.rare_threshold) {
        return false;
      }
    }
    return true;
  };
  if (announcement.kind == endpoint_kind::rating) {
    return true;
  }
  if (announcement.kind == endpoint_kind::service) {
    auto const it = m_by_service.find(announcement.service);
    return it == m_by_service.end() || has_few_watched(it->second);
  }
  return std::ranges::any_of(announcement.versions, [&](served_version const& version) {
    auto const it = m_by_version.find(version);
    return it == m_by_version.end() || has_few_watched(it->second);
  });
}

void directory::mark_leaving(base::endpoint_id const& endpoint) {
  if (auto const it = m_records.find(endpoint); it != m_records.end()) {
    it->second.announcement.is_leaving = true;
  }
}

void directory::tick(base::monotonic_time now, effects& out) {
  detect_freeze(now);
  m_forwarder.tick(now, out);
  std::erase_if(m_records, [&](auto const& item) {
    bool const is_forgotten =
        item.second.outstanding == 0 && now > item.second.announced_at + m_options.forget_after;
    if (is_forgotten) {
      unindex(item.second.announcement);
    }
    return is_forgotten;
  });
}

void directory::start_attempt(base::endpoint_id const& endpoint) {
  auto const it = m_records.find(endpoint);
  CATKINLANDING_VERIFY(it != m_records.end());
  ++it->second.outstanding;
}

void directory::finish_attempt(base::endpoint_id const& endpoint) {
  auto const it = m_records.find(endpoint);
  CATKINLANDING_VERIFY(it != m_records.end() && it->second.outstanding > 0);
  --it->second.outstanding;
}

bool directory::can_receive_work(base::endpoint_id const& endpoint,
                                 base::monotonic_time now) const {
  auto const* record = find(endpoint);
  return record != nullptr && is_fresh(*record, now);
}

directory::record const* directory::find(base::endpoint_id const& endpoint) const {
  auto const it = m_records.find(endpoint);
  return it == m_records.end() ? nullptr : &it->second;
}

namespace {

template<class Index, class Key, class Predicate>
std::vector<directory::record const*> collect(Index const& index, Key const& key,
                                              Predicate const& accept) {
  std::vector<directory::record const*> found;
  auto const it = index.find(key);
  if (it == index.end()) {
    return found;
  }
  for (auto const& endpoint : it->second) {
    if (auto const* record = accept(endpoint)) {
      found.push_back(record);
    }
  }
  return found;
}

} // namespace

std::vector<directory::record const*> directory::serving(served_version const& version,
                                                         base::monotonic_time now) const {
  return collect(m_by_version, version, [&](base::endpoint_id const& id) {
    return can_receive_work(id, now) ? find(id) : nullptr;
  });
}

std::vector<directory::record const*> directory::serving(base::service_id const& service,
                                                         base::monotonic_time now) const {
  return collect(m_by_service, service, [&](base::endpoint_id const& id) {
    return can_receive_work(id, now) ? find(id) : nullptr;
  });
}

std::vector<directory::record const*> directory::raters(base::monotonic_time now) const {
  std::vector<record const*> found;
  for (auto const& endpoint : m_raters) {
    if (can_receive_work(endpoint, now)) {
      found.push_back(find(endpoint));
    }
  }
  return found;
}

void directory::index(announcement const& announcement) {
  for (auto const& version : announcement.versions) {
    m_by_version[version].insert(announcement.endpoint);
  }
  if (announcement.kind == endpoint_kind::service) {
    m_by_service[announcement.service].insert(announcement.endpoint);
  }
  if (announcement.kind == endpoint_kind::rating) {
    m_raters.insert(announcement.endpoint);
  }
  m_by_address[announcement.address] = announcement.endpoint;
  m_by_content[content_hash(announcement)] = announcement.endpoint;
}

void directory::unindex(announcement const& announcement) {
  auto const drop = [&](auto& map, auto const& key) {
    auto const it = map.find(key);
    if (it == map.end()) {
      return;
    }
    it->second.erase(announcement.endpoint);
    if (it->second.empty()) {
      map.erase(it);
    }
  };
  for (auto const& version : announcement.versions) {
    drop(m_by_version, version);
  }
  drop(m_by_service, announcement.service);
  m_raters.erase(announcement.endpoint);
  if (auto const it = m_by_address.find(announcement.address);
      it != m_by_address.end() && it->second == announcement.endpoint) {
    m_by_address.erase(it);
  }
  m_by_content.erase(content_hash(announcement));
}

bool directory::is_fresh(record const& record, base::monotonic_time now) const {
  return !record.announcement.is_leaving &&
         now < record.announced_at + m_options.max_announcement_age;
}

} // namespace catkinlanding::endpoints
