#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

/// Messages that lease shares of the limits from the allocator to the entry instances.
namespace catkinlanding::limits {

/// The quantity that a limit bounds per second.
enum class limit_kind : std::uint8_t { requests, tokens };
/// Greater numbers are refused when they are decoded.
constexpr limit_kind last_enumerator(limit_kind /*any*/) {
  return limit_kind::tokens;
}

/// Units per item in shares, which count requests in thousandths and tokens whole.
[[nodiscard]] constexpr std::uint64_t units_of(limit_kind kind) {
  return kind == limit_kind::requests ? 1000 : 1;
}

/// Identifies a limit: that of a customer, or that of a request class. The other field is empty.
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

/// Amounts per second by limit, in the units of its kind.
using shares = std::map<share_key, std::uint64_t>;

/// Reports an instance's demand and its active grant, and asks for a new grant.
struct share_request {
  /// Grows with each request of one instance, across restarts.
  std::uint64_t sequence = 0;
  /// The sequence of the grant in use; the sender never uses an earlier one again.
  std::uint64_t active_sequence = 0;
  shares demand;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(sequence, active_sequence, demand);
  }
};

/// Replaces all earlier grants to this instance.
struct share_grant {
  /// The sequence of the request answered. The lease runs from the time that request was sent.
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
