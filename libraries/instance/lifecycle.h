#pragma once

#include <libraries/base/time.h>
#include <libraries/catalogue/document.h>

#include <optional>

namespace catkinlanding::instance {

/// Tells when the platform's load balancer should send requests to an instance, from its start to
/// its planned stop.
class lifecycle {
public:
  struct options {
    base::monotonic_time started_at{};
    /// Endpoints announce themselves once a second, so an instance that has just started knows only
    /// few of them.
    base::duration warm_up = std::chrono::seconds(2);
    /// How long a stopping instance still accepts requests while the load balancer learns of the
    /// stop.
    base::duration stop_notice = std::chrono::seconds(2);
  };

  explicit lifecycle(options options) : m_options(options) {}

  /// Begins the planned stop. Further calls have no effect.
  void stop(base::monotonic_time now);

  [[nodiscard]] bool is_stopping() const { return m_draining_from.has_value(); }
  /// Whether new requests are refused now.
  [[nodiscard]] bool is_draining(base::monotonic_time now) const;
  /// Whether the load balancer should send requests here. `revision` is that of the known
  /// catalogue.
  [[nodiscard]] bool is_ready(catalogue::revision revision, base::monotonic_time now) const;

private:
  options m_options;
  std::optional<base::monotonic_time> m_draining_from;
};

} // namespace catkinlanding::instance
