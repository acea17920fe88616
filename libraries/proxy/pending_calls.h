#pragma once

#include <libraries/base/time.h>
#include <libraries/consensus/types.h>
#include <libraries/proxy/downstream_table.h>

#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// Identifies a call until it is answered.
using call_number = std::uint64_t;

/// The calls that wait for their log entry to be committed, and those that wait after that for the
/// entry instances to confirm that they know of the change.
class pending_calls {
public:
  struct options {
    /// A call whose log entry is not committed within this time is answered as unavailable.
    base::duration commit_timeout = std::chrono::milliseconds(900);
    /// A change is acknowledged after this time even if an entry instance has not confirmed it. The
    /// caller waits for one second.
    base::duration confirmation_timeout = std::chrono::milliseconds(600);
    /// An entry instance that has sent nothing for this long is not waited for.
    base::duration live_timeout = std::chrono::milliseconds(1000);
  };

  explicit pending_calls(options options) : m_options(options) {}

  /// Records a call whose entry was proposed in this term.
  void await_commit(consensus::log_index index, consensus::term_number term, call_number number,
                    base::monotonic_time now);
  /// Takes the call out whose entry of this term was committed; nothing if there is none.
  [[nodiscard]] std::optional<call_number> take_committed(consensus::log_index index,
                                                          consensus::term_number term);
  /// Records a call that is answered when the entry instances know this revision of the registry.
  void await_confirmation(call_number number, known_state const& state, base::monotonic_time now);
  /// Takes the calls out whose change all live entry instances know, or that have waited long
  /// enough for those that do not respond.
  [[nodiscard]] std::vector<call_number> take_confirmed(downstream_table const& downstreams,
                                                        base::monotonic_time now);
  /// Takes the calls out that can no longer succeed: this instance's term has changed, or the entry
  /// was not committed in time.
  [[nodiscard]] std::vector<call_number> take_expired(consensus::term_number term,
                                                      base::monotonic_time now);

private:
  struct uncommitted_call {
    call_number number = 0;
    consensus::term_number term = 0;
    base::monotonic_time expires_at{};
  };

  struct unconfirmed_call {
    call_number number = 0;
    /// The registry's term and revision that contain the change.
    known_state state;
    base::monotonic_time expires_at{};
  };

  /// What all live entry instances know of the leader's registry; the revision is 0 if one of them
  /// knows nothing of this term.
  [[nodiscard]] std::uint64_t common_revision(consensus::term_number term,
                                              downstream_table const& downstreams,
                                              base::monotonic_time now) const;

  options m_options;
  std::map<consensus::log_index, uncommitted_call> m_uncommitted;
  std::vector<unconfirmed_call> m_unconfirmed;
};

} // namespace catkinlanding::proxy
