#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/stamp.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Discovery of endpoints by their announcements, and which of them may receive new work.
namespace catkinlanding::endpoints {

enum class endpoint_kind : std::uint8_t {
  engine,
  service,
  /// Rates answers; receives no requests of callers.
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

/// The load that an engine reports, which lags behind the actual one.
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

/// The self-description that an endpoint sends about once a second.
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
  /// Requests that the endpoint processes concurrently; further ones wait in its queue.
  std::uint32_t slots = 1;
  bool is_leaving = false;
  /// When the endpoint sent this, on its own monotonic clock.
  std::optional<base::duration> sent_at;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, incarnation, sequence, zone, address, kind, versions, service, load, slots,
            is_leaving, sent_at);
  }
};

/// An announcement forwarded to another entry instance of the zone.
struct forwarded_announcement {
  endpoints::announcement announcement;
  /// Time since the endpoint sent it.
  base::duration age{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(announcement, age);
  }
};

/// The compact form of an announcement in which nothing but the load has changed, as in most.
struct load_update {
  /// `content_hash` of the announcement.
  std::uint64_t content = 0;
  std::uint32_t sequence = 0;
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  std::uint16_t cache_permille = 0;
  /// Time since the endpoint sent it.
  std::uint16_t age_milliseconds = 0;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(content, sequence, running, waiting, cache_permille, age_milliseconds);
  }
};

/// Returns the receiver's own stamp, with the time for which the sender has held it. The message
/// that carries it was sent no earlier than the sum of both on the receiver's clock.
struct echo {
  base::stamp stamp;
  base::duration held{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(stamp, held);
  }
};

/// The announcements that one entry instance forwards to another of its zone in one message.
struct announcement_batch {
  /// Send time, which the receiver echoes.
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
