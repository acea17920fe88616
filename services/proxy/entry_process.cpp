#include <libraries/base/try.h>
#include <services/proxy/clock.h>
#include <services/proxy/entry_process.h>
#include <services/proxy/stop_log.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

constexpr std::chrono::seconds sweep_interval{1};
/// Covers several round trips between the most distant zones.
constexpr std::chrono::milliseconds probe_timeout{250};
/// The load balancer probes once a second and removes an instance after two failed probes.
constexpr std::chrono::milliseconds balancer_removal_time{2600};
constexpr std::chrono::milliseconds stop_check_interval{50};
/// Time reserved before the platform kills the process.
constexpr std::chrono::milliseconds stop_margin{400};
/// Time before the end of the process in which the last answers are written.
constexpr std::chrono::milliseconds answer_margin{200};
/// Fraction of a version's allowed exposure that is used. It is below 1 because instances do not
/// see each other's requests.
constexpr double trial_share_factor = 0.85;
constexpr double permille = 1000.0;
/// Shortest time between two lines about outdated updates, which may come in series.
constexpr std::chrono::seconds outdated_line_interval{1};
/// Bodies of readiness checks are ignored, so a small bound is enough.
constexpr std::uint32_t max_check_bytes = 64 * 1024;

std::vector<base::instance_id> seed_instances(process_settings const& settings) {
  std::vector<base::instance_id> seeds;
  for (auto const& seed : settings.seeds) {
    // All instances use the same ports, so the peer port is this instance's own.
    seeds.push_back(instance_at({.ip = seed.ip, .port = settings.peers.port}));
  }
  return seeds;
}

} // namespace

entry_process::entry_process(process::options options,
                             proxy::protocol_adapter const& protocol_adapter)
    : m_process(std::move(options)), m_protocol_adapter(protocol_adapter),
      m_plan(resources::plan_entry(m_process.machine())),
      m_router(router_options(m_process.settings())),
      m_pool(
          {.max_connections = m_plan.max_upstreams, .socket_bytes = m_plan.upstream_socket_bytes}),
      m_answer_memory({.max_bytes = m_plan.answer_bytes}), m_context{.io = m_process.io(),
                                                                     .router = m_router,
                                                                     .pool = m_pool,
                                                                     .protocol_adapter =
                                                                         m_protocol_adapter,
                                                                     .metrics = m_process.metrics(),
                                                                     .answer_memory =
                                                                         m_answer_memory} {}

router::options entry_process::router_options(process_settings const& settings) {
  router::options options;
  options.zone = settings.zone;
  options.seed = random_number();
  options.subscriber = {
      .self = settings.id(), .seeds = seed_instances(settings), .seed = random_number()};
  options.versions.trial_permille =
      static_cast<std::uint32_t>(settings.trial_share * trial_share_factor * permille);
  options.notices.rates.seed = random_number();
  options.notices.pauses.seed = random_number();
  options.overload.seed = random_number();
  options.announcement_interval = settings.announcement_interval;
  options.attempts.retries = {.ratio = settings.retry_ratio,
                              .slack = settings.retry_slack,
                              .window = settings.retry_window};
  options.attempts.models.follows_capacity =
      settings.replaced_answers == replaced_answers::by_capacity;
  return options;
}

tl::expected<void, daemon::listener_error> entry_process::open() {
  auto& io = m_process.io();
  auto const& settings = m_process.settings();
  CATKINLANDING_TRY_VOID(m_process.open(
      {.peers = m_plan.peers, .metrics = m_plan.metrics},
      {
          .on_message = [this](auto const& from,
                               message const& message) { on_message(from, message); },
          .on_tick = [this] { on_tick(); },
          .on_stop = [this](int signal) { on_stop(signal); },
          .on_settings =
              [this](process_settings const& changed) {
                m_router.use_seeds(seed_instances(changed));
              },
          .on_metrics =
              [this](metrics& metrics) {
                metrics.set_gauge("active_requests",
                                  static_cast<double>(m_router.active_requests()));
                metrics.set_gauge("connections",
                                  static_cast<double>(m_entry_server->connection_count()));
                metrics.set_gauge("connections_gave_way",
                                  static_cast<double>(m_entry_server->closed_for_others()));
                metrics.set_gauge("request_buffer_bytes",
                                  static_cast<double>(m_entry_server->request_bytes()));
                metrics.set_gauge("socket_bytes",
                                  static_cast<double>(m_entry_server->socket_bytes()));
                metrics.set_gauge("upstream_connections",
                                  static_cast<double>(m_pool.connection_count()));
                metrics.set_gauge("endpoints", static_cast<double>(m_router.endpoint_count()));
                metrics.set_gauge("document_revision",
                                  static_cast<double>(m_router.document_revision()));
                metrics.set_gauge("outdated_updates", static_cast<double>(m_outdated_updates));
                metrics.set_gauge("answer_buffer_bytes",
                                  static_cast<double>(m_answer_memory.used_bytes()));
                metrics.set_gauge("answer_buffers_refused",
                                  static_cast<double>(m_answer_memory.refusals()));
                metrics.set_gauge("cut_off", m_router.is_cut_off() ? 1.0 : 0.0);
              },
      }));
  if (settings.readiness) {
    auto acceptor = CATKINLANDING_TRY(daemon::open_acceptor(io, *settings.readiness));
    m_readiness_server = std::make_unique<http_server>(
        io, std::move(acceptor),
        http_server::options{.bounds = m_plan.readiness, .max_body_bytes = max_check_bytes},
        [this](http_request request) -> daemon::awaitable<served_answer> {
          bool const is_ready = m_router.is_ready() && !m_context.is_stopping;
          auto status = is_ready ? http::status::ok : http::status::service_unavailable;
          if (!m_protocol_adapter.is_readiness_check(request.target())) {
            status = http::status::not_found;
          }
          co_return served_answer{.message = http_response(status, 11), .shared_body = {}};
        });
  }
  if (settings.callers) {
    m_context.caller_port = settings.callers->port;
    auto acceptor = CATKINLANDING_TRY(daemon::open_acceptor(io, *settings.callers));
    m_entry_server = std::make_unique<entry_server>(
        m_context, std::move(acceptor),
        entry_server::options{.max_connections = m_plan.max_callers,
                              .request_bytes = m_plan.request_bytes,
                              .socket_bytes = m_plan.caller_socket_bytes});
  }
  return {};
}

void entry_process::on_tick() {
  auto const time = now();
  send(m_router.tick(time));
  bool const is_connected = m_router.is_connected(time);
  if (is_connected != m_was_connected) {
    m_was_connected = is_connected;
    spdlog::info("control {} revision={}", is_connected ? "regained" : "lost",
                 m_router.document_revision());
  }
  note_reachability();
  if (auto const address = m_router.take_probe(time)) {
    daemon::spawn(m_process.io(), "entry", probe(*address));
  }
  if (time >= m_last_sweep + sweep_interval) {
    m_last_sweep = time;
    m_pool.sweep(time);
  }
}

void entry_process::note_reachability() {
  bool const is_cut_off = m_router.is_cut_off();
  if (is_cut_off != m_was_cut_off) {
    m_was_cut_off = is_cut_off;
    spdlog::warn("entry {} endpoints={}", is_cut_off ? "cut_off" : "reconnected",
                 m_router.endpoint_count());
  }
  bool const has_peers = m_router.has_relay_peers();
  if (has_peers != m_had_relay_peers) {
    m_had_relay_peers = has_peers;
    spdlog::info("entry relay_peers_known");
  }
}

daemon::awaitable<void> entry_process::probe(base::address address) {
  auto const connection = m_pool.create(m_process.io());
  connection->address = std::move(address);
  if (co_await connection->open(probe_timeout)) {
    m_router.note_reached();
  }
}

void entry_process::send(std::vector<outgoing> messages) {
  for (auto& outgoing_message : messages) {
    m_process.send(outgoing_message.to, std::move(outgoing_message.message),
                   outgoing_message.needs_new_connection);
  }
}

void entry_process::on_message(base::instance_id const& from, message const& message) {
  auto const revision = m_router.document_revision();
  auto received = m_router.receive(from, message, now());
  send(std::move(received.messages));
  auto const* received_update = std::get_if<update>(&message);
  if (received_update != nullptr) {
    log_rollouts(*received_update, from);
  }
  if (received.is_outdated && received_update != nullptr) {
    log_outdated(*received_update, from);
  }
  if (!received.is_changed) {
    return;
  }
  for (auto* timer : m_context.state_wait_timers) {
    timer->cancel();
  }
  if (m_router.document_revision() != revision) {
    auto const held = m_router.status_of_document(now());
    spdlog::info("control document revision={} before={} from={} content={:x}", held.revision,
                 revision, from.value, held.fingerprint);
  }
  if (std::holds_alternative<last_known_state>(message)) {
    spdlog::warn("control isolated revision={} endpoints={} from={}", m_router.document_revision(),
                 m_router.endpoint_count(), from.value);
  }
  if (received_update != nullptr) {
    for (auto const& record : received_update->endpoints) {
      spdlog::info("control endpoint id={} state={} version={} incarnation={} sequence={} term={} "
                   "revision={} from={}",
                   record.announcement.id.value, name_of(record.state),
                   record.announcement.version.value, record.announcement.number.incarnation,
                   record.announcement.number.sequence, received_update->state.registry_term,
                   record.revision, from.value);
    }
  }
}

void entry_process::log_outdated(update const& received, base::instance_id const& from) {
  ++m_outdated_updates;
  auto const time = now();
  if (time < m_next_outdated_line) {
    return;
  }
  m_next_outdated_line = time + outdated_line_interval;
  auto const& known = m_router.known();
  spdlog::warn("control update_outdated from={} document={} offered={} term={} known_term={} "
               "registry_revision={} known_registry_revision={} rollouts_revision={} "
               "known_rollouts_revision={} revision={} total={}",
               from.value, received.document ? received.document->revision : 0,
               received.offered_document, received.state.registry_term, known.registry_term,
               received.state.registry_revision, known.registry_revision,
               received.state.rollouts_revision, known.rollouts_revision,
               m_router.document_revision(), m_outdated_updates);
}

void entry_process::log_rollouts(update const& received, base::instance_id const& from) {
  if (!received.rollouts) {
    return;
  }
  for (auto const& rollout : *received.rollouts) {
    spdlog::info("control rollout service={} target={} number={} state={} revision={} term={} "
                 "from={}",
                 rollout.service.value, rollout.target.value, rollout.number,
                 name_of(rollout.state), received.state.rollouts_revision,
                 received.state.registry_term, from.value);
  }
}

void entry_process::on_stop(int signal) {
  auto const half_read = std::ranges::count(m_entry_server->open_requests(),
                                            open_request_state::half_read, &open_request::state);
  stop_log::stopping(signal, m_router.active_requests(), static_cast<std::size_t>(half_read));
  m_context.is_stopping = true;
  m_stop_signal_at = now();
  m_stop_deadline = m_stop_signal_at + m_process.settings().shutdown_timeout - stop_margin;
  m_router.stop_at(m_stop_deadline - answer_margin);
  for (auto* timer : m_context.state_wait_timers) {
    timer->cancel();
  }
  refuse_half_read();
  m_process.call_after(balancer_removal_time, [this] {
    m_entry_server->stop_accepting();
    stop_when_idle();
  });
}

void entry_process::refuse_half_read() {
  m_entry_server->refuse_half_read();
  m_process.call_after(stop_check_interval, [this] { refuse_half_read(); });
}

void entry_process::stop_when_idle() {
  m_entry_server->close_idle();
  bool const is_past_deadline = now() >= m_stop_deadline;
  if (is_past_deadline || (m_entry_server->is_idle() && m_entry_server->connection_count() == 0)) {
    spdlog::info("process stopped requests_cut={}", m_router.active_requests());
    note_cut_requests();
    m_process.stop();
    return;
  }
  m_process.call_after(stop_check_interval, [this] { stop_when_idle(); });
}

void entry_process::note_cut_requests() {
  auto const requests = m_entry_server->open_requests();
  stop_log::cut(requests, {.signal_at = m_stop_signal_at, .end_at = now()});
  for (auto const& request : requests) {
    m_process.metrics().count_cut_by_stop(name_of(request.state));
  }
}

} // namespace catkinlanding::proxy
