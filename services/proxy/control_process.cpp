#include <libraries/base/overloaded.h>
#include <libraries/base/try.h>
#include <libraries/consensus/disk_identity.h>
#include <services/proxy/clock.h>
#include <services/proxy/control_process.h>

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>

namespace catkinlanding::proxy {

namespace {

/// After this time without a reply the call is answered as unavailable.
constexpr std::chrono::milliseconds reply_timeout{3000};
constexpr std::chrono::milliseconds stop_check_interval{20};
constexpr std::chrono::milliseconds stop_margin{500};
/// Time for queued replies to be written before the process stops.
constexpr std::chrono::milliseconds reply_flush_time{100};

/// The seeds. All instances use the same ports, so the peer port is this instance's own.
std::vector<base::instance_id> seed_instances(process_settings const& settings) {
  std::vector<base::instance_id> seeds;
  for (auto const& seed : settings.seeds) {
    seeds.push_back(instance_at({.ip = seed.ip, .port = settings.peers.port}));
  }
  return seeds;
}

/// The seeds without this instance.
std::vector<base::instance_id> other_seed_instances(process_settings const& settings) {
  auto others = seed_instances(settings);
  std::erase(others, settings.id());
  return others;
}

char const* name_of_call(call_request const& call) {
  constexpr std::array<char const*, std::variant_size_v<call_request>> names{
      "replace_document",  "read_document",     "start_rollout",    "read_rollout",
      "announce_endpoint", "withdraw_endpoint", "begin_evacuation", "end_evacuation"};
  return names.at(call.index());
}

char const* name_of_event(control_event event) {
  constexpr std::array<char const*, 18> names{
      "leadership_won",   "leadership_lost",        "document_applied",
      "rollout_changed",  "rollout_requested",      "rollout_decided",
      "endpoint_changed", "evacuation_requested",   "evacuation_changed",
      "voters_changed",   "voters_proposed",        "quorum_gained",
      "quorum_lost",      "instance_joined",        "instance_lost",
      "state_repeated",   "cold_endpoints_changed", "voters_awaited"};
  return names.at(static_cast<std::size_t>(event));
}

} // namespace

control_process::control_process(process::options options,
                                 proxy::protocol_adapter const& protocol_adapter)
    : m_process(std::move(options)), m_protocol_adapter(protocol_adapter) {}

tl::expected<void, control_process::open_error> control_process::open() {
  CATKINLANDING_TRY_VOID(open_listeners());
  CATKINLANDING_TRY_VOID(open_data_folder());
  return {};
}

tl::expected<void, daemon::data_folder_error> control_process::open_data_folder() {
  auto const& settings = m_process.settings();
  daemon::data_folder::callbacks callbacks{
      .log_written =
          [this](consensus::write_id id) {
            boost::asio::post(m_process.io(), [this, id] {
              control_effects effects;
              m_control->complete_write(id, now(), effects);
              apply_effects(std::move(effects));
            });
          },
      .ledger_written = [](std::uint64_t /*id*/) {},
      .failed =
          [](daemon::file_error error) {
            // After a failed write the content of the disk is unknown, so the process must not
            // continue.
            spdlog::critical("disk write_failed error={}", static_cast<int>(error));
            spdlog::shutdown();
            std::abort();
          },
  };
  auto const moved = settings.has_stable_inodes ? daemon::moved_file_policy::treat_as_copy
                                                : daemon::moved_file_policy::treat_as_original;
  m_data_folder = CATKINLANDING_TRY(daemon::data_folder::open(
      settings.data_folder.value_or(""),
      consensus::make_disk_id(random_number(), settings.is_first_start, seed_instances(settings)),
      std::move(callbacks), moved));
  control::options options;
  options.replica.self = {.instance = settings.id(), .disk_id = m_data_folder->disk_id()};
  options.replica.seed = random_number();
  options.replica.peers = other_seed_instances(settings);
  options.evaluator.resend_timeout = settings.resend_timeout;
  options.replica.founders = seed_instances(settings);
  options.voters.tolerated_losses = settings.tolerated_losses;
  options.read_cold_rates = [this](std::string const& source) {
    return m_protocol_adapter.read_cold_rates(source);
  };
  auto const recovered = m_data_folder->take_recovered();
  spdlog::info("process recovered entries={} snapshot={} term={} disk_id={:x} first_disk={}",
               recovered.log.entries.size(), recovered.log.snapshot.index,
               recovered.log.hard_state.term, m_data_folder->disk_id(),
               options.replica.self.has_first_disk());
  m_control = std::make_unique<control>(control::create(std::move(options), recovered.log, now()));
  return {};
}

tl::expected<void, daemon::listener_error> control_process::open_listeners() {
  auto const plan = resources::plan_control(m_process.machine());
  CATKINLANDING_TRY_VOID(m_process.open(
      {.peers = plan.peers, .metrics = plan.metrics},
      {
          .on_message =
              [this](base::instance_id const& from, message const& message) {
                control_effects effects;
                m_control->receive(from, message, now(), effects);
                apply_effects(std::move(effects));
              },
          .on_tick =
              [this] {
                control_effects effects;
                m_control->tick(now(), effects);
                apply_effects(std::move(effects));
              },
          .on_stop = [this](int signal) { on_stop(signal); },
          .on_settings =
              [this](process_settings const& changed) {
                m_control->use_seeds(other_seed_instances(changed));
                m_control->use_tolerated_losses(changed.tolerated_losses);
              },
          .on_metrics =
              [this](metrics& metrics) {
                metrics.set_gauge("document_revision",
                                  static_cast<double>(m_control->state().revision()));
                metrics.set_gauge("endpoints", static_cast<double>(m_control->registry().size()));
                metrics.set_gauge(
                    "zones_out_of_use",
                    static_cast<double>(m_control->state().zones().zones_out_of_use().size()));
                metrics.set_gauge("cold_endpoints",
                                  static_cast<double>(m_control->cold_endpoints().all().size()));
                metrics.set_gauge("term", static_cast<double>(m_control->replica().term()));
                bool const is_leader = m_control->replica().role() == consensus::role::leader;
                metrics.set_gauge("is_leader", is_leader ? 1.0 : 0.0);
                metrics.set_gauge("relayed_announcements",
                                  static_cast<double>(m_control->relay().accepted()));
                if (m_call_server) {
                  metrics.set_gauge("callers",
                                    static_cast<double>(m_call_server->connection_count()));
                  metrics.set_gauge("callers_gave_way",
                                    static_cast<double>(m_call_server->closed_for_others()));
                  metrics.set_gauge("callers_refused",
                                    static_cast<double>(m_call_server->refused_connections()));
                }
              },
      }));
  if (auto const& calls = m_process.settings().calls) {
    auto acceptor = CATKINLANDING_TRY(daemon::open_acceptor(m_process.io(), *calls));
    m_call_server = std::make_unique<http_server>(
        m_process.io(), std::move(acceptor), http_server::options{.bounds = plan.calls},
        [this](http_request request) { return handle_call(std::move(request)); });
  }
  return {};
}

daemon::awaitable<served_answer> control_process::handle_call(http_request request) {
  auto call = m_protocol_adapter.read_call(request);
  if (!call) {
    spdlog::warn("call refused target={} fault={} detail=\"{}\"", std::string(request.target()),
                 static_cast<int>(call.error().kind), call.error().detail);
    co_return served_answer{.message = m_protocol_adapter.write_call_error(call.error()),
                            .shared_body = {}};
  }
  auto const reply = co_await wait_for_reply(*call);
  log_call(*call, reply);
  co_return served_answer{
      .message = m_protocol_adapter.write_reply(request, *call, reply, leader_address(reply)),
      .shared_body = reply.source};
}

daemon::awaitable<call_reply> control_process::wait_for_reply(call_request const& call) {
  auto const number = ++m_last_call;
  auto const pending = std::make_shared<pending_call>(m_process.io());
  m_pending_calls[number] = pending;
  control_effects effects;
  m_control->receive(number, call, now(), effects);
  apply_effects(std::move(effects));
  if (!pending->reply) {
    pending->wakeup.expires_after(reply_timeout);
    co_await pending->wakeup.async_wait(daemon::completion);
  }
  m_pending_calls.erase(number);
  call_reply const unknown{.kind = reply_kind::unavailable};
  co_return pending->reply.value_or(unknown);
}

void control_process::on_stop(int signal) {
  spdlog::info("process stopping signal={}", signal);
  m_stop_deadline = now() + m_process.settings().shutdown_timeout - stop_margin;
  control_effects effects;
  m_control->resign(now(), effects);
  apply_effects(std::move(effects));
  stop_after_handover();
}

void control_process::stop_after_handover() {
  // Another instance may have become leader since; it is told at once that this one stops.
  control_effects effects;
  m_control->tick(now(), effects);
  apply_effects(std::move(effects));
  bool const can_stop = m_control->replica().is_safe_to_stop() || now() >= m_stop_deadline;
  if (can_stop) {
    m_call_server->stop_accepting();
    m_process.call_after(reply_flush_time, [this] {
      spdlog::info("process stopped is_succeeded={}", m_control->replica().is_safe_to_stop());
      m_process.stop();
    });
    return;
  }
  m_process.call_after(stop_check_interval, [this] { stop_after_handover(); });
}

void control_process::apply_effects(control_effects effects) {
  for (auto const& write : effects.log.writes) {
    m_data_folder->write(write);
  }
  for (auto& outgoing : effects.log.messages) {
    m_process.send(outgoing.to, std::move(outgoing.message), outgoing.needs_new_connection);
  }
  for (auto& outgoing : effects.messages) {
    m_process.send(outgoing.to, std::move(outgoing.message), outgoing.needs_new_connection);
  }
  for (auto& answered : effects.answers) {
    auto const found = m_pending_calls.find(answered.number);
    if (found != m_pending_calls.end()) {
      found->second->reply = std::move(answered.reply);
      found->second->wakeup.cancel();
    }
  }
  for (auto const& note : effects.events) {
    log(note);
  }
}

void control_process::log(control_event_details const& note) const {
  spdlog::info("control {} subject={} detail={} number={} term={}", name_of_event(note.event),
               note.subject, note.detail, note.number, m_control->replica().term());
}

void control_process::log_call(call_request const& call, call_reply const& reply) {
  m_process.metrics().count_call(name_of_call(call), name_of(reply.kind));
  bool const is_announcement = std::holds_alternative<announce_endpoint>(call);
  bool const is_routine = is_announcement && reply.kind == reply_kind::done;
  if (is_routine) {
    return;
  }
  auto const& state = m_control->state();
  if (auto const* replacement = std::get_if<replace_document>(&call)) {
    spdlog::info("call answered call={} reply={} revision={} held={} term={} content={:x} "
                 "held_content={:x}",
                 name_of_call(call), name_of(reply.kind), replacement->document.revision,
                 state.revision(), m_control->replica().term(),
                 fingerprint_of(replacement->document), fingerprint_of(state.document()));
    return;
  }
  spdlog::info("call answered call={} reply={} revision=0 held={} term={}", name_of_call(call),
               name_of(reply.kind), state.revision(), m_control->replica().term());
}

std::string control_process::leader_address(call_reply const& reply) const {
  auto const& calls = m_process.settings().calls;
  if (!reply.leader || !calls) {
    return {};
  }
  auto const peer = parse_address(reply.leader->value);
  return peer ? format_address({.ip = peer->ip, .port = calls->port}) : std::string{};
}

} // namespace catkinlanding::proxy
