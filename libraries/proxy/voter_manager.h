#pragma once

#include <libraries/consensus/replica.h>
#include <libraries/proxy/contact_times.h>
#include <libraries/voters/former_voters.h>
#include <libraries/voters/tolerated_losses.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// A set of voters for the leader to propose.
struct voter_proposal {
  std::vector<base::instance_id> voters;
  /// Why it differs from the present set, for the log.
  std::string reason;
};

/// Decides at the leader which instances should vote, so that the voters follow the instances that
/// exist. An instance that asks to join becomes a voter, in place of a silent one if there is one.
/// A voter that is silent or that stops loses its place without a successor only where the group
/// still tolerates the loss of as many disks as it has to; it asks to join again if it returns.
/// Silence doesn't tell an instance that is gone from one that returns with its disk, and a smaller
/// group would acknowledge changes on fewer disks than may be lost. Places are taken away one at a
/// time, as the group may lose a disk between any two changes.
class voter_manager {
public:
  struct options {
    /// A voter that has not responded for this long is silent.
    base::duration voter_timeout = std::chrono::seconds(2);
    /// How long a request to join holds if it is not repeated.
    base::duration applicant_timeout = std::chrono::seconds(2);
    /// How long the notice of a stopping voter holds. By then it is silent, or it has restarted.
    base::duration departure_timeout = std::chrono::seconds(2);
    std::size_t max_voters = 7;
    /// A silent voter keeps its place in a group of this size in any case.
    std::size_t min_voters = 3;
    /// What the group has to tolerate; nothing if it isn't stated.
    std::optional<voters::tolerated_losses> tolerated_losses;
    /// The first change waits for enough voters for this long after the leader was elected. A
    /// deployment may have fewer instances than it needs for what it states.
    base::duration max_wait_for_voters = std::chrono::seconds(15);
    /// The first change waits for this long after the group's first leader was elected, for
    /// instances that join: all start within 0.3 s of each other, and ask each 0.5 s.
    base::duration settling_time = std::chrono::seconds(1);
    voters::former_voters::options former_voters;
    contact_times::options contacts;
  };

  explicit voter_manager(options options)
      : m_options(options), m_contacts(options.contacts), m_former_voters(options.former_voters) {}

  /// Replaces what the group has to tolerate.
  void use_tolerated_losses(std::optional<voters::tolerated_losses> losses) {
    m_options.tolerated_losses = losses;
  }
  /// Whether the first change has to wait for further voters: instances that start together join
  /// one after another, and what a smaller group acknowledges is lost with fewer disks than the
  /// deployment has to tolerate the loss of.
  [[nodiscard]] bool awaits_voters(consensus::replica const& replica,
                                   base::monotonic_time now) const;

  void note_contact(base::instance_id const& from, base::monotonic_time now) {
    m_contacts.note(from, now);
  }
  void note_applicant(base::instance_id const& instance, base::monotonic_time now) {
    m_applicants[instance] = now;
  }
  void note_departure(base::instance_id const& instance, base::monotonic_time now) {
    m_departures[instance] = now;
  }
  /// Records which instances have a place, to know which ones had one before.
  void note_voters(consensus::configuration const& configuration, base::monotonic_time now);
  /// The instances that lost their places lately and are to be told who leads, if that is due.
  [[nodiscard]] std::vector<base::instance_id> take_former_voters(base::monotonic_time now) {
    return m_former_voters.take_due(now);
  }
  /// Called while an instance, this one or another, is known to lead.
  void note_leader(base::monotonic_time now) {
    m_first_leader_at = std::min(m_first_leader_at, now);
  }
  /// Called at a start with a disk that knows the group: it has had leaders before.
  void note_earlier_start() { m_first_leader_at = base::monotonic_time::min(); }
  /// Called when this instance becomes leader. No voter counts as silent for the first
  /// `voter_timeout` of a term.
  void begin_term(base::monotonic_time now) { m_leader_since = now; }

  /// Returns the voters to propose; nothing if the present ones are right. Called by a leader that
  /// holds its lease.
  [[nodiscard]] std::optional<voter_proposal> next_voters(consensus::replica const& replica,
                                                          base::monotonic_time now);

private:
  /// As in the options, or more if the stated losses need more.
  [[nodiscard]] std::size_t max_voters() const;
  /// Whether a silent voter of a group of this size may lose its place without a successor.
  [[nodiscard]] bool can_shrink(std::size_t voter_count) const;
  void drop_expired(consensus::configuration const& configuration, base::monotonic_time now);
  /// When the instance was last heard; nothing if it is silent by its own statement.
  [[nodiscard]] std::optional<base::monotonic_time> last_heard(consensus::replica const& replica,
                                                               base::instance_id const& id) const;
  /// The voter that has been silent for the longest time, beyond the timeout; nothing if none is.
  [[nodiscard]] std::optional<base::instance_id> longest_silent(consensus::replica const& replica,
                                                                base::monotonic_time now) const;

  options m_options;
  contact_times m_contacts;
  base::monotonic_time m_leader_since{};
  /// When this instance first knew of a leader.
  base::monotonic_time m_first_leader_at = base::monotonic_time::max();
  std::vector<consensus::voter> m_voters;
  voters::former_voters m_former_voters;
  /// Instances that asked to become voters, and voters that said that they stop, with the time.
  std::map<base::instance_id, base::monotonic_time> m_applicants;
  std::map<base::instance_id, base::monotonic_time> m_departures;
};

} // namespace catkinlanding::proxy
