#pragma once

#include <libraries/proxy/active_request.h>
#include <libraries/proxy/answer_times.h>

#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// Decides whether the answer of a small model is discarded before its first byte is sent, and the
/// largest model answers in its place.
///
/// A request that may run on several models starts with the smallest. The largest takes a multiple
/// of the time of an endpoint, so it answers where nobody waits for that time: on an endpoint that
/// has a free slot and no prompt left to process. The caller must be expected to get the whole
/// answer in its time.
struct escalation_policy {
  /// An answer in which the model has less confidence, from 0 to 1, is more likely poor than good.
  double min_confidence = 0.5;

  /// Whether a better answer than the current one is wanted, and can take its place.
  [[nodiscard]] bool is_doubtful(active_request const& request,
                                 std::optional<double> confidence) const;
  /// Whether the largest model's whole answer fits the time left, as far as that is known lately,
  /// and one of the endpoints is idle.
  [[nodiscard]] static bool can_escalate(active_request const& request, answer_times const& times,
                                         std::vector<known_endpoint const*> const& endpoints,
                                         base::monotonic_time now);
};

/// The retries that this instance must be able to make at once: one for each of its requests in the
/// zone where most of them are, as the endpoints of a zone may be lost together.
[[nodiscard]] std::uint32_t
retries_after_zone_loss(std::vector<known_endpoint const*> const& endpoints);

} // namespace catkinlanding::proxy
