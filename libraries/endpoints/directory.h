#pragma once

#include <libraries/endpoints/announcement.h>
#include <libraries/endpoints/forwarder.h>
#include <libraries/endpoints/offset_estimate.h>

#include <map>
#include <optional>
#include <set>

namespace catkinlanding::endpoints {

/// The endpoints of this instance's availability zone, and how fresh each one's word is.
class directory {
public:
  struct options {
    forwarder::options forwarding;
    base::monotonic_time started_at{};
    /// An endpoint gets no new work once its last announcement is this old. With what a first
    /// announcement may take on its way, this stays below the 3 s within which an endpoint whose
    /// goodbye was lost must be left alone.
    base::duration max_announcement_age = std::chrono::milliseconds(2500);
    /// After so long without a tick, this process was frozen, and what it reads may have waited.
    base::duration freeze_threshold = std::chrono::milliseconds(300);
    /// A version or service with fewer endpoints than this among those that this instance watches
    /// is rare: its endpoints are made known to the whole zone.
    std::size_t rare_threshold = 2;
    /// Endpoints that have been silent for this long are forgotten.
    base::duration forget_after = std::chrono::seconds(60);
    /// What is heard of for the first time this long after the start ran before, most likely. It is
    /// longer than the time after which others pass on an announcement whole again.
    base::duration startup_period = std::chrono::seconds(20);
  };

  struct record {
    endpoints::announcement announcement;
    base::monotonic_time announced_at{};
    /// When the endpoint started or came back from silence, as far as this instance has seen it;
    /// the epoch where it ran already when this instance began to hear of endpoints.
    base::monotonic_time active_since{};
    /// Attempts of this instance that run there now.
    std::uint32_t outstanding = 0;
    bool is_watched = false;
    offset_estimate offset{};
  };

  explicit directory(options options)
      : m_options(std::move(options)), m_forwarder(m_options.forwarding),
        m_last_event(m_options.started_at) {}

  /// The other entry instances of the zone, to whom announcements are passed on from now on.
  void follow_zone(std::vector<base::instance_id> peers);

  /// Takes the word of an endpoint that reached this instance, and passes it on.
  void announce(announcement const& announcement, base::monotonic_time now, effects& out);

  void receive(base::instance_id const& from, message const& message, base::monotonic_time now);

  /// The endpoint refused work because it is leaving; its own word may have been lost.
  void mark_leaving(base::endpoint_id const& endpoint);

  void tick(base::monotonic_time now, effects& out);

  void start_attempt(base::endpoint_id const& endpoint);
  void finish_attempt(base::endpoint_id const& endpoint);

  [[nodiscard]] bool can_receive_work(base::endpoint_id const& endpoint,
                                      base::monotonic_time now) const;
  [[nodiscard]] record const* find(base::endpoint_id const& endpoint) const;

  /// Endpoints that have the version loaded and may get new work.
  [[nodiscard]] std::vector<record const*> serving(served_version const& version,
                                                   base::monotonic_time now) const;
  [[nodiscard]] std::vector<record const*> serving(base::service_id const& service,
                                                   base::monotonic_time now) const;
  /// Rating services that may be asked.
  [[nodiscard]] std::vector<record const*> raters(base::monotonic_time now) const;
  [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
  /// Notes that the endpoint took no work from here until now.
  void mark_active(record& record, base::monotonic_time announced_at) const;
  /// When the endpoint said what just came in from it directly.
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
  /// Since when this process was frozen, and until when that may still show in what it reads.
  base::monotonic_time m_frozen_since{};
  base::monotonic_time m_stale_input_until{};
};

} // namespace catkinlanding::endpoints
