#pragma once

#include <libraries/proxy/message.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// An instance that subscribes to the leader's state.
struct downstream {
  known_state known;
  bool is_entry = false;
  base::monotonic_time last_request_at{};
  base::monotonic_time document_sent_at{};
  std::uint64_t document_sent = 0;
  std::vector<endpoint_load> loads;
};

/// The instances that subscribe to the leader's state, and what they last reported.
class downstream_table {
public:
  struct options {
    /// An instance is dropped after this long without a subscription from it.
    base::duration timeout = std::chrono::seconds(3);
  };

  explicit downstream_table(options options) : m_options(options) {}

  /// Records a subscription. Returns whether the instance is new.
  bool note(base::instance_id const& from, subscription const& subscription,
            base::monotonic_time now);
  /// Drops the instances that have been silent for too long, and returns them.
  std::vector<base::instance_id> drop_silent(base::monotonic_time now);
  void clear() { m_downstreams.clear(); }

  /// Records what an instance knows, between its subscriptions.
  void note_known(base::instance_id const& from, known_state const& known);

  [[nodiscard]] std::map<base::instance_id, downstream>& all() { return m_downstreams; }
  [[nodiscard]] std::map<base::instance_id, downstream> const& all() const { return m_downstreams; }
  [[nodiscard]] std::size_t size() const { return m_downstreams.size(); }
  [[nodiscard]] std::uint32_t count_entries() const;
  /// The sum of the loads that all instances but this one reported.
  [[nodiscard]] std::vector<endpoint_load> loads_without(base::instance_id const& instance) const;

private:
  options m_options;
  std::map<base::instance_id, downstream> m_downstreams;
};

} // namespace catkinlanding::proxy
