#include <libraries/base/verify.h>
#include <libraries/distribution/subscriber.h>

#include <algorithm>

namespace catkinlanding::distribution {

namespace {

/// Number of changes that are kept for the instances that poll this one.
constexpr std::size_t max_recent_changes = 256;

std::vector<base::instance_id> with_peers(std::vector<base::instance_id> publishers,
                                          std::vector<base::instance_id> const& peers) {
  for (auto const& peer : peers) {
    if (std::ranges::find(publishers, peer) == publishers.end()) {
      publishers.push_back(peer);
    }
  }
  return publishers;
}

} // namespace

subscriber::subscriber(options options)
    : m_options(std::move(options)),
      m_publishers(with_peers(m_options.publishers, m_options.zone_peers)) {}

void subscriber::follow(base::instance_id const& leader) {
  if (m_options.publishers == std::vector{leader}) {
    return;
  }
  m_options.publishers = {leader};
  m_publishers = with_peers(m_options.publishers, m_options.zone_peers);
  m_publisher = 0;
  m_polls_without_lease = 0;
}

base::instance_id subscriber::publisher() const {
  return m_publisher < m_publishers.size() ? m_publishers[m_publisher] : base::instance_id{};
}

void subscriber::move_to_front(base::instance_id const& leader) {
  auto& publishers = m_options.publishers;
  auto const it = std::ranges::find(publishers, leader);
  if (it == publishers.begin() || it == publishers.end()) {
    return;
  }
  std::rotate(publishers.begin(), it, std::next(it));
  m_publishers = with_peers(publishers, m_options.zone_peers);
  m_publisher = 0;
  m_polls_without_lease = 0;
}

void subscriber::follow_zone(std::vector<base::instance_id> peers) {
  if (m_options.zone_peers == peers) {
    return;
  }
  m_options.zone_peers = std::move(peers);
  m_publishers = with_peers(m_options.publishers, m_options.zone_peers);
  m_publisher = m_publisher < m_publishers.size() ? m_publisher : 0;
}

void subscriber::choose_publisher(base::monotonic_time now) {
  if (m_polls_without_lease >= m_options.max_polls_without_lease) {
    switch_to((m_publisher + 1) % m_publishers.size(), now);
  } else if (m_publisher != 0 && now >= m_return_due) {
    switch_to(0, now);
  }
}

void subscriber::switch_to(std::size_t publisher, base::monotonic_time now) {
  m_publisher = publisher;
  m_polls_without_lease = 0;
  m_return_due = now + m_options.return_interval;
}

void subscriber::count_poll(base::monotonic_time now) {
  if (now >= m_next_counted_poll) {
    ++m_polls_without_lease;
    m_next_counted_poll = now + m_options.poll_interval;
  }
}

void subscriber::tick(subscriber_summary const& summary, base::monotonic_time now, effects& out) {
  if (m_publishers.empty() || now < m_poll_due) {
    return;
  }
  m_poll_due = now + m_options.poll_interval;
  choose_publisher(now);
  count_poll(now);
  auto const& publisher = m_publishers[m_publisher];
  poll poll{.zone = m_options.zone,
            .revision = m_document.revision(),
            .stamp = {.incarnation = m_options.incarnation, .time = now.time_since_epoch()},
            .acknowledged = std::nullopt,
            .descendants = {}};
  // Without a lease here, every lease that this instance granted has ended too.
  if (has_lease(now) && summary.list_instances) {
    poll.descendants = summary.list_instances();
  }
  if (publisher == m_acknowledged_publisher) {
    poll.acknowledged = m_acknowledged;
  }
  out.push_back({publisher, std::move(poll)});
}

bool subscriber::receive(base::instance_id const& from, update const& update,
                         base::monotonic_time now) {
  auto const before = m_document.revision();
  apply_update(update);
  CATKINLANDING_VERIFY(m_document.revision() >= before);
  // An answer to a poll of an earlier process was computed for the catalogue of that process.
  bool const is_answer = update.poll_stamp &&
                         update.poll_stamp->incarnation == m_options.incarnation &&
                         update.poll_stamp->time <= now.time_since_epoch();
  if (is_answer && m_document.revision() >= update.revision) {
    renew_lease(from, update, now);
  }
  bool const has_grown = m_document.revision() > before;
  bool const is_behind = m_document.revision() < update.revision;
  if (has_grown || is_behind) {
    poll_on_next_tick();
  }
  return has_grown;
}

void subscriber::apply_update(update const& update) {
  if (update.document && update.document->revision() > m_document.revision()) {
    m_document = *update.document;
    m_recent_changes.clear();
  }
  for (auto const& change : update.changes) {
    if (change.base_revision == m_document.revision()) {
      m_document.apply(change);
      add_recent_change(change);
    }
  }
}

void subscriber::renew_lease(base::instance_id const& from, update const& update,
                             base::monotonic_time now) {
  bool const is_newer =
      from != m_acknowledged_publisher || !m_acknowledged || update.stamp > *m_acknowledged;
  if (is_newer) {
    m_acknowledged_publisher = from;
    m_acknowledged = update.stamp;
  }
  bool const is_from_current_publisher = !m_publishers.empty() && from == m_publishers[m_publisher];
  bool const is_lease = update.lease && *update.lease > base::duration::zero();
  if (is_from_current_publisher) {
    m_polls_without_lease = is_lease ? 0 : m_options.max_polls_without_lease;
  }
  if (is_from_current_publisher && is_lease && m_options.follows_leader && update.leader) {
    move_to_front(*update.leader);
  }
  auto const polled_at = base::monotonic_time(update.poll_stamp->time);
  bool const can_renew =
      is_lease || (update.lease && polled_at >= m_options.started_at + m_options.unleased_delay);
  if (!can_renew) {
    return;
  }
  // The lease runs from the poll, which was sent before the publisher checked its own lease. So it
  // ends no later than the publisher's lease, however long the answer took.
  auto const until = polled_at + *update.lease;
  CATKINLANDING_VERIFY(until <= now + *update.lease);
  m_lease_until = std::max(m_lease_until.value_or(until), until);
}

bool subscriber::load_from_log(catalogue::document const& document,
                               std::deque<catalogue::change> const& recent_changes,
                               base::monotonic_time lease_until) {
  m_lease_until = std::max(m_lease_until.value_or(lease_until), lease_until);
  if (document.revision() <= m_document.revision()) {
    return false;
  }
  m_document = document;
  m_recent_changes = recent_changes;
  return true;
}

base::duration subscriber::without_lease(base::monotonic_time now) const {
  if (!m_lease_until) {
    return base::duration::max();
  }
  return std::max(now - *m_lease_until, base::duration::zero());
}

std::optional<std::vector<catalogue::change>>
subscriber::changes_since(catalogue::revision since) const {
  auto const current = m_document.revision();
  if (since > current || current - since > m_recent_changes.size()) {
    return std::nullopt;
  }
  auto const first = m_recent_changes.end() - static_cast<std::ptrdiff_t>(current - since);
  return std::vector<catalogue::change>(first, m_recent_changes.end());
}

void subscriber::add_recent_change(catalogue::change const& change) {
  m_recent_changes.push_back(change);
  if (m_recent_changes.size() > max_recent_changes) {
    m_recent_changes.pop_front();
  }
}

} // namespace catkinlanding::distribution
