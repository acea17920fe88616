#pragma once

#include <libraries/proxy/endpoint_rate.h>

#include <cstdint>
#include <optional>

namespace catkinlanding::proxy {

/// The kinds of statements that an endpoint makes about itself in the header of an answer.
enum class notice_kind : std::uint8_t {
  /// It accepts no further requests.
  leaving,
  /// It accepts no further requests from this instance for some time.
  paused,
  /// It accepts a limited rate of requests from all instances together.
  rate_limited,
  /// It no longer limits the rate.
  rate_unlimited,
  /// It fails when it has to reject more than a number of requests in a second.
  rejection_limited,
};

[[nodiscard]] constexpr char const* name_of(notice_kind kind) {
  switch (kind) {
  case notice_kind::leaving:
    return "leaving";
  case notice_kind::paused:
    return "paused";
  case notice_kind::rate_limited:
    return "rate_limited";
  case notice_kind::rate_unlimited:
    return "rate_unlimited";
  case notice_kind::rejection_limited:
    return "rejection_limited";
  }
  return "unknown";
}

/// What an endpoint states about itself in the header of one answer.
struct endpoint_notice {
  bool is_leaving = false;
  /// How long it accepts no further requests from this instance.
  std::optional<base::duration> pause;
  /// Requests a second that it accepts from all instances together; empty if it states none.
  std::optional<double> rate;
  /// Whether an absent rate means that there is none. A rejection need not repeat the rate.
  bool is_rate_known = false;
  /// Requests a second beyond which it fails if it has to reject them; empty if it states none.
  std::optional<std::uint32_t> max_rejections;

  bool operator==(endpoint_notice const&) const = default;
};

/// What is new in a notice, for logs and metrics.
struct notice_change {
  notice_kind kind = notice_kind::leaving;
  std::optional<base::duration> pause;
  std::optional<double> rate;
  std::optional<std::uint32_t> max_rejections;
};

/// Why a request waits for an endpoint, and for how long.
struct deferral {
  /// The wait for an endpoint whose rate is granted to other instances alone.
  static constexpr base::duration unlimited = base::duration::max();

  endpoint_incarnation source;
  notice_kind kind = notice_kind::paused;
  base::duration wait{};
  /// Time between two requests that the endpoint accepts from this instance, if it states a rate.
  base::duration spacing{};
  /// Time since the endpoint made the statement.
  base::duration age{};
};

} // namespace catkinlanding::proxy
