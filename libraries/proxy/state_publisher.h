#pragma once

#include <libraries/consensus/replica.h>
#include <libraries/proxy/byte_budget.h>
#include <libraries/proxy/document_source.h>
#include <libraries/proxy/downstream_table.h>
#include <libraries/proxy/endpoint_registry.h>
#include <libraries/proxy/rate_coordinator.h>
#include <libraries/proxy/replicated_state.h>
#include <libraries/proxy/request_quarantine.h>
#include <libraries/proxy/subscriber.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Sends the leader's state to the instances that subscribe to it: at once when it changes, and in
/// reply to each subscription.
class state_publisher {
public:
  struct options {
    downstream_table::options downstreams;
    /// Shortest interval between two transmissions of the same document, or of the same whole
    /// registry, to one instance. Instances that know no leader ask several times meanwhile.
    base::duration push_interval = std::chrono::milliseconds(500);
    /// Limits the leader's time that changes take up which follow each other closely: each push
    /// accounts for this time for each instance, and waits while more than `max_push_backlog` of
    /// earlier ones is left.
    base::duration push_time_per_instance = std::chrono::microseconds(650);
    base::duration max_push_backlog = std::chrono::milliseconds(50);
    /// How long a list of registry changes serves all instances that lack the same ones.
    base::duration changes_lifetime = std::chrono::seconds(1);
    /// For whole registries. What waits to be sent takes up memory, and when all instances start at
    /// once, each needs one.
    byte_budget::options registries;
  };

  /// What is published, as it is now.
  struct source {
    consensus::replica const& replica;
    replicated_state const& state;
    endpoint_registry const& registry;
    rate_coordinator& rates;
    request_quarantine const& quarantine;
    proxy::rejection_limits const& rejection_limits;
    /// Whether the leader has led long enough for every live endpoint to have announced itself.
    bool is_registry_complete = false;

    /// The revisions that an instance holds which knows all of it.
    [[nodiscard]] known_state revisions() const;
  };

  explicit state_publisher(options options)
      : m_options(options), m_downstreams(options.downstreams), m_registries(options.registries) {}

  /// The update for an instance that is subscribed.
  [[nodiscard]] outgoing reply_to(base::instance_id const& from, source const& source,
                                  base::monotonic_time now);
  /// The updates for all subscribed instances; none if the state is the one last pushed, or if
  /// there were too many pushes just before.
  [[nodiscard]] std::vector<outgoing> push(source const& source, base::monotonic_time now);
  /// The state for an entry instance that has none, from an instance that knows no leader either;
  /// nothing while many others get theirs.
  [[nodiscard]] std::optional<last_known_state> last_known(replicated_state const& state,
                                                           endpoint_registry const& registry,
                                                           base::monotonic_time now);
  /// The requested part of a large document; nothing if none has been offered.
  [[nodiscard]] std::optional<outgoing> part_for(base::instance_id const& to,
                                                 document_request const& request);

  /// The subscribed instances.
  [[nodiscard]] downstream_table& downstreams() { return m_downstreams; }
  [[nodiscard]] downstream_table const& downstreams() const { return m_downstreams; }

private:
  [[nodiscard]] outgoing make_update(base::instance_id const& to, downstream& downstream,
                                     source const& source, base::monotonic_time now);
  /// Whether a whole registry may be sent now.
  [[nodiscard]] bool try_take_registry(endpoint_registry const& registry, base::monotonic_time now);
  /// The registry changes after a revision, as entry instances or control instances get them.
  struct change_list {
    std::uint64_t revision = 0;
    bool is_for_entries = false;

    auto operator<=>(change_list const&) const = default;
  };

  [[nodiscard]] shared_list<endpoint_record> find_changes(change_list const& wanted,
                                                          endpoint_registry const& registry,
                                                          base::monotonic_time now);
  /// Adds the registry changes that the receiver lacks.
  void add_registry(update& sent, downstream& downstream, endpoint_registry const& registry,
                    base::monotonic_time now);
  /// Adds the document to an update, or the offer of one that is too large for it, if the receiver
  /// lacks it. Control instances have it from the log.
  void add_document(update& sent, downstream& downstream, document const& document,
                    base::monotonic_time now);

  options m_options;
  downstream_table m_downstreams;
  byte_budget m_registries;
  document_source m_documents;
  /// The state that was last pushed to all subscribed instances.
  known_state m_last_pushed;
  /// When the time that the pushes so far account for is over.
  base::monotonic_time m_pushing_until{};
  /// Registry changes up to `m_changes_revision`.
  std::map<change_list, shared_list<endpoint_record>> m_changes;
  std::uint64_t m_changes_revision = 0;
  base::monotonic_time m_changes_at{};
};

} // namespace catkinlanding::proxy
