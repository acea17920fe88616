#pragma once

#include <libraries/base/time.h>
#include <libraries/operators/message.h>

#include <map>
#include <vector>

namespace catkinlanding::operators {

/// A command that this instance received from an operator.
struct command {
  /// Identifies the operator's connection within this instance.
  std::uint64_t number = 0;
  operators::request request;
};

/// The answer to a command, for the connection with this number.
struct answer {
  std::uint64_t number = 0;
  operators::reply reply;
};

/// Forwards commands to the leader, whichever instance the operator is connected to, and resends
/// each until it is answered. Resending is safe because changes are identified by a change id.
class gateway {
public:
  struct options {
    /// The instances that can be the leader, or forward to it.
    std::vector<base::instance_id> control_instances;
    base::duration resend_interval = std::chrono::milliseconds(500);
    /// A command without an answer for this long is answered with an unknown outcome.
    base::duration timeout = std::chrono::seconds(8);
  };

  explicit gateway(base::instance_id self, options options)
      : m_self(std::move(self)), m_options(std::move(options)) {}

  void submit(command command, base::monotonic_time now, std::vector<outgoing>& messages);
  void receive(forwarded_reply const& reply, std::vector<answer>& answers);
  void tick(base::monotonic_time now, std::vector<outgoing>& messages,
            std::vector<answer>& answers);

private:
  struct pending {
    operators::request request;
    base::monotonic_time expires_at{};
    base::monotonic_time resend_at{};
    std::size_t attempts = 0;
  };

  void send(std::uint64_t number, pending& pending, base::monotonic_time now,
            std::vector<outgoing>& messages);

  base::instance_id m_self;
  options m_options;
  std::map<std::uint64_t, pending> m_pending;
};

} // namespace catkinlanding::operators
