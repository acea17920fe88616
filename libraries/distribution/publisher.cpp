#include <libraries/distribution/publisher.h>

#include <algorithm>
#include <limits>
#include <tuple>

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
    it->second = {
        .zone = zone, .live = 0, .silent = 0, .in_force = highest, .known_by_all = highest};
  }
  return it->second;
}

void add_live(zone_status& status, catalogue::revision in_force) {
  ++status.live;
  status.in_force = std::min(status.in_force, in_force);
  status.known_by_all = std::min(status.known_by_all, in_force);
}

void add_silent(zone_status& status, catalogue::revision in_force) {
  ++status.silent;
  status.known_by_all = std::min(status.known_by_all, in_force);
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

publisher::publisher(options options) : m_options(std::move(options)) {}

void publisher::receive(base::instance_id const& from, poll const& poll, subscriber const& source,
                        std::optional<base::monotonic_time> grant_until, base::monotonic_time now,
                        effects& out) {
  auto& lessee = m_lessees[from];
  auto& own = lessee.own;
  if (poll.stamp < own.stamp) {
    // A later poll has already been received, possibly from a later start of the instance.
    return;
  }
  bool const has_restarted = poll.stamp.incarnation != own.stamp.incarnation;
  if (has_restarted) {
    own.alive_at.reset();
  }
  bool const is_lost = !has_restarted && poll.revision < lessee.sent_revision &&
                       now >= lessee.sent_at + m_options.delivery_timeout;
  own = {.instance = from,
         .zone = poll.zone,
         .in_force = poll.revision,
         .stamp = poll.stamp,
         .alive_at = std::max(own.alive_at, acknowledged_at(poll, now))};
  lessee.descendants.clear();
  for (auto const& known : poll.descendants) {
    auto const alive_at =
        own.alive_at && known.age ? std::optional(*own.alive_at - *known.age) : std::nullopt;
    lessee.descendants.push_back({.instance = known.instance,
                                  .zone = known.zone,
                                  .in_force = known.in_force,
                                  .stamp = known.stamp,
                                  .alive_at = alive_at});
  }
  lessee.last_poll = now;
  auto update = make_update(poll.revision, source);
  if (is_lost || has_restarted) {
    lessee.sent_revision = 0;
  }
  note_sent(lessee, update.revision, now);
  update.poll_stamp = poll.stamp;
  update.leader = source.leader();
  update.stamp = {.incarnation = m_options.incarnation, .time = now.time_since_epoch()};
  if (grant_until) {
    update.lease = std::min<base::duration>(*grant_until - now, m_options.lease_duration);
    // The subscriber counts its lease from the time of its poll, so that it ends no later than
    // this.
    lessee.lease_until = std::max(lessee.lease_until, now + *update.lease);
  }
  out.push_back({from, std::move(update), is_lost});
}

void publisher::note_sent(lessee& lessee, catalogue::revision revision, base::monotonic_time now) {
  if (revision != lessee.sent_revision) {
    lessee.sent_revision = revision;
    lessee.sent_at = now;
  }
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
    bool const is_active = now < lessee.lease_until || is_live(lessee.own.alive_at, now);
    if (is_active && lessee.sent_revision < source.document().revision()) {
      auto update = make_update(lessee.sent_revision, source);
      note_sent(lessee, update.revision, now);
      out.push_back({instance, std::move(update)});
    }
  }
}

void publisher::tick(base::monotonic_time now) {
  std::erase_if(m_lessees, [&](auto const& item) {
    return now > item.second.last_poll + m_options.removal_timeout;
  });
}

bool publisher::is_live(std::optional<base::monotonic_time> alive_at,
                        base::monotonic_time now) const {
  return alive_at && now < *alive_at + m_options.liveness_timeout;
}

std::vector<publisher::merged_report> publisher::instances(base::monotonic_time now) const {
  std::vector<merged_report> all;
  bool is_ordered = true;
  auto const add = [&](report const& report) {
    if (report.instance != m_options.self) {
      all.push_back({.latest = &report, .alive_at = report.alive_at});
    }
  };
  for (auto const& [instance, lessee] : m_lessees) {
    if (is_live(lessee.own.alive_at, now) || now < lessee.lease_until) {
      add(lessee.own);
      std::ranges::for_each(lessee.descendants, add);
      is_ordered = is_ordered && lessee.descendants.empty();
    }
  }
  if (is_ordered) {
    return all;
  }
  std::ranges::sort(all, [](merged_report const& left, merged_report const& right) {
    return std::tie(left.latest->instance, left.latest->stamp) <
           std::tie(right.latest->instance, right.latest->stamp);
  });
  // An instance that changes its publisher is known to both for a while.
  std::vector<merged_report> merged;
  for (auto const& one : all) {
    if (merged.empty() || merged.back().latest->instance != one.latest->instance) {
      merged.push_back(one);
    } else {
      merged.back().latest = one.latest;
      merged.back().alive_at = std::max(merged.back().alive_at, one.alive_at);
    }
  }
  return merged;
}

std::vector<known_instance> publisher::known_instances(base::monotonic_time now) const {
  std::vector<known_instance> known;
  for (auto const& [latest, alive_at] : instances(now)) {
    known.push_back(
        {.instance = latest->instance,
         .zone = latest->zone,
         .in_force = latest->in_force,
         .stamp = latest->stamp,
         .age = alive_at ? std::optional<base::duration>(now - *alive_at) : std::nullopt});
  }
  return known;
}

subscriber_summary publisher::summary(catalogue::revision own, base::monotonic_time now) const {
  subscriber_summary result{.in_force = own,
                            .list_instances = [this, now] { return known_instances(now); }};
  for (auto const& [latest, alive_at] : instances(now)) {
    result.in_force = std::min(result.in_force, latest->in_force);
  }
  return result;
}

bool publisher::is_expected(base::instance_id const& instance) const {
  return m_options.members.empty() ||
         std::ranges::find(m_options.members, instance, &member::instance) !=
             m_options.members.end();
}

void publisher::count_silent(zone_map& zones, std::set<base::instance_id> const& live) const {
  for (auto const& member : m_options.members) {
    auto& status = status_of(zones, member.zone);
    if (!live.contains(member.instance)) {
      // It may have restarted with any revision.
      add_silent(status, 0);
    }
  }
  if (!m_options.members.empty()) {
    return;
  }
  for (auto const& [instance, lessee] : m_lessees) {
    if (!live.contains(instance)) {
      add_silent(status_of(zones, lessee.own.zone), lessee.own.in_force);
    }
  }
}

std::vector<zone_status> publisher::zones(catalogue::revision own, base::monotonic_time now) const {
  zone_map zones;
  std::set<base::instance_id> live{m_options.self};
  add_live(status_of(zones, m_options.zone), own);
  for (auto const& [latest, alive_at] : instances(now)) {
    if (is_live(alive_at, now)) {
      live.insert(latest->instance);
      auto& status = status_of(zones, latest->zone);
      add_live(status, latest->in_force);
      if (!is_expected(latest->instance)) {
        // Others that the settings do not name may exist, and would not be missed.
        status.known_by_all = 0;
      }
    }
  }
  count_silent(zones, live);
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
