#include <libraries/base/verify.h>
#include <libraries/endpoints/directory.h>

#include <algorithm>
#include <tuple>

namespace catkinlanding::endpoints {

namespace {

/// After a freeze, what had waited is read within this time.
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

void directory::note_time(base::monotonic_time now) {
  if (now > m_last_event + m_options.frozen_after) {
    m_frozen_since = m_last_event;
    m_suspect_until = now + catch_up_time;
  }
  m_last_event = now;
}

base::monotonic_time directory::said_at(announcement const& announcement,
                                        base::monotonic_time now) {
  auto const it = m_records.find(announcement.endpoint);
  bool const is_known =
      it != m_records.end() && it->second.announcement.incarnation == announcement.incarnation;
  if (announcement.sent_at && is_known && it->second.offset.is_known()) {
    return it->second.offset.add(*announcement.sent_at, now);
  }
  if (now < m_suspect_until) {
    return m_frozen_since;
  }
  if (announcement.sent_at && is_known) {
    return it->second.offset.add(*announcement.sent_at, now);
  }
  return now;
}

void directory::announce(announcement const& announcement, base::monotonic_time now, effects& out) {
  note_time(now);
  auto const heard_at = said_at(announcement, now);
  m_forwarder.add(announcement, is_rare(announcement), heard_at, now, out);
  take(announcement, heard_at);
}

void directory::receive(base::instance_id const& from, message const& message,
                        base::monotonic_time now) {
  auto const sent_at = m_forwarder.receive(from, message, now);
  if (!sent_at) {
    // How long it was under way is not known, so nothing in it counts as fresh.
    return;
  }
  for (auto const& forwarded : message.whole) {
    take(forwarded.announcement, *sent_at - forwarded.age);
  }
  for (auto const& brief : message.brief) {
    take(brief, *sent_at - std::chrono::milliseconds(brief.age_milliseconds));
  }
}

void directory::take(announcement const& announcement, base::monotonic_time heard_at) {
  supersede(announcement, heard_at);
  auto const [it, is_new] = m_records.try_emplace(announcement.endpoint);
  auto& known = it->second;
  if (is_new) {
    known.is_watched = m_forwarder.is_watched_here(announcement.endpoint);
    known.heard_at = heard_at;
    note_return(known, heard_at);
  } else if (order_of(announcement) <= order_of(known.announcement)) {
    return;
  } else {
    unindex(known.announcement);
  }
  bool const is_same_start = !is_new && known.announcement.incarnation == announcement.incarnation;
  bool const has_left = is_same_start && known.announcement.is_leaving;
  bool const was_silent = heard_at > known.heard_at + m_options.freshness;
  if (!is_new && (!is_same_start || was_silent)) {
    note_return(known, heard_at);
  }
  if (!is_same_start) {
    known.offset = {};
    known.heard_at = heard_at;
  }
  known.announcement = announcement;
  known.announcement.is_leaving = announcement.is_leaving || has_left;
  known.heard_at = std::max(known.heard_at, heard_at);
  index(known.announcement);
}

void directory::take(brief_announcement const& brief, base::monotonic_time heard_at) {
  auto const content = m_by_content.find(brief.content);
  if (content == m_by_content.end()) {
    return;
  }
  auto& known = m_records.at(content->second);
  if (brief.sequence <= known.announcement.sequence) {
    return;
  }
  if (heard_at > known.heard_at + m_options.freshness) {
    note_return(known, heard_at);
  }
  known.announcement.sequence = brief.sequence;
  known.announcement.load = {
      .running = brief.running, .waiting = brief.waiting, .cache_permille = brief.cache_permille};
  known.heard_at = std::max(known.heard_at, heard_at);
}

void directory::note_return(record& record, base::monotonic_time heard_at) const {
  if (heard_at > m_options.started_at + m_options.settling) {
    record.returned_at = heard_at;
  }
}

void directory::supersede(announcement const& newcomer, base::monotonic_time heard_at) {
  auto const it = m_by_address.find(newcomer.address);
  if (it == m_by_address.end() || it->second == newcomer.endpoint) {
    return;
  }
  // Another endpoint has taken over the address, so the one that had it is gone.
  auto& former = m_records.at(it->second);
  if (heard_at > former.heard_at) {
    former.announcement.is_leaving = true;
  }
}

bool directory::is_rare(announcement const& announcement) const {
  auto const has_few_watched = [&](auto const& endpoints) {
    std::size_t watched = 0;
    for (auto const& id : endpoints) {
      watched += m_records.at(id).is_watched ? 1 : 0;
      if (watched >= m_options.rare) {
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
  note_time(now);
  m_forwarder.tick(now, out);
  std::erase_if(m_records, [&](auto const& item) {
    bool const is_forgotten =
        item.second.outstanding == 0 && now > item.second.heard_at + m_options.memory;
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
  return !record.announcement.is_leaving && now < record.heard_at + m_options.freshness;
}

} // namespace catkinlanding::endpoints
