#include <services/proxy/request_log.h>

#include <spdlog/spdlog.h>

namespace catkinlanding::proxy::request_log {

namespace {

/// Logged for a time that is not known, and for the age of what no leader has sent.
constexpr std::int64_t unknown_time = -1;

std::int64_t to_milliseconds(base::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t to_age(std::optional<base::duration> age) {
  return age ? to_milliseconds(*age) : unknown_time;
}

std::string_view name_of_failure(std::optional<attempt_failure> failure) {
  return failure ? name_of(*failure) : "none";
}

} // namespace

void ended(ended_request const& request) {
  auto const last = request.last_attempt.value_or(attempt_report{});
  spdlog::info("entry ended request={} outcome={} reason={} route={} customer={} attempts={} "
               "events={} first_event_ms={} longest_pause_ms={} took_ms={} last_failure={} "
               "left_ms={} attempts_left={} revision={} content={:x} revision_age_ms={} "
               "leader_age_ms={}",
               request.id.value, name_of(request.end), request.reason, request.route,
               request.customer, request.attempts, request.events,
               to_milliseconds(request.first_event.value_or(base::duration::zero())),
               to_milliseconds(request.longest_pause), to_milliseconds(request.took),
               name_of_failure(request.last_failure), to_milliseconds(last.time_left),
               last.attempts_left, request.document.revision, request.document.fingerprint,
               to_age(request.document.age), to_age(request.document.leader_age));
}

void awaiting_state(base::request_id const& id, std::optional<base::duration> left) {
  spdlog::info("entry awaiting_state request={} left_ms={}", id.value, to_age(left));
}

void waited(base::request_id const& id, router const& router, base::duration time) {
  spdlog::info("entry waited request={} revision={} endpoints={} waited_ms={}", id.value,
               router.document_revision(), router.endpoint_count(), to_milliseconds(time));
}

void attempt_started(base::request_id const& id, std::string_view session, attempt const& attempt,
                     base::monotonic_time now) {
  spdlog::info(
      "entry attempt request={} session={} number={} endpoint={} version={} model={} route={} "
      "revision={} load={} left_ms={} prompt={} fingerprint={:x} registry_term={} "
      "registry_revision={} "
      "registry_age_ms={} beside={}",
      id.value, session, attempt.number, attempt.endpoint.value, attempt.version.value,
      attempt.model ? attempt.model->value : "", attempt.route, attempt.document_revision,
      attempt.load, to_milliseconds(attempt.deadline - now), attempt.prompt, attempt.fingerprint,
      attempt.registry_term, attempt.registry_revision, to_age(attempt.registry_age),
      attempt.held_endpoint.value);
}

void model_chosen(base::request_id const& id, cascade::choice const& made) {
  spdlog::info("entry model_choice request={} reason={} confidence={:.2f} limit={:.2f} "
               "idle_share={:.2f}",
               id.value, name_of(made.reason), made.confidence, made.limit, made.idle_share);
}

void relayed(base::request_id const& id, relay const& relay) {
  spdlog::info("entry relayed request={} peer={} route={} attempts_before={} may_have_run={}",
               id.value, relay.peer.value, relay.route, relay.attempts_before, relay.may_have_run);
}

void relay_unproven(base::request_id const& id) {
  spdlog::info("entry relay_unproven request={}", id.value);
}

void attempt_failed(failed_attempt const& attempt) {
  auto const report = attempt.report.value_or(attempt_report{});
  spdlog::warn("entry attempt_failed request={} number={} failure={} status={} events={} "
               "endpoint={} silent_ms={} limit_ms={} learned_age_ms={} left_ms={} attempts_left={}",
               attempt.id.value, attempt.number, name_of(attempt.failure), attempt.status,
               attempt.events, report.endpoint.value, to_milliseconds(report.silence),
               to_age(report.max_silence), to_age(report.learned_age),
               to_milliseconds(report.time_left), report.attempts_left);
}

void attempt_withdrawn(base::request_id const& id, std::uint32_t number,
                       std::optional<attempt_report> const& report) {
  auto const known = report.value_or(attempt_report{});
  spdlog::info("entry attempt_withdrawn request={} number={} endpoint={} left_ms={}", id.value,
               number, known.endpoint.value, to_milliseconds(known.time_left));
}

void notice_taken(base::request_id const& id, attempt const& attempt, notice_change const& change) {
  spdlog::info("entry endpoint_notice request={} endpoint={} incarnation={} kind={} rate={} "
               "pause_ms={} max_rejections={}",
               id.value, attempt.endpoint.value, attempt.incarnation, name_of(change.kind),
               change.rate.value_or(0.0),
               to_milliseconds(change.pause.value_or(base::duration::zero())),
               change.max_rejections.value_or(0));
}

void notice_ignored(base::request_id const& id, attempt const& attempt, notice_kind kind) {
  spdlog::warn("entry notice_ignored request={} endpoint={} incarnation={} kind={}", id.value,
               attempt.endpoint.value, attempt.incarnation, name_of(kind));
}

void deferred(base::request_id const& id, deferral const& deferral) {
  spdlog::info("entry deferred request={} endpoint={} incarnation={} kind={} age_ms={} wait_ms={}",
               id.value, deferral.source.endpoint.value, deferral.source.incarnation,
               name_of(deferral.kind), to_milliseconds(deferral.age),
               to_milliseconds(deferral.wait));
}

void quarantined(base::request_id const& id, quarantined_trait const& quarantine) {
  spdlog::warn("entry quarantined request={} kind={} subject={} endings={} remaining_ms={}",
               id.value, name_of(quarantine.trait.kind), quarantine.trait.id, quarantine.endings,
               to_milliseconds(quarantine.remaining));
}

} // namespace catkinlanding::proxy::request_log
