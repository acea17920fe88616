#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>

namespace catkinlanding::proxy {

/// One start of an endpoint.
struct endpoint_incarnation {
  base::endpoint_id endpoint;
  std::uint64_t incarnation = 0;

  auto operator<=>(endpoint_incarnation const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, incarnation);
  }
};

/// What an instance last saw an endpoint state about the rate of requests that it accepts from all
/// instances together.
struct rate_notice {
  endpoint_incarnation source;
  /// Requests a second; empty if the endpoint no longer states a rate.
  std::optional<double> rate;
  /// Time since the answer that stated it.
  base::duration age{};

  bool operator==(rate_notice const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(source, rate, age);
  }
};

/// The part of an endpoint's rate that the leader grants to one instance.
struct rate_grant {
  endpoint_incarnation source;
  /// Requests a second from all instances together.
  double rate = 0.0;
  /// Requests a second from this instance; 0 if others use the endpoint.
  double share = 0.0;

  bool operator==(rate_grant const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(source, rate, share);
  }
};

} // namespace catkinlanding::proxy
