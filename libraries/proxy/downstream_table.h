#pragma once

#include <libraries/proxy/delivery_monitor.h>
#include <libraries/proxy/load_totals.h>
#include <libraries/proxy/message.h>

#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// An instance that subscribes to the leader's state.
struct downstream {
  known_state known;
  bool is_entry = false;
  /// Whether it reaches no endpoint.
  bool is_cut_off = false;
  base::monotonic_time last_request_at{};
  base::monotonic_time document_sent_at{};
  std::uint64_t document_sent = 0;
  /// The part of a large document that was last sent to it; nothing if none was.
  std::optional<document_request> part_sent;
  /// Whether the updates that are sent to it arrive.
  delivery_monitor deliveries{{}};
  /// How often something that was sent to it seemed to be lost.
  std::uint64_t losses = 0;
  /// The revision of the whole registry that was last sent to it; 0 if none was.
  std::uint64_t registry_sent = 0;
  base::monotonic_time registry_sent_at{};
  /// Whether it started anew since the state was last sent to it, and lost what it got before.
  bool has_restarted = false;
  std::vector<endpoint_load> loads;
  /// Number of the last report of loads, and of the one that the last summary contains.
  std::uint64_t report = 0;
  std::uint64_t summarized_report = 0;

  /// Makes the next update hold all that the instance lacks, whatever was sent just before.
  void forget_sent() {
    document_sent = 0;
    registry_sent = 0;
  }
};

/// The instances that subscribe to the leader's state, and what they last reported.
class downstream_table {
public:
  struct options {
    /// An instance is dropped after this long without a subscription from it.
    base::duration timeout = std::chrono::seconds(3);
    /// How long a summary of the loads serves all instances that ask for one.
    base::duration summary_lifetime = std::chrono::milliseconds(50);
    /// Entry instances that each one is told of, to pass requests on to.
    std::size_t relay_peers = 3;
    /// An instance that was not heard within this time is not named to others.
    base::duration live_timeout = std::chrono::seconds(1);
    /// How long a list of these instances is used.
    base::duration relay_list_lifetime = std::chrono::milliseconds(200);
    /// Bounds what subscriptions of invented instances can take up. Several times the number of
    /// instances that a deployment may have.
    std::size_t max_downstreams = 2048;
  };

  explicit downstream_table(options options) : m_options(options) {}

  /// Whether a subscription of this instance can be recorded.
  [[nodiscard]] bool has_room_for(base::instance_id const& from) const {
    return m_downstreams.size() < m_options.max_downstreams || m_downstreams.contains(from);
  }
  /// Records a subscription. Returns whether the instance is new.
  bool note(base::instance_id const& from, subscription const& subscription,
            base::monotonic_time now);
  /// Drops the instances that have been silent for too long, and returns them.
  std::vector<base::instance_id> drop_silent(base::monotonic_time now);
  void clear();

  /// Records what an instance knows, between its subscriptions.
  void note_known(base::instance_id const& from, known_state const& known);

  [[nodiscard]] std::map<base::instance_id, downstream>& all() { return m_downstreams; }
  [[nodiscard]] std::map<base::instance_id, downstream> const& all() const { return m_downstreams; }
  [[nodiscard]] std::size_t size() const { return m_downstreams.size(); }
  [[nodiscard]] std::uint32_t count_entries() const { return m_entries; }
  /// The loads that all instances reported, for one of them.
  [[nodiscard]] load_summary loads_for(downstream const& receiver, base::monotonic_time now);

  /// The entry instances that were heard within the live timeout and reach endpoints, ordered by
  /// id.
  [[nodiscard]] std::vector<base::instance_id> live_entries(base::monotonic_time now) const;
  /// Some entry instances that reach the endpoints, others each time, without the receiver.
  [[nodiscard]] std::vector<base::instance_id> relay_peers_for(base::instance_id const& receiver,
                                                               base::monotonic_time now);

private:
  /// Takes what the instance contributed out of the sums.
  void forget(downstream const& lost);
  void list_relays(base::monotonic_time now);
  void summarize_loads(base::monotonic_time now);

  options m_options;
  std::map<base::instance_id, downstream> m_downstreams;
  std::uint32_t m_entries = 0;
  /// Entry instances that reach the endpoints, as of that time.
  std::vector<base::instance_id> m_relays;
  std::optional<base::monotonic_time> m_relays_listed_at;
  std::size_t m_next_relay = 0;
  load_totals m_totals;
  shared_list<endpoint_load> m_summary;
  std::optional<base::monotonic_time> m_summarized_at;
};

} // namespace catkinlanding::proxy
