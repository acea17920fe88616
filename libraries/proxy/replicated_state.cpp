#include <libraries/base/codec.h>
#include <libraries/proxy/evacuation_codec.h>
#include <libraries/proxy/replicated_state.h>

#include <algorithm>

namespace catkinlanding::proxy {

std::string encode(command const& command) {
  return base::encode(command);
}

tl::expected<command, state_error> decode_command(std::string_view bytes) {
  auto decoded = base::decode<command>(bytes);
  if (!decoded) {
    return tl::unexpected(state_error::malformed);
  }
  return std::move(*decoded);
}

namespace {

/// Number of rolled back versions that are remembered for a service.
constexpr std::size_t max_rejected_versions = 8;

/// Returns the versions that a rollout which follows this one must leave without requests.
std::vector<base::version_id> rejected_after(rollout const& previous,
                                             base::version_id const& target) {
  auto rejected = previous.rejected;
  if (previous.state == rollout_state::rolled_back) {
    rejected.push_back(previous.target);
  }
  std::erase(rejected, target);
  if (rejected.size() > max_rejected_versions) {
    rejected.erase(rejected.begin());
  }
  return rejected;
}

} // namespace

bool replicated_state::apply(command const& command) {
  return std::visit([this](auto const& one) { return apply_one(one); }, command);
}

bool replicated_state::apply_one(replace_document const& command) {
  if (command.document.revision <= m_document.revision) {
    return false;
  }
  m_document = command.document;
  m_source = std::make_shared<std::string const>(command.source);
  return true;
}

bool replicated_state::apply_one(start_rollout const& command) {
  auto const known = m_rollouts.find(command.service);
  bool const is_resent = known != m_rollouts.end() && known->second.target == command.target &&
                         known->second.is_running();
  if (is_resent) {
    return false;
  }
  auto const previous = known == m_rollouts.end() ? rollout{} : known->second;
  m_rollouts[command.service] = {.service = command.service,
                                 .target = command.target,
                                 .duration = command.duration,
                                 .state = rollout_state::prepared,
                                 .number = previous.number + 1,
                                 .rejected = rejected_after(previous, command.target)};
  ++m_rollouts_revision;
  return true;
}

bool replicated_state::apply_one(advance_rollout const& command) {
  auto const known = m_rollouts.find(command.service);
  bool const advances = known != m_rollouts.end() && known->second.number == command.number &&
                        may_follow(known->second.state, command.state);
  if (!advances) {
    return false;
  }
  known->second.state = command.state;
  ++m_rollouts_revision;
  return true;
}

bool replicated_state::apply_one(record_departure const& command) {
  if (auto const order = decode_order(command.departure)) {
    return m_zones.record(*order);
  }
  return m_departures.record(command.departure);
}

void replicated_state::take_orders() {
  evacuations::zone_table zones;
  auto taken = m_departures.take(is_reserved);
  std::ranges::sort(taken, {}, [](auto const& one) { return one.source.incarnation; });
  for (auto const& departure : taken) {
    if (auto const order = decode_order(departure)) {
      zones.record(*order);
    }
  }
  m_zones = std::move(zones);
}

rollout const* replicated_state::find_rollout(base::service_id const& service) const {
  auto const found = m_rollouts.find(service);
  return found == m_rollouts.end() ? nullptr : &found->second;
}

std::vector<rollout> replicated_state::rollouts() const {
  std::vector<rollout> all;
  all.reserve(m_rollouts.size());
  for (auto const& [service, rollout] : m_rollouts) {
    all.push_back(rollout);
  }
  return all;
}

std::string replicated_state::snapshot() const {
  // Older builds read the orders as departures. As the latest ones they are dropped last there.
  auto departures = m_departures;
  for (auto const& order : m_zones.all()) {
    departures.append(encode_order(order));
  }
  return base::encode(*this) + base::encode(departures);
}

tl::expected<replicated_state, state_error>
replicated_state::from_snapshot(std::string_view bytes) {
  std::size_t left = 0;
  auto decoded = base::decode_prefix<replicated_state>(bytes, &left);
  if (!decoded) {
    return tl::unexpected(state_error::malformed);
  }
  if (left == 0) {
    return std::move(*decoded);
  }
  auto departures = base::decode<departure_log>(bytes.substr(bytes.size() - left));
  if (!departures) {
    return tl::unexpected(state_error::malformed);
  }
  decoded->m_departures = std::move(*departures);
  decoded->take_orders();
  return std::move(*decoded);
}

} // namespace catkinlanding::proxy
