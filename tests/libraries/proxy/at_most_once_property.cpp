#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

struct path_kind {
  char const* path = "";
  bool may_run_again = false;
};

constexpr std::array<path_kind, 4> paths{path_kind{"/once/x", false}, path_kind{"/stream/x", false},
                                         path_kind{"/again/x", true}, path_kind{"/resume/x", true}};

constexpr std::array<attempt_failure, 10> failures{
    attempt_failure::unreachable,   attempt_failure::not_executed, attempt_failure::wrong_endpoint,
    attempt_failure::broken,        attempt_failure::malformed,    attempt_failure::stalled,
    attempt_failure::failed_answer, attempt_failure::expired,      attempt_failure::unreachable,
    attempt_failure::not_executed};

/// One request on a route of a drawn kind with a small and a large model, and what becomes of its
/// attempts: answers in which the model has little or much confidence, silence, and failures of
/// each kind, at endpoints and at entry instances that it is passed on to.
class at_most_once : public routers {
protected:
  at_most_once() {
    update received;
    received.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
    received.document.emplace();
    received.document->revision = 1;
    received.document->services = {{.id = {"s"}, .slots = 8}};
    received.document->routes = {make_route("/once/", route_kind::at_most_once, 3),
                                 make_route("/stream/", route_kind::stream, 3),
                                 make_route("/again/", route_kind::idempotent, 3),
                                 make_route("/resume/", route_kind::resumable_stream, 3)};
    for (auto& route : received.document->routes) {
      route.models = {{"small"}, {"large"}};
    }
    received.relay_peers = {{"10.0.0.8:1"}, {"10.0.0.9:1"}};
    received.endpoints = ready_endpoints({"a", "b", "c", "d"});
    std::ignore = m_router.receive({"control"}, received, start);
  }

  void play(path_kind const& kind, bool is_relayed) {
    m_kind = kind;
    auto made = facts(kind.path);
    made.caller_timeout = 60s;
    made.prompt_tokens = 100;
    made.is_relayed = is_relayed;
    // With no endpoint idle the small model is asked first, also where one run is allowed.
    report_loads(*rc::gen::arbitrary<bool>() ? 1 : 0);
    note(m_router.begin(number, made, m_now));
    // After two endpoints that can't be reached the request is passed on.
    auto const unreached = *rc::gen::inRange(0, 3);
    for (int i = 0; i < unreached && m_is_open; ++i) {
      fail_as(attempt_failure::unreachable);
    }
    using step = void (at_most_once::*)();
    constexpr std::array<step, 8> steps{&at_most_once::answer,          &at_most_once::wait,
                                        &at_most_once::replace_stalled, &at_most_once::fail_latest,
                                        &at_most_once::accept_beside,   &at_most_once::fail_beside,
                                        &at_most_once::send_events,     &at_most_once::become_idle};
    constexpr int max_steps = 30;
    for (int i = 0; i < max_steps && m_is_open; ++i) {
      (this->*steps.at(*rc::gen::inRange<std::size_t>(0, steps.size())))();
    }
  }

private:
  void note(decision const& made) {
    if (std::holds_alternative<attempt>(made) || std::holds_alternative<relay>(made)) {
      note_run();
    } else {
      m_is_open = false;
    }
  }

  /// Another endpoint, or another entry instance, may begin to execute the request.
  void note_run() {
    RC_ASSERT(m_kind.may_run_again || m_runs == 0);
    ++m_runs;
  }

  /// Sets the work that all endpoints have waiting.
  void report_loads(std::uint64_t pending_work) {
    update loads;
    loads.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
    loads.base_registry_revision = 1;
    std::vector<endpoint_load> totals;
    for (auto const* id : {"a", "b", "c", "d"}) {
      totals.push_back({.endpoint = {id}, .outstanding = 0, .pending_work = pending_work});
    }
    loads.loads = load_summary{.totals = std::move(totals)};
    std::ignore = m_router.receive({"control"}, loads, m_now);
  }

  void become_idle() { report_loads(0); }

  /// An attempt has ended in a way that says that it did not run.
  void forget_run(attempt_failure failure) { m_runs -= may_have_run_after(failure) ? 0 : 1; }

  void answer() {
    if (m_router.find(number)->is_relaying || m_has_beside) {
      return;
    }
    auto const confidence = *rc::gen::element(0.0, 0.2, 0.49, 0.9);
    if (m_router.note_answer(number, confidence, m_now)) {
      m_has_beside = true;
      note_run();
    }
  }

  void wait() { m_now += std::chrono::milliseconds(*rc::gen::inRange(1, 4000)); }

  void replace_stalled() {
    if (m_has_beside || m_router.find(number)->is_relaying) {
      return;
    }
    if (m_router.try_replace_stalled(number, m_now)) {
      m_has_beside = true;
      note_run();
    }
  }

  void fail_latest() {
    if (m_has_beside) {
      return;
    }
    auto const& request = *m_router.find(number);
    if (request.is_relaying && *rc::gen::arbitrary<bool>()) {
      auto const& before = request.tally_before_relay;
      m_router.note_relay_tally(number,
                                {.attempts = before.attempts + 1, .endings = before.endings});
    }
    fail_as(*rc::gen::elementOf(failures));
  }

  void fail_as(attempt_failure failure) {
    forget_run(failure);
    note(m_router.fail(number, failure, m_has_events, m_now));
  }

  void accept_beside() {
    if (std::exchange(m_has_beside, false)) {
      m_router.accept_replacement(number, m_now);
    }
  }

  void fail_beside() {
    if (std::exchange(m_has_beside, false)) {
      auto const failure = *rc::gen::elementOf(failures);
      forget_run(failure);
      m_router.fail_replacement(number, failure, m_now);
    }
  }

  void send_events() {
    auto const& request = *m_router.find(number);
    if (request.current.has_answer && !m_has_beside && !request.is_relaying) {
      m_router.note_events(number, 1, m_now);
      m_has_events = true;
    }
  }

  path_kind m_kind;
  base::monotonic_time m_now = start;
  /// Endpoints that may have executed the request, or may yet.
  int m_runs = 0;
  bool m_is_open = true;
  bool m_has_beside = false;
  bool m_has_events = false;
};

} // namespace

/// Guards against a request that may run once only and that a second endpoint is asked to execute
/// (TWICE): beside a doubtful or a silent answer, after a failure, or by another entry instance.
RC_GTEST_FIXTURE_PROP(at_most_once, hold_for_every_way_to_a_second_run, ()) {
  auto const kind = *rc::gen::elementOf(paths);
  play(kind, *rc::gen::arbitrary<bool>());
}

} // namespace catkinlanding::proxy
