#include <libraries/base/hash.h>
#include <libraries/base/overloaded.h>
#include <libraries/base/try.h>
#include <libraries/base/verify.h>
#include <services/daemon/clock.h>
#include <services/daemon/connections/process_limits.h>
#include <services/daemon/daemon.h>

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iterator>
#include <random>

namespace catkinlanding::daemon {

namespace {

constexpr std::chrono::milliseconds tick_interval{20};
/// Queued replies have this long to be written before the shutdown checks for requests in flight.
constexpr std::chrono::milliseconds reply_flush_interval{200};

std::uint64_t random_number() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

std::uint64_t wall_clock_milliseconds() {
  auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

/// Returns the instances with the control role, those of this instance's zone first.
std::vector<base::instance_id> control_instances(settings::daemon_settings const& settings) {
  std::vector<settings::instance_settings const*> found;
  for (auto const& instance : settings.instances) {
    if (instance.is_control) {
      found.push_back(&instance);
    }
  }
  auto const& own_zone = settings.self().zone;
  std::stable_partition(found.begin(), found.end(),
                        [&](auto const* i) { return i->zone == own_zone; });
  std::vector<base::instance_id> ids;
  ids.reserve(found.size());
  for (auto const* instance : found) {
    ids.push_back(instance->id);
  }
  return ids;
}

/// Returns the other relays of this instance's zone. Each instance sorts them by a hash seeded with
/// its own id, so that the zone's instances are spread over the relays.
std::vector<base::instance_id> zone_relays(settings::daemon_settings const& settings) {
  std::vector<base::instance_id> relays;
  for (auto const& instance : settings.instances) {
    if (instance.is_relay && instance.zone == settings.self().zone && instance.id != settings.id) {
      relays.push_back(instance.id);
    }
  }
  auto const own = base::stable_hash(settings.id.value);
  std::ranges::sort(relays, {}, [&](auto const& id) { return base::stable_hash(id.value, own); });
  return relays;
}

resources::daemon_plan plan_for(settings::machine_settings const& settings) {
  constexpr std::size_t bytes_per_megabyte = 1024UL * 1024;
  auto const descriptors = settings.max_descriptors == 0
                               ? std::nullopt
                               : std::optional<std::size_t>(settings.max_descriptors);
  return resources::plan_daemon(
      connections::read_machine(settings.memory_megabytes * bytes_per_megabyte, descriptors));
}

caller_server::options caller_options(settings::caller_settings const& settings,
                                      resources::daemon_plan const& plan) {
  return {.max_connections = std::min<std::size_t>(settings.most_connections, plan.max_callers),
          .max_body_size = settings.largest_body_bytes,
          .request_bytes = plan.request_bytes,
          .answer_bytes = plan.answer_bytes,
          .socket_bytes = plan.caller_socket_bytes,
          .max_header_size = settings.largest_header_bytes,
          .max_queued_bytes = settings.largest_queue_bytes,
          .read_timeout = settings.read_timeout,
          .write_timeout = settings.write_timeout};
}

endpoint_client::options endpoint_options(settings::endpoint_settings const& settings,
                                          resources::daemon_plan const& plan) {
  return {.max_connections = plan.max_upstreams,
          .arriving_bytes = plan.arriving_bytes,
          .socket_bytes = plan.upstream_socket_bytes,
          .connect_timeout = settings.connect_timeout,
          .write_timeout = settings.write_timeout,
          .head_timeout = settings.head_timeout,
          .silence_timeout = settings.silence_timeout,
          .max_buffered_answer_size = settings.largest_answer_bytes};
}

membership::member as_member(settings::instance_settings const& instance) {
  return {.id = instance.id,
          .zone = instance.zone,
          .address = instance.address,
          .is_control = instance.is_control,
          .is_relay = instance.is_relay};
}

std::vector<membership::member> seeds(settings::daemon_settings const& settings) {
  std::vector<membership::member> members;
  members.reserve(settings.instances.size());
  std::ranges::transform(settings.instances, std::back_inserter(members), as_member);
  return members;
}

} // namespace

tl::expected<std::unique_ptr<daemon>, daemon::start_error>
daemon::create(settings::daemon_settings settings) {
  std::unique_ptr<daemon> created(new daemon(std::move(settings)));
  // Binds the ports before opening the files, so that a second process with the same settings fails
  // before it touches them.
  auto listeners = CATKINLANDING_TRY(created->open_listeners());
  if (created->m_settings.self().is_control) {
    CATKINLANDING_TRY_VOID(created->open_data_folder());
  }
  created->make_reducer();
  created->start_servers(std::move(listeners));
  return created;
}

daemon::daemon(settings::daemon_settings settings) : m_settings(std::move(settings)) {}

tl::expected<void, data_folder_error> daemon::open_data_folder() {
  auto const report = [this](instance::event event) {
    boost::asio::post(m_context, [this, event = std::move(event)] { reduce(event); });
  };
  data_folder::callbacks callbacks{
      .log_written = [report](consensus::write_id id) { report(instance::log_written{id}); },
      .ledger_written = [report](std::uint64_t id) { report(instance::ledger_written{id}); },
      .failed =
          [](file_error error) {
            // After a failed write or sync the content of the disk is unknown, so the process ends.
            spdlog::critical("disk: can't write to the data folder, error {}",
                             static_cast<int>(error));
            std::abort();
          },
  };
  m_data_folder = CATKINLANDING_TRY(
      data_folder::open(*m_settings.data_folder, random_number(), std::move(callbacks)));
  return {};
}

void daemon::make_reducer() {
  instance::reducer::options options;
  options.self = m_settings.id;
  options.zone = m_settings.self().zone;
  options.control_instances = control_instances(m_settings);
  options.zone_relays = zone_relays(m_settings);
  options.is_relay = m_settings.self().is_relay;
  options.max_floor_holders = settings::max_floor_holders;
  for (auto const& instance : m_settings.instances) {
    options.members.push_back({.instance = instance.id, .zone = instance.zone});
  }
  options.incarnation = wall_clock_milliseconds();
  options.self_as_member = as_member(m_settings.self());
  options.self_as_member.incarnation = options.incarnation;
  options.seeds = seeds(m_settings);
  options.seed = random_number();
  options.stop_notice = m_settings.callers.stop_notice;
  instance::reducer::recovered recovered;
  if (m_data_folder) {
    recovered = m_data_folder->take_recovered();
    instance::control::options control;
    control.replica.self = {.instance = m_settings.id, .disk_id = m_data_folder->disk_id()};
    control.replica.seed = random_number();
    for (auto const& id : options.control_instances) {
      if (id != m_settings.id) {
        control.replica.peers.push_back(id);
      }
    }
    options.control = std::move(control);
  }
  m_reducer = std::make_unique<instance::reducer>(
      instance::reducer::create(std::move(options), recovered, now()));
}

tl::expected<daemon::listeners, listener_error> daemon::open_listeners() {
  auto const& own = m_settings.self().address;
  return listeners{
      .datagrams = CATKINLANDING_TRY(open_datagram_socket(m_context, own)),
      .peers = CATKINLANDING_TRY(open_acceptor(m_context, own)),
      .callers = CATKINLANDING_TRY(open_acceptor(m_context, m_settings.callers.listener)),
      .operators = CATKINLANDING_TRY(open_acceptor(m_context, m_settings.operator_listener)),
  };
}

void daemon::start_servers(listeners listeners) {
  auto const plan = plan_for(m_settings.machine);
  std::map<base::instance_id, base::address> peers;
  for (auto const& instance : m_settings.instances) {
    peers[instance.id] = instance.address;
  }
  m_peers = std::make_unique<peer_transport>(
      m_context, peer_transport::identity{.self = m_settings.id, .incarnation = random_number()},
      peer_transport::sockets{std::move(listeners.datagrams), std::move(listeners.peers)}, peers,
      [this](base::instance_id const& from, instance::message message) {
        reduce(instance::message_received{from, std::move(message)});
      },
      plan.peers);
  m_endpoints = std::make_unique<endpoint_client>(
      m_context, endpoint_options(m_settings.endpoints, plan),
      [this](requests::event event) { reduce(std::move(event)); });
  m_ratings = std::make_unique<rating_client>(m_context, rating_client::options{},
                                              [this](routing::rating_result result) {
                                                m_metrics.count_rating(result.judgement);
                                                reduce(result);
                                              });
  m_callers = std::make_unique<caller_server>(
      m_context, std::move(listeners.callers), caller_options(m_settings.callers, plan),
      caller_server::handlers{
          .on_request_event = [this](requests::event event) { reduce(std::move(event)); },
          .on_announcement =
              [this](endpoints::announcement announcement) {
                reduce(instance::endpoint_announced{std::move(announcement)});
              },
          .metrics =
              [this] {
                auto const& inbound = m_peers->inbound();
                m_metrics.set_state("peer_connections", static_cast<double>(inbound.size()));
                m_metrics.set_state("peer_connections_closed",
                                    static_cast<double>(inbound.closed()));
                return m_metrics.page(m_reducer->status(now()), m_reducer->request_counters());
              },
          .is_ready = [this] { return m_reducer->is_ready(now()); },
      });
  m_operators = std::make_unique<operator_server>(
      m_context, std::move(listeners.operators), plan.operators,
      [this](operators::command command) { reduce(std::move(command)); });
}

int daemon::run() {
  spdlog::info("daemon: instance {} in zone {} has started", m_settings.id.value,
               m_settings.self().zone.value);
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  await_signal();
  schedule_tick();
  m_context.run();
  spdlog::info("daemon: stopped");
  return EXIT_SUCCESS;
}

void daemon::schedule_tick() {
  m_tick.expires_after(tick_interval);
  m_tick.async_wait([this](boost::system::error_code error) {
    if (error || m_is_stopped) {
      return;
    }
    reduce(instance::tick{});
    if (!m_is_stopped) {
      schedule_tick();
    }
  });
}

void daemon::await_signal() {
  m_signals.async_wait([this](boost::system::error_code error, int /*signal*/) {
    if (error) {
      return;
    }
    spdlog::info("daemon: received a signal to stop");
    reduce(instance::stop_requested{});
    // Keeps handling signals, so that a second one doesn't kill the process during the shutdown.
    await_signal();
  });
}

void daemon::reduce(instance::event const& event) noexcept {
  auto effects = m_reducer->reduce(event, now());
  for (auto& effect : effects) {
    std::visit([this](auto& alternative) { perform(alternative); }, effect);
  }
}

void daemon::perform(instance::send& effect) {
  m_peers->send(effect.to, std::move(effect.message), effect.needs_new_connection);
}

void daemon::perform(instance::write_log& effect) {
  CATKINLANDING_VERIFY(m_data_folder != nullptr);
  m_data_folder->write(effect.write);
}

void daemon::perform(instance::write_ledger& effect) {
  CATKINLANDING_VERIFY(m_data_folder != nullptr);
  m_data_folder->write(effect.write);
}

void daemon::perform(operators::answer& effect) {
  m_operators->answer(effect);
}

void daemon::perform(requests::effect& effect) {
  std::visit(base::overloaded{
                 [this](requests::dispatch& value) { m_endpoints->start(std::move(value)); },
                 [this](requests::cancel_attempt& value) { m_endpoints->cancel(value.attempt); },
                 [this](requests::observe_request& value) { m_metrics.observe(value); },
                 [this](requests::observe_queueing& value) { m_metrics.observe(value); },
                 [this](requests::reply_failure& value) {
                   m_metrics.count(value);
                   m_request_log.lost(value, now());
                   m_callers->reply(value);
                 },
                 [](requests::charge& /*value*/) { CATKINLANDING_VERIFY(false); },
                 [](requests::claim_action& /*value*/) { CATKINLANDING_VERIFY(false); },
                 [](requests::pin_session& /*value*/) { CATKINLANDING_VERIFY(false); },
                 [](requests::evaluate_answer& /*value*/) { CATKINLANDING_VERIFY(false); },
                 [](requests::rate_answer& /*value*/) { CATKINLANDING_VERIFY(false); },
                 [this](auto& reply) { m_callers->reply(reply); },
             },
             effect);
}

void daemon::perform(instance::update_address& effect) {
  m_peers->set_peer_address(effect.instance, effect.address);
}

void daemon::perform(instance::state_change& effect) {
  using instance::state_change_kind;
  switch (effect.kind) {
  case state_change_kind::leadership_won:
    spdlog::info("control: became leader in term {}", effect.value);
    break;
  case state_change_kind::leadership_lost:
    spdlog::info("control: lost leadership in term {}", effect.value);
    break;
  case state_change_kind::lease_regained:
    spdlog::info("catalogue: acquired a lease");
    break;
  case state_change_kind::lease_lost:
    spdlog::warn("catalogue: the lease expired");
    break;
  case state_change_kind::revision_reached:
    spdlog::info("catalogue: revision {} is in force", effect.value);
    break;
  case state_change_kind::voter_added:
    spdlog::info("control: {} became a voter", effect.subject);
    break;
  case state_change_kind::voter_removed:
    spdlog::info("control: {} is no longer a voter", effect.subject);
    break;
  case state_change_kind::zone_silent:
    spdlog::warn("control: receiving nothing from zone {}", effect.subject);
    break;
  case state_change_kind::zone_recovered:
    spdlog::info("control: receiving from zone {} again", effect.subject);
    break;
  case state_change_kind::endpoints_changed:
    spdlog::info("endpoints: {} are available", effect.value);
    break;
  }
}

void daemon::perform(routing::rating_request& effect) {
  m_ratings->start(effect);
}

void daemon::perform(instance::stop_report& effect) {
  request_log::stopping(effect);
}

void daemon::perform(instance::stop& /*effect*/) {
  if (m_is_stopped) {
    return;
  }
  m_is_stopped = true;
  m_callers->stop_accepting();
  stop_when_idle();
}

void daemon::stop_when_idle() {
  m_tick.expires_after(reply_flush_interval);
  m_tick.async_wait([this](boost::system::error_code /*error*/) {
    if (m_callers->is_idle()) {
      m_context.stop();
      return;
    }
    stop_when_idle();
  });
}

} // namespace catkinlanding::daemon
