#include <libraries/base/hash.h>
#include <libraries/endpoints/forwarder.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace catkinlanding::endpoints {

namespace {

/// A stamp is kept for at most this long if newer ones are less precise, to limit the effect of
/// clock drift.
constexpr base::duration max_stamp_age = std::chrono::seconds(30);

/// Time without announcements after which the forwarding state of an endpoint is dropped.
constexpr base::duration forget_after = std::chrono::minutes(10);

template<class Narrow>
Narrow saturated(std::uint64_t value) {
  return static_cast<Narrow>(std::min<std::uint64_t>(value, std::numeric_limits<Narrow>::max()));
}

load_update load_update_of(announcement const& announcement, std::uint64_t content) {
  return {.content = content,
          .sequence = static_cast<std::uint32_t>(announcement.sequence),
          .running = saturated<std::uint16_t>(announcement.load.running),
          .waiting = saturated<std::uint16_t>(announcement.load.waiting),
          .cache_permille = saturated<std::uint16_t>(announcement.load.cache_permille),
          .age_milliseconds = 0};
}

} // namespace

forwarder::forwarder(options options) : m_options(std::move(options)) {
  follow_zone(std::exchange(m_options.zone_peers, {}));
}

bool forwarder::follow_zone(std::vector<base::instance_id> peers) {
  if (peers == m_options.zone_peers) {
    return false;
  }
  m_options.zone_peers = std::move(peers);
  std::erase_if(m_peers, [this](auto const& item) {
    return std::ranges::find(m_options.zone_peers, item.first) == m_options.zone_peers.end();
  });
  for (auto const& instance : m_options.zone_peers) {
    m_peers.try_emplace(instance);
  }
  return true;
}

bool forwarder::is_watched_here(base::endpoint_id const& endpoint) const {
  auto const watchers = watchers_of(endpoint);
  return std::ranges::find(watchers, m_options.self) != watchers.end();
}

std::vector<base::instance_id> forwarder::watchers_of(base::endpoint_id const& endpoint) const {
  // Rendezvous hashing: adding or removing instances moves only the endpoints that these watch.
  std::vector<std::pair<std::uint64_t, base::instance_id>> ranked;
  auto const rank = [&](base::instance_id const& instance) {
    auto const seed = base::stable_hash(instance.value);
    ranked.emplace_back(base::stable_hash(endpoint.value, seed), instance);
  };
  rank(m_options.self);
  std::ranges::for_each(m_options.zone_peers, rank);
  std::ranges::sort(ranked, std::greater<>());
  ranked.resize(std::min(ranked.size(), m_options.watchers));
  std::vector<base::instance_id> watchers;
  watchers.reserve(ranked.size());
  for (auto& [hash, instance] : ranked) {
    watchers.push_back(std::move(instance));
  }
  return watchers;
}

void forwarder::add(announcement const& announcement, bool is_rare,
                    base::monotonic_time announced_at, base::monotonic_time now, effects& out) {
  auto const content = content_hash(announcement);
  auto& forwarded = m_forwarded[announcement.endpoint];
  bool const is_full = announcement.is_leaving || forwarded.content != content ||
                       announcement.sequence % m_options.full_interval == 0;
  forwarded = {.content = content, .at = now};
  for (auto const& instance : is_rare ? m_options.zone_peers : watchers_of(announcement.endpoint)) {
    auto const it = m_peers.find(instance);
    if (it == m_peers.end()) {
      continue;
    }
    add(it->second, announcement, is_full, content, announced_at);
    if (announcement.is_leaving) {
      send(instance, it->second, now, out);
    }
  }
}

void forwarder::add(peer& peer, announcement const& announcement, bool is_full,
                    std::uint64_t content, base::monotonic_time announced_at) const {
  if (is_full) {
    peer.pending.full.push_back({.announcement = announcement, .age = {}});
    peer.full_announced_at.push_back(announced_at);
  } else {
    peer.pending.load_updates.push_back(load_update_of(announcement, content));
    peer.load_updates_announced_at.push_back(announced_at);
  }
}

void forwarder::send(base::instance_id const& to, peer& peer, base::monotonic_time now,
                     effects& out) const {
  auto batch = std::exchange(peer.pending, {});
  for (std::size_t i = 0; i < batch.full.size(); ++i) {
    batch.full[i].age = now - peer.full_announced_at[i];
  }
  for (std::size_t i = 0; i < batch.load_updates.size(); ++i) {
    auto const age =
        std::chrono::ceil<std::chrono::milliseconds>(now - peer.load_updates_announced_at[i]);
    batch.load_updates[i].age_milliseconds =
        saturated<std::uint16_t>(static_cast<std::uint64_t>(age.count()));
  }
  peer.full_announced_at.clear();
  peer.load_updates_announced_at.clear();
  batch.stamp = {.incarnation = m_options.incarnation, .time = now.time_since_epoch()};
  if (peer.peer_stamp) {
    batch.echo = {.stamp = *peer.peer_stamp, .held = now - peer.stamp_received_at};
  }
  peer.sent_at = now;
  peer.needs_stamp = false;
  out.push_back({to, std::move(batch)});
}

std::optional<base::monotonic_time> forwarder::receive(base::instance_id const& from,
                                                       announcement_batch const& batch,
                                                       base::monotonic_time now) {
  auto const it = m_peers.find(from);
  if (it == m_peers.end()) {
    return std::nullopt;
  }
  auto& peer = it->second;
  bool const is_restarted =
      !peer.peer_stamp || peer.peer_stamp->incarnation < batch.stamp.incarnation;
  // A stamp's transit time adds to the apparent age of everything that echoes it.
  bool const is_better =
      is_restarted || (batch.stamp.incarnation == peer.peer_stamp->incarnation &&
                       (batch.stamp.time - peer.peer_stamp->time >= now - peer.stamp_received_at ||
                        now >= peer.stamp_received_at + max_stamp_age));
  peer.needs_stamp |= is_restarted || !batch.echo;
  if (is_better) {
    peer.peer_stamp = batch.stamp;
    peer.stamp_received_at = now;
  }
  if (!batch.echo || batch.echo->stamp.incarnation != m_options.incarnation) {
    return std::nullopt;
  }
  auto const earliest = base::monotonic_time(batch.echo->stamp.time) + batch.echo->held;
  return std::min(earliest, now);
}

void forwarder::tick(base::monotonic_time now, effects& out) {
  if (now < m_batch_due) {
    return;
  }
  m_batch_due = now + m_options.batch_interval;
  for (auto& [instance, peer] : m_peers) {
    bool const has_news = !peer.pending.full.empty() || !peer.pending.load_updates.empty();
    if (has_news || peer.needs_stamp || now >= peer.sent_at + m_options.stamp_interval) {
      send(instance, peer, now, out);
    }
  }
  std::erase_if(m_forwarded, [&](auto const& item) { return now > item.second.at + forget_after; });
}

std::uint64_t content_hash(announcement const& announcement) {
  std::uint64_t hash = base::stable_hash(announcement.endpoint.value, announcement.incarnation);
  auto const add_text = [&](std::string const& text) { hash = base::stable_hash(text, hash); };
  auto const add_number = [&](std::uint64_t number) { add_text(std::to_string(number)); };
  add_text(announcement.zone.value);
  add_text(announcement.address.ip);
  add_number(announcement.address.port);
  add_number(static_cast<std::uint64_t>(announcement.kind));
  for (auto const& version : announcement.versions) {
    add_text(version.model.value);
    add_text(version.version.value);
  }
  add_text(announcement.service.value);
  add_number(announcement.slots);
  return hash;
}

} // namespace catkinlanding::endpoints
