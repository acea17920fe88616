#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstddef>
#include <map>
#include <optional>

namespace catkinlanding::proxy {

/// When the last message of each other instance arrived.
class contact_times {
public:
  struct options {
    /// Bounds the memory that messages with forged senders can take up.
    std::size_t max_senders = 4096;
    /// Senders that were silent for this long are dropped when there are too many.
    base::duration retention = std::chrono::seconds(5);
  };

  explicit contact_times(options options) : m_options(options) {}

  void note(base::instance_id const& from, base::monotonic_time now);
  [[nodiscard]] std::optional<base::monotonic_time> last(base::instance_id const& from) const;

private:
  options m_options;
  std::map<base::instance_id, base::monotonic_time> m_times;
};

} // namespace catkinlanding::proxy
