#pragma once

#include <libraries/endpoints/announcement.h>
#include <libraries/endpoints/forwarder.h>
#include <libraries/endpoints/offset_estimate.h>

#include <map>
#include <optional>
#include <set>

namespace catkinlanding::endpoints {

/// The known endpoints of this instance's availability zone and the age of their announcements.
class directory {
public:
  struct options {
    forwarder::options forwarding;
    base::monotonic_time started_at{};
    /// An endpoint receives no new work once its last announcement is this old. Together with the
    /// possible delay of a first announcement this stays below 3 s, the time after which an
    /// endpoint whose leaving announcement was lost must receive no new work.
    base::duration max_announcement_age = std::chrono::milliseconds(2500);
    /// After this long without an event the process counts as having been frozen, and messages that
    /// it reads may be stale.
    base::duration freeze_threshold = std::chrono::milliseconds(300);
    /// A version or service with fewer watched endpoints than this is rare. Announcements of its
    /// endpoints are forwarded to the whole zone.
    std::size_t rare_threshold = 2;
    /// Time without announcements after which an endpoint is forgotten.
    base::duration forget_after = std::chrono::seconds(60);
    /// Endpoints first seen within this time after the start are assumed to have been running
    /// before. It is longer than the interval at which others forward a full announcement.
    base::duration startup_period = std::chrono::seconds(20);
  };

  struct record {
    endpoints::announcement announcement;
    base::monotonic_time announced_at{};
    /// When this instance saw the endpoint start or return after silence; the epoch for an endpoint
    /// that was running before this instance started.
    base::monotonic_time active_since{};
    /// Attempts of this instance in flight at the endpoint.
    std::uint32_t outstanding = 0;
    bool is_watched = false;
    offset_estimate offset{};
  };

  explicit directory(options options)
      : m_options(std::move(options)), m_forwarder(m_options.forwarding),
        m_last_event(m_options.started_at) {}

  /// Replaces the list of the zone's other entry instances, which announcements are forwarded to.
  void follow_zone(std::vector<base::instance_id> peers);

  /// Applies an announcement received directly from an endpoint and forwards it.
  void announce(announcement const& announcement, base::monotonic_time now, effects& out);

  void receive(base::instance_id const& from, message const& message, base::monotonic_time now);

  /// Marks an endpoint as leaving because it refused work for that reason. Its announcement of it
  /// may have been lost.
  void mark_leaving(base::endpoint_id const& endpoint);

  void tick(base::monotonic_time now, effects& out);

  void start_attempt(base::endpoint_id const& endpoint);
  void finish_attempt(base::endpoint_id const& endpoint);

  [[nodiscard]] bool can_receive_work(base::endpoint_id const& endpoint,
                                      base::monotonic_time now) const;
  [[nodiscard]] record const* find(base::endpoint_id const& endpoint) const;

  /// Endpoints that serve the version and can receive new work.
  [[nodiscard]] std::vector<record const*> serving(served_version const& version,
                                                   base::monotonic_time now) const;
  [[nodiscard]] std::vector<record const*> serving(base::service_id const& service,
                                                   base::monotonic_time now) const;
  /// Rating services that can receive work.
  [[nodiscard]] std::vector<record const*> raters(base::monotonic_time now) const;
  [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
  /// Records that the endpoint started, or returned after silence.
  void mark_active(record& record, base::monotonic_time announced_at) const;
  /// Estimates when an announcement received directly from its endpoint was sent.
  [[nodiscard]] base::monotonic_time estimate_sent_time(announcement const& announcement,
                                                        base::monotonic_time now);
  void detect_freeze(base::monotonic_time now);
  void apply(announcement const& announcement, base::monotonic_time announced_at);
  void apply(load_update const& load_update, base::monotonic_time announced_at);
  void supersede(announcement const& announcement, base::monotonic_time announced_at);
  [[nodiscard]] bool is_rare(announcement const& announcement) const;
  void index(announcement const& announcement);
  void unindex(announcement const& announcement);
  [[nodiscard]] bool is_fresh(record const& record, base::monotonic_time now) const;

  options m_options;
  std::map<base::endpoint_id, record> m_records;
  std::map<served_version, std::set<base::endpoint_id>> m_by_version;
  std::map<base::service_id, std::set<base::endpoint_id>> m_by_service;
  std::set<base::endpoint_id> m_raters;
  std::map<base::address, base::endpoint_id> m_by_address;
  std::map<std::uint64_t, base::endpoint_id> m_by_content;
  forwarder m_forwarder;
  base::monotonic_time m_last_event;
  /// Start of the last freeze of this process, and the time until which it may read messages that
  /// arrived during it.
  base::monotonic_time m_frozen_since{};
  base::monotonic_time m_stale_input_until{};
};

} // namespace catkinlanding::endpoints
