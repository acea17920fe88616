#include <libraries/membership/member_table.h>

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace catkinlanding::membership {

member_table::member_table(options options, base::monotonic_time now)
    : m_options(std::move(options)), m_random(m_options.seed), m_due(now) {
  for (auto const& seed : m_options.seeds) {
    if (seed.id != m_options.self.id) {
      m_members[seed.id] = {.member = seed, .last_update = now, .times_sent = 0, .is_seed = true};
      m_address_changes.push_back(seed);
    }
  }
}

void member_table::tick(base::monotonic_time now, effects& out) {
  if (now < m_due) {
    return;
  }
  m_due = now + m_options.interval;
  ++m_options.self.heartbeat;
  std::erase_if(m_members, [&](auto const& item) {
    auto const& record = item.second;
    return !record.is_seed && now > record.last_update + m_options.forget_after;
  });
  bool const wants_reply = now >= m_isolated_at;
  for (auto const& to : pick_receivers(true, m_options.zone_fan_out)) {
    send_to(to, wants_reply, out);
  }
  if (now < m_cross_zone_due && !wants_reply) {
    return;
  }
  m_cross_zone_due = now + effective_cross_zone_interval(now);
  for (auto const& to : pick_receivers(false, m_options.cross_zone_fan_out)) {
    send_to(to, wants_reply, out);
  }
}

base::duration member_table::effective_cross_zone_interval(base::monotonic_time now) const {
  auto const zone_size = zone_peers(now).size() + 1;
  auto const multiple =
      (zone_size + m_options.cross_zone_senders - 1) / m_options.cross_zone_senders;
  return m_options.cross_zone_interval * static_cast<int>(multiple);
}

void member_table::receive(base::instance_id const& from, gossip const& gossip,
                           base::monotonic_time now, effects& out) {
  m_isolated_at = now + m_options.isolation_timeout;
  for (auto const& member : gossip.members) {
    merge(member, now);
  }
  if (gossip.wants_reply) {
    send_to(from, false, out);
  }
}

void member_table::leave(base::monotonic_time now, effects& out) {
  m_options.self.is_leaving = true;
  m_due = now;
  m_cross_zone_due = now;
  tick(now, out);
}

void member_table::merge(member const& member, base::monotonic_time now) {
  if (member.id == m_options.self.id) {
    m_is_name_taken |= member.incarnation > m_options.self.incarnation;
    return;
  }
  auto it = m_members.find(member.id);
  if (it == m_members.end()) {
    if (!is_relevant(member) || m_members.size() >= m_options.max_members) {
      return;
    }
    it = m_members.try_emplace(member.id).first;
    it->second.member.address = {};
  } else if (member.precedence() <= it->second.member.precedence()) {
    return;
  }
  auto& record = it->second;
  if (record.member.address != member.address) {
    m_address_changes.push_back(member);
  }
  record.member = member;
  record.last_update = now;
  record.times_sent = 0;
}

bool member_table::is_relevant(member const& member) const {
  return member.is_control || member.zone == m_options.self.zone;
}

void member_table::send_to(base::instance_id const& to, bool wants_reply, effects& out) {
  out.push_back({to, {.members = next_members(), .wants_reply = wants_reply}});
}

std::vector<member> member_table::next_members() {
  std::vector<record*> candidates;
  candidates.reserve(m_members.size());
  for (auto& [id, record] : m_members) {
    candidates.push_back(&record);
  }
  std::ranges::shuffle(candidates, m_random);
  auto const count = std::min(m_options.members_per_message, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
      [](auto const* left, auto const* right) { return left->times_sent < right->times_sent; });
  std::vector<member> members{m_options.self};
  for (auto* record : std::span(candidates).first(count)) {
    ++record->times_sent;
    members.push_back(record->member);
  }
  return members;
}

std::vector<base::instance_id> member_table::pick_receivers(bool in_own_zone, std::size_t count) {
  std::vector<base::instance_id> candidates;
  for (auto const& [id, record] : m_members) {
    bool const is_own = record.member.zone == m_options.self.zone;
    if (is_own == in_own_zone && !record.member.is_leaving) {
      candidates.push_back(id);
    }
  }
  std::vector<base::instance_id> picked;
  std::ranges::sample(candidates, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count),
                      m_random);
  return picked;
}

bool member_table::is_live(record const& record, base::monotonic_time now) const {
  bool const is_own = record.member.zone == m_options.self.zone;
  auto const liveness_timeout =
      is_own ? m_options.liveness_timeout : m_options.cross_zone_liveness_timeout;
  return !record.member.is_leaving && now < record.last_update + liveness_timeout;
}

bool member_table::is_live(base::instance_id const& id, base::monotonic_time now) const {
  auto const it = m_members.find(id);
  return it != m_members.end() && is_live(it->second, now);
}

member const* member_table::find(base::instance_id const& id) const {
  auto const it = m_members.find(id);
  return it == m_members.end() ? nullptr : &it->second.member;
}

std::vector<base::instance_id> member_table::zone_peers(base::monotonic_time now) const {
  std::vector<base::instance_id> peers;
  for (auto const& [id, record] : m_members) {
    if (record.member.zone == m_options.self.zone && is_live(record, now)) {
      peers.push_back(id);
    }
  }
  return peers;
}

std::vector<base::instance_id> member_table::entry_peers(base::monotonic_time now) const {
  auto peers = zone_peers(now);
  std::erase_if(peers, [this](auto const& id) { return m_members.at(id).member.is_relay; });
  return peers;
}

std::vector<base::instance_id> member_table::control_instances(base::monotonic_time now) const {
  std::vector<base::instance_id> own_zone;
  std::vector<base::instance_id> other_zones;
  for (auto const& [id, record] : m_members) {
    if (record.member.is_control && is_live(record, now)) {
      (record.member.zone == m_options.self.zone ? own_zone : other_zones).push_back(id);
    }
  }
  std::ranges::move(other_zones, std::back_inserter(own_zone));
  return own_zone;
}

std::vector<member> member_table::take_address_changes() {
  return std::exchange(m_address_changes, {});
}

} // namespace catkinlanding::membership
