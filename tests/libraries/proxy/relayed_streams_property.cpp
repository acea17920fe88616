#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t relay_count = 3;
constexpr std::uint32_t max_attempts = 6;
/// As `request_quarantine` allows.
constexpr std::uint32_t max_endings = 2;

/// What an endpoint does with a request.
enum class conduct : std::uint8_t { completes, breaks_stream, ends, rejects, refuses_connections };

/// A cut-off entry instance, and others that it passes requests on to and that end at drawn times.
/// Plays the part of the processes around the routers.
class relayed_streams : public routers {
protected:
  struct conditions {
    std::string path;
    /// Of which an endpoint's conduct is drawn.
    std::vector<conduct> conducts;
    /// How many sendings an instance lives through, by instance; drawn.
    std::vector<int> lifetimes;
    /// Whether it says how many attempts it has used.
    std::vector<bool> says_tally;
    bool has_retries = true;
    /// Whether the first instance may reach endpoints again.
    bool may_recover = false;
  };

  /// What a request has come to.
  struct record {
    std::uint32_t arrivals = 0;
    std::uint32_t executions = 0;
    std::uint32_t endings = 0;
    std::uint32_t arrivals_after_delivery = 0;
    bool was_delivered = false;
    bool is_whole = false;
  };

  /// Gives the instance the document and the endpoints, and more attempts than usual.
  [[nodiscard]] router make_router(bool has_retries) {
    auto made = options();
    made.seed = *rc::gen::arbitrary<std::uint64_t>();
    if (!has_retries) {
      made.attempts.retries = {.ratio = 0, .slack = 0};
    }
    m_router = router(made);
    receive_state({"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"});
    update received;
    received.state = {.document_revision = 2, .registry_term = 1, .registry_revision = 1};
    received.base_registry_revision = 1;
    received.document.emplace();
    received.document->revision = 2;
    received.document->services = {{.id = {"s"}}};
    received.document->customers = {{.id = {"ann"}, .keys = {"key"}}};
    received.document->routes = {
        make_route("/once/", route_kind::at_most_once, max_attempts),
        make_route("/again/", route_kind::idempotent, max_attempts),
        make_route("/stream/", route_kind::stream, max_attempts),
        make_route("/resume/", route_kind::resumable_stream, max_attempts)};
    for (std::size_t i = 0; i < relay_count; ++i) {
      received.relay_peers.push_back({"peer-" + std::to_string(i)});
    }
    RC_ASSERT(m_router.receive({"control"}, received, start).is_changed);
    return std::move(m_router);
  }

  [[nodiscard]] record play(conditions const& given) {
    m_given = given;
    m_record = {};
    m_relays.clear();
    for (std::size_t i = 0; i < relay_count; ++i) {
      m_relays.push_back(make_router(given.has_retries));
    }
    m_router = make_router(given.has_retries);
    for (request_number other = 100; !m_router.is_cut_off() && other < 110; ++other) {
      static_cast<void>(m_router.begin(other, facts("/again/"), start));
      static_cast<void>(m_router.fail(other, attempt_failure::unreachable, false, start));
      m_router.end(other, start);
    }
    RC_ASSERT(m_router.is_cut_off());
    auto made = begin(given.path);
    while (auto const failure = carry_out(made)) {
      if (given.may_recover && *rc::gen::arbitrary<bool>()) {
        m_router.note_reached();
      }
      made = m_router.fail(number, *failure, m_record.was_delivered, start);
    }
    m_router.end(number, start);
    return m_record;
  }

  /// Returns how the sending failed; nothing if the request has ended.
  [[nodiscard]] std::optional<attempt_failure> carry_out(decision const& made) {
    if (is_attempt(made)) {
      return send(m_router, false);
    }
    auto const* passed_on = std::get_if<relay>(&made);
    return passed_on == nullptr ? std::nullopt : pass_on(*passed_on);
  }

  /// Sends the request to an endpoint from this instance. `is_relay` tells whether its answer goes
  /// through another one.
  [[nodiscard]] std::optional<attempt_failure> send(router& from, bool is_relay) {
    m_had_event = false;
    auto const shown = *rc::gen::elementOf(m_given.conducts);
    if (shown == conduct::refuses_connections) {
      return attempt_failure::unreachable;
    }
    ++m_record.arrivals;
    m_record.arrivals_after_delivery += m_record.was_delivered ? 1 : 0;
    if (shown == conduct::rejects) {
      return attempt_failure::not_executed;
    }
    ++m_record.executions;
    if (shown == conduct::ends) {
      ++m_record.endings;
      return attempt_failure::broken;
    }
    RC_ASSERT(!from.note_answer(number, std::nullopt, start));
    from.note_events(number, 1, start);
    m_had_event = true;
    m_record.was_delivered = true;
    m_record.is_whole = shown == conduct::completes && !is_relay;
    return shown == conduct::completes ? std::nullopt : std::optional(attempt_failure::broken);
  }

  /// Passes the request on. Returns like `carry_out`.
  [[nodiscard]] std::optional<attempt_failure> pass_on(relay const& passed_on) {
    auto const index = static_cast<std::size_t>(passed_on.peer.value.back() - '0');
    auto& lifetime = m_given.lifetimes[index];
    if (lifetime < 0) {
      return attempt_failure::unreachable;
    }
    auto& other = m_relays[index];
    bool const says_tally = m_given.says_tally[index];
    auto relayed_facts = facts(m_given.path);
    relayed_facts.is_relayed = true;
    relayed_facts.attempts_before = passed_on.attempts_before;
    relayed_facts.endings_before = says_tally ? passed_on.endings_before : 0;
    bool has_begun = false;
    auto made = other.begin(number, relayed_facts, start);
    while (is_attempt(made)) {
      if (--lifetime < 0) {
        other.end(number, start);
        return attempt_failure::broken;
      }
      auto const failure = send(other, true);
      if (m_had_event && !std::exchange(has_begun, true) && says_tally) {
        m_router.note_relay_tally(number, other.hand_over(number));
      }
      if (!failure) {
        other.end(number, start);
        m_record.is_whole = --lifetime >= 0;
        return m_record.is_whole ? std::nullopt : std::optional(attempt_failure::broken);
      }
      made = other.fail(number, *failure, has_begun, start);
    }
    auto const* active = other.find(number);
    if (says_tally && !has_begun && active != nullptr) {
      m_router.note_relay_tally(number, active->tally());
    }
    other.end(number, start);
    if (has_begun) {
      return attempt_failure::broken;
    }
    // A refusal is final, unless the caller has a part of an answer.
    return m_record.was_delivered ? std::optional(attempt_failure::failed_answer) : std::nullopt;
  }

  conditions m_given;
  record m_record;
  /// Whether the latest sending has brought an event.
  bool m_had_event = false;
  std::vector<router> m_relays;
};

} // namespace

/// Guards against instances that together send a request to more endpoints than its route allows,
/// beyond the retries, twice where it must run once, or on and on where it ends endpoints.
RC_GTEST_FIXTURE_PROP(relayed_streams, are_sent_no_more_often_than_allowed, ()) {
  conditions given;
  given.path = *rc::gen::element<std::string>("/once/", "/again/", "/stream/", "/resume/");
  given.conducts = *rc::gen::nonEmpty(rc::gen::container<std::vector<conduct>>(
      rc::gen::element(conduct::completes, conduct::breaks_stream, conduct::ends, conduct::rejects,
                       conduct::refuses_connections)));
  given.lifetimes = *rc::gen::container<std::vector<int>>(relay_count, rc::gen::inRange(-1, 8));
  given.says_tally = *rc::gen::container<std::vector<bool>>(
      relay_count, rc::gen::weightedElement<bool>({{4, true}, {1, false}}));
  given.has_retries = *rc::gen::arbitrary<bool>();
  given.may_recover = *rc::gen::arbitrary<bool>();
  auto const played = play(given);
  RC_ASSERT(played.arrivals <= max_attempts);
  bool const is_repeatable = given.path == "/again/" || given.path == "/resume/";
  RC_ASSERT(is_repeatable || played.executions <= 1U);
  RC_ASSERT(given.path == "/resume/" || played.arrivals_after_delivery == 0U);
  RC_ASSERT(given.has_retries || played.arrivals <= 1U);
  bool const all_say_tally = std::ranges::all_of(given.says_tally, [](bool one) { return one; });
  RC_ASSERT(!all_say_tally || played.endings <= max_endings);
}

/// Guards against a stream that is cut though instances and attempts are left (LOST).
RC_GTEST_FIXTURE_PROP(relayed_streams, are_whole_if_one_relay_is_lost_after_the_first_event, ()) {
  conditions given;
  given.path = "/resume/";
  given.conducts = {conduct::completes};
  given.says_tally.assign(relay_count, true);
  given.lifetimes.assign(relay_count, 100);
  auto const lost = *rc::gen::inRange<std::size_t>(0, relay_count);
  // It ends between the first event and the last one.
  given.lifetimes[lost] = 1;
  auto const played = play(given);
  RC_ASSERT(played.is_whole);
}

} // namespace catkinlanding::proxy
