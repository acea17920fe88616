#include <libraries/base/hash.h>
#include <libraries/distribution/publisher.h>

#include <algorithm>
#include <limits>

namespace catkinlanding::distribution {

namespace {

update make_update(catalogue::revision known, subscriber const& source) {
  update update;
  update.revision = source.document().revision();
  if (auto changes = source.changes_since(known)) {
    update.changes = std::move(*changes);
  } else if (source.document().revision() > known) {
    update.document = source.document();
  }
  return update;
}

using zone_map = std::map<base::availability_zone_id, zone_status>;

zone_status& status_of(zone_map& zones, base::availability_zone_id const& zone) {
  constexpr auto highest = std::numeric_limits<catalogue::revision>::max();
  auto const [it, is_new] = zones.try_emplace(zone);
  if (is_new) {
    it->second = {.zone = zone,
                  .live = 0,
                  .silent = 0,
                  .in_force = highest,
                  .known_by_all = highest,
                  .fingerprint = 0};
  }
  return it->second;
}

void add_live(zone_status& status, base::instance_id const& instance,
              catalogue::revision in_force) {
  ++status.live;
  status.fingerprint += base::stable_hash(instance.value);
  status.in_force = std::min(status.in_force, in_force);
  status.known_by_all = std::min(status.known_by_all, in_force);
}

void add_live(zone_status& status, zone_status const& others) {
  status.live += others.live;
  status.fingerprint += others.fingerprint;
  status.in_force = std::min(status.in_force, others.in_force);
  status.known_by_all = std::min(status.known_by_all, others.in_force);
}

std::vector<zone_status> values_of(zone_map const& zones) {
  std::vector<zone_status> result;
  result.reserve(zones.size());
  for (auto const& [zone, status] : zones) {
    result.push_back(status);
  }
  return result;
}

} // namespace

publisher::publisher(options options) : m_options(std::move(options)) {
  for (auto const& member : m_options.members) {
    add_live(status_of(m_expected, member.zone), member.instance, 0);
  }
}

void publisher::receive(base::instance_id const& from, poll const& poll, subscriber const& source,
                        std::optional<base::monotonic_time> grant_until, base::monotonic_time now,
                        effects& out) {
  auto& lessee = m_lessees[from];
  if (poll.stamp < lessee.stamp) {
    // A later poll has already been received, possibly from a later start of the instance.
    return;
  }
  if (poll.stamp.incarnation != lessee.stamp.incarnation) {
    lessee.sent_after.reset();
  }
  lessee.zone = poll.zone;
  lessee.in_force = poll.in_force;
  lessee.revision = poll.revision;
  lessee.stamp = poll.stamp;
  lessee.descendants = poll.descendants;
  lessee.last_poll = now;
  lessee.sent_after = std::max(lessee.sent_after, acknowledged_at(poll, now));
  lessee.alive_at.reset();
  if (lessee.sent_after) {
    lessee.alive_at = *lessee.sent_after - poll.descendants_age;
  }
  auto update = make_update(poll.revision, source);
  lessee.sent_revision = update.revision;
  update.poll_stamp = poll.stamp;
  update.leader = source.leader();
  update.stamp = {.incarnation = m_options.incarnation, .time = now.time_since_epoch()};
  if (grant_until) {
    update.lease = std::min<base::duration>(*grant_until - now, m_options.lease_duration);
    // The subscriber counts its lease from the time of its poll, so that it ends no later than
    // this.
    lessee.lease_until = std::max(lessee.lease_until, now + *update.lease);
  }
  out.push_back({from, std::move(update)});
}

std::optional<base::monotonic_time> publisher::acknowledged_at(poll const& poll,
                                                               base::monotonic_time now) const {
  bool const is_from_here =
      poll.acknowledged && poll.acknowledged->incarnation == m_options.incarnation;
  if (!is_from_here) {
    return std::nullopt;
  }
  auto const sent_at = base::monotonic_time(poll.acknowledged->time);
  return sent_at <= now ? std::optional(sent_at) : std::nullopt;
}

void publisher::push(subscriber const& source, base::monotonic_time now, effects& out) {
  for (auto& [instance, lessee] : m_lessees) {
    bool const is_active = now < lessee.lease_until || is_live(lessee, now);
    if (is_active && lessee.sent_revision < source.document().revision()) {
      auto update = make_update(lessee.sent_revision, source);
      lessee.sent_revision = update.revision;
      out.push_back({instance, std::move(update)});
    }
  }
}

void publisher::tick(base::monotonic_time now) {
  std::erase_if(m_lessees, [&](auto const& item) {
    return now > item.second.last_poll + m_options.removal_timeout;
  });
}

bool publisher::is_live(lessee const& lessee, base::monotonic_time now) const {
  return lessee.alive_at && now < *lessee.alive_at + m_options.liveness_timeout;
}

subscriber_summary publisher::summary(catalogue::revision own, base::monotonic_time now) const {
  subscriber_summary result{.in_force = own, .zones = values_of(live_zones(now)), .age = {}};
  for (auto const& [instance, lessee] : m_lessees) {
    bool const is_counted = is_live(lessee, now);
    if (is_counted || now < lessee.lease_until) {
      result.in_force = std::min(result.in_force, lessee.in_force);
    }
    if (is_counted) {
      result.age = std::max<base::duration>(result.age, now - *lessee.alive_at);
    }
  }
  return result;
}

publisher::zone_map publisher::live_zones(base::monotonic_time now) const {
  zone_map zones;
  for (auto const& [instance, lessee] : m_lessees) {
    if (!is_live(lessee, now)) {
      continue;
    }
    add_live(status_of(zones, lessee.zone), instance, lessee.in_force);
    for (auto const& descendant : lessee.descendants) {
      add_live(status_of(zones, descendant.zone), descendant);
    }
  }
  return zones;
}

void publisher::count_silent(zone_map& zones, base::monotonic_time now) const {
  for (auto const& [instance, lessee] : m_lessees) {
    // If the members are known, an instance that no longer polls here may poll another publisher.
    if (m_options.members.empty() && !is_live(lessee, now)) {
      auto& status = status_of(zones, lessee.zone);
      ++status.silent;
      status.known_by_all = std::min(status.known_by_all, lessee.in_force);
    }
  }
  for (auto const& [zone, expected] : m_expected) {
    auto& status = status_of(zones, zone);
    status.silent = expected.live > status.live ? expected.live - status.live : 0;
    if (status.fingerprint != expected.fingerprint) {
      // Some member is not live. It may have restarted with any revision.
      status.known_by_all = 0;
    }
  }
}

std::vector<zone_status> publisher::zones(catalogue::revision own, base::monotonic_time now) const {
  auto zones = live_zones(now);
  add_live(status_of(zones, m_options.zone), m_options.self, own);
  count_silent(zones, now);
  for (auto& [zone, status] : zones) {
    status.in_force = status.live == 0 ? status.known_by_all : status.in_force;
  }
  return values_of(zones);
}

bool publisher::is_in_force_everywhere(catalogue::revision revision, catalogue::revision own,
                                       base::monotonic_time now) const {
  auto const all = zones(own, now);
  bool const has_followed = std::ranges::all_of(
      all, [&](zone_status const& status) { return status.known_by_all >= revision; });
  return has_followed && summary(own, now).in_force >= revision;
}

} // namespace catkinlanding::distribution
