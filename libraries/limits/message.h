#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

/// Leased shares of the limits, from the share holder to the entry instances and back.
namespace catkinlanding::limits {

/// What is counted under a limit, each second.
enum class limit_kind : std::uint8_t { requests, tokens };
/// Greater numbers are refused when they are decoded.
constexpr limit_kind last_enumerator(limit_kind /*any*/) {
  return limit_kind::tokens;
}

/// Shares count requests in thousandths and tokens whole.
[[nodiscard]] constexpr std::uint64_t units_of(limit_kind kind) {
  return kind == limit_kind::requests ? 1000 : 1;
}

/// What a limit is for: all of a customer's work, or its work of one class.
struct share_key {
  base::customer_id customer;
  base::class_id request_class;
  limit_kind kind = limit_kind::requests;

  auto operator<=>(share_key const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(customer, request_class, kind);
  }
};

/// By limit, each second, in the units of its kind.
using shares = std::map<share_key, std::uint64_t>;

/// An instance says what it could use, and which grant it acts by.
struct share_request {
  /// Grows with each request of one instance, over its starts too.
  std::uint64_t sequence = 0;
  /// The request whose grant the instance acts by; earlier ones are void.
  std::uint64_t active_sequence = 0;
  shares demand;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(sequence, active_sequence, demand);
  }
};

/// Takes the place of all earlier grants to this instance.
struct share_grant {
  /// The request that this answers; the lease runs from when that was sent.
  std::uint64_t sequence = 0;
  base::duration lease{};
  limits::shares shares;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(sequence, lease, shares);
  }
};

using message = std::variant<share_request, share_grant>;

} // namespace catkinlanding::limits
