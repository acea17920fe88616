#include <libraries/base/hash.h>
#include <libraries/base/verify.h>
#include <libraries/storage/journal.h>
#include <utilities/capacity/cluster.h>
#include <utilities/capacity/meter.h>

#include <algorithm>

namespace catkinlanding::capacity {

namespace {

constexpr base::duration tick_interval = std::chrono::milliseconds(20);
constexpr base::duration message_delay = std::chrono::milliseconds(1);
/// Bytes of the IPv4 and UDP headers.
constexpr std::size_t datagram_overhead = 28;
constexpr base::duration founding_timeout = std::chrono::seconds(60);

} // namespace

cluster::cluster(shape shape) : m_shape(shape) {
  CATKINLANDING_VERIFY(shape.voters <= shape.instances);
  for (std::size_t i = 0; i < shape.instances; ++i) {
    m_ids.push_back({"instance-" + std::to_string(i)});
  }
  for (std::size_t i = 0; i < shape.instances; ++i) {
    make_member(i);
  }
}

membership::member cluster::member_at(std::size_t index) const {
  return {.id = m_ids[index],
          .zone = {"zone-" + std::to_string(index % m_shape.zones)},
          .address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(7000 + index)},
          .is_control = index < m_shape.voters,
          .is_relay = is_relay(index),
          .incarnation = 1};
}

std::vector<base::instance_id> cluster::control_instances(std::size_t index) const {
  std::vector<base::instance_id> ids(m_ids.begin(),
                                     m_ids.begin() + static_cast<std::ptrdiff_t>(m_shape.voters));
  // Rotated by index, so that instances of one zone start with different control instances, as
  // those of many zones would.
  std::rotate(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(index % ids.size()),
              ids.end());
  return ids;
}

bool cluster::is_relay(std::size_t index) const {
  return index >= m_shape.voters && index < m_shape.voters + m_shape.relays;
}

std::vector<base::instance_id> cluster::zone_relays(std::size_t index) const {
  std::vector<base::instance_id> relays;
  for (std::size_t i = 0; i < m_shape.instances; ++i) {
    if (is_relay(i) && i != index && i % m_shape.zones == index % m_shape.zones) {
      relays.push_back(m_ids[i]);
    }
  }
  auto const own = base::stable_hash(m_ids[index].value);
  std::ranges::sort(relays, {}, [&](auto const& id) { return base::stable_hash(id.value, own); });
  return relays;
}

void cluster::make_member(std::size_t index) {
  instance::reducer::options options;
  options.self = m_ids[index];
  options.zone = member_at(index).zone;
  options.control_instances = control_instances(index);
  options.zone_relays = zone_relays(index);
  options.is_relay = is_relay(index);
  options.self_as_member = member_at(index);
  for (std::size_t i = 0; i < m_shape.voters; ++i) {
    options.seeds.push_back(member_at(i));
  }
  for (std::size_t i = 0; i < m_shape.instances; ++i) {
    if (is_relay(i) && i % m_shape.zones == index % m_shape.zones) {
      options.seeds.push_back(member_at(i));
    }
  }
  options.incarnation = 1;
  options.seed = m_shape.seed + index;
  if (index < m_shape.voters) {
    instance::control::options control;
    control.replica.self = {.instance = m_ids[index], .disk_id = index + 1};
    control.replica.seed = m_shape.seed + index;
    for (auto const& id : options.control_instances) {
      if (id != m_ids[index]) {
        control.replica.peers.push_back(id);
      }
    }
    options.control = std::move(control);
  }
  m_members[m_ids[index]].reducer =
      std::make_unique<instance::reducer>(instance::reducer::create(std::move(options), {}, m_now));
}

void cluster::found() {
  std::vector<base::instance_id> voters(
      m_ids.begin(), m_ids.begin() + static_cast<std::ptrdiff_t>(m_shape.voters));
  reduce(m_ids[0], operators::command{.number = ++m_commands,
                                      .request = operators::found_deployment{std::move(voters)}});
  auto const end = m_now + founding_timeout;
  auto const is_settled = [&] {
    auto const status = m_members.at(leader()).reducer->status(m_now);
    return status.configuration.voters.size() == m_shape.voters &&
           std::ranges::all_of(m_members, [&](auto const& item) {
             return item.second.reducer->status(m_now).has_lease;
           });
  };
  while (!is_settled()) {
    CATKINLANDING_VERIFY(m_now < end);
    run_for(std::chrono::milliseconds(100));
  }
}

void cluster::run_for(base::duration duration) {
  auto const end = m_now + duration;
  while (m_now < end) {
    auto const next = m_now + tick_interval;
    while (!m_deliveries.empty() && m_deliveries.top().due <= next) {
      auto const delivery = m_deliveries.top();
      m_deliveries.pop();
      m_now = std::max(m_now, delivery.due);
      auto& usage = m_members.at(delivery.to).usage;
      usage.received_bytes += delivery.bytes.size() + datagram_overhead;
      auto const before = processor_time();
      auto envelope = instance::decode(delivery.bytes);
      usage.processor_time += processor_time() - before;
      CATKINLANDING_VERIFY(envelope.has_value());
      reduce(delivery.to, instance::message_received{envelope->from, std::move(envelope->message)});
    }
    m_now = next;
    for (auto const& id : m_ids) {
      reduce(id, instance::tick{});
    }
  }
}

void cluster::clear_usage() {
  for (auto& [id, member] : m_members) {
    member.usage = {};
  }
}

void cluster::apply(catalogue::change change) {
  reduce(leader(), operators::command{.number = ++m_commands,
                                      .request = operators::apply_change{std::move(change)}});
}

void cluster::announce(std::size_t instance, endpoints::announcement announcement) {
  reduce(m_ids.at(instance), instance::endpoint_announced{std::move(announcement)});
}

void cluster::run_request(std::size_t instance, requests::caller_request request) {
  reduce(m_ids.at(instance), requests::event{std::move(request)});
}

void cluster::answer_attempt(base::instance_id const& id, requests::attempt_number attempt) {
  reduce(id, requests::event{requests::attempt_head{
                 .attempt = attempt, .status = 200, .content_type = "application/json"}});
  reduce(id, requests::event{requests::attempt_data{.attempt = attempt, .bytes = "{}"}});
  reduce(id, requests::event{requests::attempt_finished{
                 .attempt = attempt, .usage = {.prompt_tokens = 900, .completion_tokens = 400}}});
}

base::instance_id cluster::leader() const {
  for (auto const& [id, member] : m_members) {
    if (member.reducer->status(m_now).role == consensus::role::leader) {
      return id;
    }
  }
  return m_ids[0];
}

usage const& cluster::usage_of(base::instance_id const& id) const {
  return m_members.at(id).usage;
}

instance::reducer const& cluster::reducer(base::instance_id const& id) const {
  return *m_members.at(id).reducer;
}

catalogue::revision cluster::min_revision() const {
  auto lowest = m_members.begin()->second.reducer->document().revision();
  for (auto const& [id, member] : m_members) {
    lowest = std::min(lowest, member.reducer->document().revision());
  }
  return lowest;
}

void cluster::reduce(base::instance_id const& id, instance::event const& event) {
  auto& member = m_members.at(id);
  auto const before = processor_time();
  auto const effects = member.reducer->reduce(event, m_now);
  member.usage.processor_time += processor_time() - before;
  perform(id, effects);
}

void cluster::perform(base::instance_id const& id, instance::effects const& effects) {
  auto& usage = m_members.at(id).usage;
  for (auto const& effect : effects) {
    if (auto const* send = std::get_if<instance::send>(&effect)) {
      auto const before = processor_time();
      instance::envelope envelope;
      envelope.from = id;
      envelope.message = send->message;
      auto bytes = instance::encode(envelope);
      usage.processor_time += processor_time() - before;
      if (send->to != id) {
        ++usage.sent_messages;
        usage.sent_bytes += bytes.size() + datagram_overhead;
      }
      m_deliveries.push({.due = m_now + message_delay,
                         .order = ++m_order,
                         .to = send->to,
                         .bytes = std::move(bytes)});
    } else if (auto const* log = std::get_if<instance::write_log>(&effect)) {
      usage.log_bytes += storage::frame_record(storage::encode_log_write(log->write)).size();
      reduce(id, instance::log_written{log->write.id});
    } else if (auto const* ledger = std::get_if<instance::write_ledger>(&effect)) {
      usage.log_bytes +=
          storage::frame_record(storage::encode_ledger_write(ledger->write.bills)).size();
      reduce(id, instance::ledger_written{ledger->write.id});
    } else if (auto const* request = std::get_if<requests::effect>(&effect)) {
      if (auto const* dispatch = std::get_if<requests::dispatch>(request)) {
        answer_attempt(id, dispatch->attempt);
      }
    }
  }
}

} // namespace catkinlanding::capacity
