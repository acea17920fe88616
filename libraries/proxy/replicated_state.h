#pragma once

#include <libraries/evacuations/zone_table.h>
#include <libraries/proxy/departure_log.h>
#include <libraries/proxy/document.h>
#include <libraries/proxy/rollout.h>

#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinlanding::proxy {

/// Replaces the document if the revision is higher than the current one, so the order in which
/// documents arrive doesn't matter.
struct replace_document {
  proxy::document document;
  /// The original text, returned when the document is read.
  std::string source;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(document, source);
  }
};

struct start_rollout {
  base::service_id service;
  base::version_id target;
  base::duration duration{};

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, target, duration);
  }
};

/// Written by the leader to advance a rollout to its next state.
struct advance_rollout {
  base::service_id service;
  std::uint64_t number = 0;
  rollout_state state = rollout_state::on_trial;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, number, state);
  }
};

/// Written by the leader before it acknowledges that an endpoint leaves or has ended, or that an
/// availability zone is taken out of use or put back (see `encode_order`).
struct record_departure {
  endpoint_departure departure;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(departure);
  }
};

using command = std::variant<replace_document, start_rollout, advance_rollout, record_departure>;

[[nodiscard]] std::string encode(command const& command);

enum class state_error : std::uint8_t { malformed };

[[nodiscard]] tl::expected<command, state_error> decode_command(std::string_view bytes);

/// The state machine of the replicated log: the current document, the rollouts, the endpoints that
/// left, and the availability zones that are out of use.
class replicated_state {
public:
  /// Returns whether the command changed anything.
  bool apply(command const& command);

  [[nodiscard]] std::uint64_t revision() const { return m_document.revision; }
  [[nodiscard]] proxy::document const& document() const { return m_document; }
  [[nodiscard]] std::string const& source() const { return *m_source; }
  /// The same text, for replies that hold it while they are written.
  [[nodiscard]] std::shared_ptr<std::string const> const& shared_source() const { return m_source; }
  [[nodiscard]] rollout const* find_rollout(base::service_id const& service) const;
  [[nodiscard]] std::vector<rollout> rollouts() const;
  /// Increases with each change of a rollout.
  [[nodiscard]] std::uint64_t rollouts_revision() const { return m_rollouts_revision; }
  [[nodiscard]] departure_log const& departures() const { return m_departures; }
  /// The availability zones that operators took out of use.
  [[nodiscard]] evacuations::zone_table const& zones() const { return m_zones; }

  [[nodiscard]] std::string snapshot() const;
  [[nodiscard]] static tl::expected<replicated_state, state_error>
  from_snapshot(std::string_view bytes);

  /// Without the departures, which follow in a snapshot: snapshots of older builds end before them.
  template<class Archive>
  void serialize(Archive& archive) {
    std::string source = *m_source;
    archive(m_document, source, m_rollouts, m_rollouts_revision);
    m_source = std::make_shared<std::string const>(std::move(source));
  }

private:
  bool apply_one(replace_document const& command);
  bool apply_one(start_rollout const& command);
  bool apply_one(advance_rollout const& command);
  bool apply_one(record_departure const& command);
  /// Moves the orders for zones out of departures that were read from a snapshot.
  void take_orders();

  proxy::document m_document;
  std::shared_ptr<std::string const> m_source = std::make_shared<std::string const>();
  std::map<base::service_id, rollout> m_rollouts;
  std::uint64_t m_rollouts_revision = 0;
  /// Without the orders for zones, which are not dropped when there are many departures.
  departure_log m_departures;
  evacuations::zone_table m_zones;
};

} // namespace catkinlanding::proxy
