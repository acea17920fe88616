#pragma once

#include <libraries/base/identifier.h>
#include <libraries/catalogue/rollout.h>
#include <libraries/catalogue/stewardship.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What operators write: customers, models, versions, classes and services, each with an owner,
/// a class and limits.
namespace catkinlanding::catalogue {

/// Permission to use versions of one model. An empty list of versions allows all of them.
struct allowance {
  base::model_id model;
  std::vector<base::version_id> versions;

  bool operator==(allowance const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(model, versions);
  }
};

/// A customer, recognised by the hash of its key, and what it may use.
struct customer {
  base::customer_id id;
  catalogue::stewardship stewardship;
  /// SHA-256 digests, in hexadecimal, of the keys that callers of this customer present.
  std::vector<std::string> key_hashes;
  std::vector<allowance> allowances;
  std::vector<base::service_id> services;

  bool operator==(customer const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, stewardship, key_hashes, allowances, services);
  }
};

/// A kind of work: how urgent it is and how good its answers must be.
struct request_class {
  base::class_id id;
  catalogue::stewardship stewardship;
  /// Smaller runs first.
  std::uint32_t priority = 0;
  std::chrono::milliseconds deadline{30'000};
  /// Share of answers that must be rated good, from 0 to 1.
  double quality_target = 0.0;

  bool operator==(request_class const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, stewardship, priority, deadline, quality_target);
  }
};

/// A model, which callers name; its versions do the work.
struct model {
  base::model_id id;
  catalogue::stewardship stewardship;

  bool operator==(model const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, stewardship);
  }
};

/// How far a version is trusted.
enum class standing : std::uint8_t {
  /// Under roll-out: by default gets new work only under a lease on the catalogue.
  trial,
  /// Gets new work in a cut-off availability zone too, for a bounded time.
  settled,
  /// Gets no new work anywhere.
  withdrawn,
};
/// Greater numbers are refused when they are decoded.
constexpr standing last_enumerator(standing /*any*/) {
  return standing::withdrawn;
}

/// A version of a model.
struct version {
  base::model_id model;
  base::version_id id;
  catalogue::stewardship stewardship;
  catalogue::standing standing = standing::settled;
  /// Price in millionths of the currency per thousand tokens.
  std::uint64_t price_per_thousand_tokens = 0;
  /// Expected share of good answers before any rating is known, from 0 to 1.
  double quality_prior = 0.5;
  /// Share of new sessions, in thousandths, that a version on trial may get.
  std::uint32_t exposure_permille = 1000;
  /// How long an instance may give the version new work after its lease on the catalogue ended.
  /// Absent for the default of the standing; never more than `longest_without_lease`.
  std::optional<std::chrono::seconds> without_lease;

  bool operator==(version const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(model, id, stewardship, standing, price_per_thousand_tokens, quality_prior,
            exposure_permille, without_lease);
  }
};

/// What a settled version gets where its entry does not say otherwise.
constexpr std::chrono::seconds default_without_lease = std::chrono::hours(1);
/// No entry may ask for more.
constexpr std::chrono::seconds longest_without_lease = std::chrono::hours(24);

/// How long after the end of its lease an instance may give the version new work.
[[nodiscard]] std::chrono::seconds time_without_lease(version const& version);

/// A plain service that the system routes to by path.
struct service {
  base::service_id id;
  catalogue::stewardship stewardship;
  /// Whether a call may be repeated without harm.
  bool is_idempotent = false;
  /// Price in millionths of the currency per call.
  std::uint64_t price_per_call = 0;

  bool operator==(service const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, stewardship, is_idempotent, price_per_call);
  }
};

using entry = std::variant<customer, request_class, model, version, service, rollout>;

/// The kinds of entry, in the order of the alternatives of `entry`.
enum class entry_kind : std::uint8_t {
  customer,
  request_class,
  model,
  version,
  service,
  rollout,
};
/// Greater numbers are refused when they are decoded.
constexpr entry_kind last_enumerator(entry_kind /*any*/) {
  return entry_kind::rollout;
}

/// Names one entry. A version is named by `MODEL/VERSION`, a roll-out by its model.
struct entry_reference {
  entry_kind kind = entry_kind::customer;
  std::string id;

  auto operator<=>(entry_reference const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(kind, id);
  }
};

[[nodiscard]] entry_reference reference_to(entry const& entry);

/// Whether the text may be an id or a name: it holds no control character, so that it can't break
/// a line of a log, a header or a page.
[[nodiscard]] bool is_sound_name(std::string_view text);
/// Whether this holds for every id and name of the entry.
[[nodiscard]] bool has_sound_names(entry const& entry);

} // namespace catkinlanding::catalogue
