#pragma once

#include <libraries/proxy/endpoint.h>
#include <libraries/proxy/endpoint_rate.h>

#include <functional>
#include <limits>
#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Stands for the start of an endpoint that withdraws itself, without naming its start, from a
/// leader which does not know it. All announcements under its id are then taken as delayed ones.
constexpr std::uint64_t any_incarnation = std::numeric_limits<std::uint64_t>::max();

/// An endpoint that said that it leaves, or that it has ended.
struct endpoint_departure {
  endpoint_incarnation source;
  /// `leaving` or `gone`.
  endpoint_state state = endpoint_state::leaving;

  bool operator==(endpoint_departure const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(source, state);
  }
};

/// The latest departures of endpoints, as part of the replicated state: a departure is recorded
/// before it is acknowledged, so that no later leader calls the endpoint ready. If there are too
/// many, the oldest record is dropped.
class departure_log {
public:
  /// More endpoints than leave while their delayed announcements may still arrive.
  static constexpr std::size_t max_departures = 2048;

  /// Records a departure. Returns whether that is new.
  bool record(endpoint_departure const& departure);
  /// Whether this departure, or one that implies it, is recorded.
  [[nodiscard]] bool covers(endpoint_departure const& departure) const;
  /// The departure of the endpoint's latest recorded start; nullptr if there is none.
  [[nodiscard]] endpoint_departure const* find(base::endpoint_id const& id) const;
  [[nodiscard]] std::vector<endpoint_departure> all() const;
  [[nodiscard]] std::size_t size() const { return m_entries.size(); }

  /// Takes out the departures whose identifiers `is_taken` accepts.
  [[nodiscard]] std::vector<endpoint_departure>
  take(std::function<bool(base::endpoint_id const&)> const& is_taken);
  /// Adds a departure as the latest one, without regard to the bound. For a copy that is stored.
  void append(endpoint_departure const& departure);

  template<class Archive>
  void serialize(Archive& archive) {
    archive(m_entries, m_last_number);
  }

private:
  struct entry {
    endpoint_departure departure;
    /// Orders the entries by the time of their last change.
    std::uint64_t number = 0;

    template<class Archive>
    void serialize(Archive& archive) {
      archive(departure, number);
    }
  };

  void drop_oldest();

  std::map<base::endpoint_id, entry> m_entries;
  std::uint64_t m_last_number = 0;
};

} // namespace catkinlanding::proxy
