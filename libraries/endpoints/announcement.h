#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/stamp.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Endpoints announce themselves; this part keeps which of them may get new work.
namespace catkinlanding::endpoints {

enum class endpoint_kind : std::uint8_t {
  engine,
  service,
  /// Rates answers; gets no work of callers.
  rating,
};
/// Greater numbers are refused when they are decoded.
constexpr endpoint_kind last_enumerator(endpoint_kind /*any*/) {
  return endpoint_kind::rating;
}

/// A version that an engine has loaded.
struct served_version {
  base::model_id model;
  base::version_id version;

  auto operator<=>(served_version const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(model, version);
  }
};

/// What an engine reports of its work. It lags behind what the engine does.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Used share of the KV cache, in thousandths.
  std::uint32_t cache_permille = 0;

  bool operator==(load_report const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(running, waiting, cache_permille);
  }
};

/// What an endpoint says of itself, about once a second.
struct announcement {
  base::endpoint_id endpoint;
  /// Grows with each start of the endpoint.
  std::uint64_t incarnation = 0;
  /// Grows with each announcement of one incarnation.
  std::uint64_t sequence = 0;
  base::availability_zone_id zone;
  base::address address;
  endpoint_kind kind = endpoint_kind::engine;
  std::vector<served_version> versions;
  base::service_id service;
  load_report load;
  /// Requests that the endpoint works on at once; more of them wait in its queue.
  std::uint32_t slots = 1;
  bool is_leaving = false;
  /// When the endpoint said it, on a clock of its own that never goes back.
  std::optional<base::duration> sent_at;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, incarnation, sequence, zone, address, kind, versions, service, load, slots,
            is_leaving, sent_at);
  }
};

/// An announcement passed on to another entry instance of the zone.
struct forwarded_announcement {
  endpoints::announcement announcement;
  /// Time since the endpoint said it.
  base::duration age{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(announcement, age);
  }
};

/// An announcement that says nothing new but its load. Small, since most are of this kind.
struct load_update {
  /// Hash over everything that the announcement says of the endpoint, its incarnation too.
  std::uint64_t content = 0;
  std::uint32_t sequence = 0;
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  std::uint16_t cache_permille = 0;
  /// Time since the endpoint said it.
  std::uint16_t age_milliseconds = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(content, sequence, running, waiting, cache_permille, age_milliseconds);
  }
};

/// A stamp of the receiver's that came back, and how long its holder had kept it: the message that
/// carries it was sent no earlier than the sum of both on the receiver's clock.
struct echo {
  base::stamp stamp;
  base::duration held{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(stamp, held);
  }
};

/// What one entry instance passes on to another of its zone at once.
struct announcement_batch {
  /// When it was sent, for the receiver to echo.
  base::stamp stamp;
  std::optional<endpoints::echo> echo;
  std::vector<forwarded_announcement> full;
  std::vector<load_update> load_updates;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(stamp, echo, full, load_updates);
  }
};

using message = announcement_batch;

struct outgoing {
  base::instance_id to;
  endpoints::message message;
};

using effects = std::vector<outgoing>;

} // namespace catkinlanding::endpoints
