#pragma once

#include <libraries/proxy/message.h>

#include <deque>
#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// The loads that this instance reported last, so that they can be told from those of the other
/// instances in a summary.
class load_reports {
public:
  struct report {
    std::uint64_t number = 0;
    /// Ordered by endpoint.
    std::vector<endpoint_load> loads;
    base::monotonic_time sent_at{};
  };

  /// Numbers a report that is about to be sent. The reference is valid until the next call.
  report const& add(std::vector<endpoint_load> loads, base::monotonic_time now);
  /// The summary without this instance's own part.
  [[nodiscard]] std::vector<endpoint_load> others_in(load_summary const& summary) const;
  /// When the report that the summary contains was sent; empty if it contains none of this start.
  [[nodiscard]] std::optional<base::monotonic_time>
  counted_since(load_summary const& summary) const;

private:
  /// A summary contains no older report than this many ago, unless reports were lost.
  static constexpr std::size_t max_reports = 8;

  std::uint64_t m_last_number = 0;
  std::deque<report> m_reports;
};

} // namespace catkinlanding::proxy
