#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

class refusal_times : public routers {
protected:
  /// Begins a request whose caller has an hour. Returns the refusal, if it is one.
  std::optional<refusal> begin_at(base::monotonic_time now) {
    auto made = facts("/once/x");
    made.caller_timeout = 1h;
    auto const decision = m_router.begin(++m_last_number, made, now);
    if (auto const* refused = std::get_if<refusal>(&decision)) {
      m_router.end(m_last_number, now);
      return *refused;
    }
    return std::nullopt;
  }

  /// Lets an endpoint state that it wants no requests for this long.
  void pause(std::string const& endpoint, base::duration length) {
    request_number sent = 0;
    std::vector<request_number> others;
    while (sent == 0) {
      auto const decision = m_router.begin(++m_last_number, facts("/once/x"), start);
      auto const* made = std::get_if<attempt>(&decision);
      RC_ASSERT(made != nullptr);
      (made->endpoint.value == endpoint ? sent : others.emplace_back()) = m_last_number;
    }
    endpoint_notice notice;
    notice.pause = length;
    std::ignore = m_router.note_notice(sent, notice, start);
    others.push_back(sent);
    for (auto const other : others) {
      m_router.end(other, start);
    }
  }

  /// The leader lets this instance send so many requests a second to each endpoint.
  void grant(std::vector<double> const& shares, base::monotonic_time now) {
    update received;
    received.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
    received.base_registry_revision = 1;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      received.rate_grants.push_back(
          {.source = {{std::to_string(i)}, 1}, .rate = 100.0, .share = shares[i]});
    }
    std::ignore = m_router.receive({"control"}, received, now);
  }

  request_number m_last_number = 0;
};

/// The names of a drawn number of endpoints.
std::vector<std::string> any_endpoints() {
  std::vector<std::string> names;
  auto const count = *rc::gen::inRange(1, 5);
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back(std::to_string(i));
  }
  return names;
}

} // namespace

/// Guards against callers who come back before an endpoint accepts requests, or long after.
RC_GTEST_FIXTURE_PROP(refusal_times, are_those_at_which_an_endpoint_accepts_requests, ()) {
  auto const endpoints = any_endpoints();
  receive_state(endpoints);
  for (auto const& endpoint : endpoints) {
    pause(endpoint, std::chrono::milliseconds(*rc::gen::inRange(100, 30'000)));
  }
  auto const refused = begin_at(start);
  RC_ASSERT(refused && refused->retry_after);
  auto const back_at = start + *refused->retry_after;
  RC_ASSERT(begin_at(back_at - 1ms).has_value());
  RC_ASSERT(!begin_at(back_at).has_value());
}

/// Guards against many callers who come back at one time although an endpoint accepts only one of
/// them.
RC_GTEST_FIXTURE_PROP(refusal_times, follow_one_another_as_an_endpoint_accepts_requests, ()) {
  receive_state({"0"});
  auto const share = *rc::gen::inRange(2, 100) / 10.0;
  grant({share}, start);
  std::vector<base::monotonic_time> returns;
  auto const callers = *rc::gen::inRange(2, 20);
  for (int i = 0; i < callers; ++i) {
    auto const refused = begin_at(start);
    RC_ASSERT(refused && refused->retry_after);
    returns.push_back(start + *refused->retry_after);
  }
  for (auto const at : returns) {
    grant({share}, at);
    RC_ASSERT(!begin_at(at).has_value());
  }
}

/// Guards against many callers who come back at one time to a service that has places for them one
/// after the other.
RC_GTEST_FIXTURE_PROP(refusal_times, follow_one_another_as_requests_end, ()) {
  receive_state({"0"});
  auto const work = std::chrono::milliseconds(*rc::gen::inRange(10, 5'000));
  answer_one("/once/x", work);
  auto const running = *rc::gen::inRange(1, 20);
  for (int i = 0; i < running; ++i) {
    RC_ASSERT(!begin_at(start).has_value());
  }
  std::vector<base::duration> told;
  auto const callers = *rc::gen::inRange(2, 20);
  for (int i = 0; i < callers; ++i) {
    auto made = facts("/once/x");
    made.caller_timeout = 1h;
    RC_ASSERT(is_attempt(m_router.begin(++m_last_number, made, start)));
    auto const rejected = m_router.fail(m_last_number, attempt_failure::not_executed, false, start);
    RC_ASSERT(refusal_of(rejected) == refusal_kind::not_run);
    told.push_back(*std::get<refusal>(rejected).retry_after);
    m_router.end(m_last_number, start);
  }
  // Of the running requests one ends in this time, and leaves its place.
  auto const place = std::max<base::duration>(base::duration(work) / running, 1ms);
  for (std::size_t i = 1; i < told.size(); ++i) {
    RC_ASSERT(told[i] - told[i - 1] == place);
  }
}

/// Guards against a time to come back that is told a caller whose time is over.
RC_GTEST_FIXTURE_PROP(refusal_times, are_not_told_to_callers_whose_time_is_over, ()) {
  receive_state({"0", "1"});
  auto made = facts("/once/x");
  made.caller_timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 10'000));
  RC_ASSERT(is_attempt(m_router.begin(number, made, start)));
  auto const over =
      m_router.fail(number, attempt_failure::not_executed, false, start + *made.caller_timeout);
  RC_ASSERT(refusal_of(over) == refusal_kind::expired_unsent);
  RC_ASSERT(!std::get<refusal>(over).retry_after.has_value());
}

} // namespace catkinlanding::proxy
