#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// A service's endpoints fail when one of them has to reject more requests than this in a second.
struct rejection_limit {
  base::service_id service;
  std::uint32_t max_rejections = 0;
  /// Time since an endpoint last stated it.
  base::duration age{};

  bool operator==(rejection_limit const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, max_rejections, age);
  }
};

/// The limits that endpoints of each service state in their answers. What one endpoint states
/// applies to all endpoints of its service. Used by entry instances, and by the leader, which
/// collects what all of them know.
class rejection_limits {
public:
  struct options {
    /// A statement that was not seen again for this long no longer applies.
    base::duration lifetime = std::chrono::seconds(5);
  };

  explicit rejection_limits(options options) : m_options(options) {}

  /// Records a statement. Returns whether it is new.
  bool note(base::service_id const& service, std::uint32_t max_rejections,
            base::monotonic_time now);
  /// Adds what another instance knows, and forgets statements that no longer apply.
  void merge(std::vector<rejection_limit> const& limits, base::monotonic_time now);
  /// The current limit; empty if there is none.
  [[nodiscard]] std::optional<std::uint32_t> limit_of(base::service_id const& service,
                                                      base::monotonic_time now) const;
  [[nodiscard]] std::vector<rejection_limit> all(base::monotonic_time now) const;
  /// Forgets statements that no longer apply.
  void sweep(base::monotonic_time now);

private:
  struct statement {
    std::uint32_t max_rejections = 0;
    base::monotonic_time stated_at{};
  };

  [[nodiscard]] bool is_current(statement const& known, base::monotonic_time now) const {
    return now < known.stated_at + m_options.lifetime;
  }

  options m_options;
  std::map<base::service_id, statement> m_statements;
};

} // namespace catkinlanding::proxy
