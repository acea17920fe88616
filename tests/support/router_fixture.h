#pragma once

#include <libraries/proxy/router.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

inline constexpr base::monotonic_time start{};
inline constexpr request_number number = 1;

/// A router with one service, whose endpoints and routes are the same in all tests.
class routers : public ::testing::Test {
protected:
  routers() : m_router(options()) {}

  static router::options options() {
    router::options made;
    made.zone = {"here"};
    made.subscriber = {.self = {"entry"}, .seeds = {{"control"}}};
    made.attempts.retries = {.ratio = 0.5, .slack = 100};
    return made;
  }

  static route make_route(std::string prefix, route_kind kind, std::uint32_t attempts) {
    route made;
    made.name = prefix;
    made.host = "h";
    made.path_prefix = std::move(prefix);
    made.kind = kind;
    made.shares = {{.service = {"s"}, .weight = 1}};
    made.timeout = std::chrono::seconds(30);
    made.target_latency = std::chrono::milliseconds(300);
    made.target_pause = std::chrono::seconds(1);
    made.max_attempts = attempts;
    return made;
  }

  /// Records of endpoints of the service in the router's zone.
  static std::vector<endpoint_record> ready_endpoints(std::vector<std::string> const& ids) {
    std::vector<endpoint_record> records;
    for (auto const& id : ids) {
      endpoint_announcement const announcement{.id = {id},
                                               .service = {"s"},
                                               .address = {.ip = "10.0.0.1", .port = 80},
                                               .zone = {"here"},
                                               .number = {.incarnation = 1, .sequence = 1}};
      records.push_back(
          {.announcement = announcement, .state = endpoint_state::ready, .revision = 1});
    }
    return records;
  }

  void receive_state(std::vector<std::string> const& endpoints) {
    update received;
    received.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
    received.document.emplace();
    received.document->revision = 1;
    received.document->services = {{.id = {"s"}}};
    received.document->customers = {{.id = {"ann"}, .keys = {"key"}}};
    received.document->routes = {make_route("/once/", route_kind::at_most_once, 3),
                                 make_route("/again/", route_kind::idempotent, 2),
                                 make_route("/stream/", route_kind::stream, 3),
                                 make_route("/resume/", route_kind::resumable_stream, 3)};
    received.endpoints = ready_endpoints(endpoints);
    ASSERT_TRUE(m_router.receive({"control"}, received, start).is_changed);
  }

  static request_facts facts(std::string path) {
    request_facts made;
    made.id = {"request"};
    made.host = "h";
    made.path = std::move(path);
    made.key = "key";
    made.caller_timeout = std::chrono::seconds(1);
    return made;
  }

  [[nodiscard]] decision begin(std::string path) {
    return m_router.begin(number, facts(std::move(path)), start);
  }

  /// Shows the router that an answer on this path takes so long.
  void answer_one(std::string path, base::duration took) {
    constexpr request_number other = 1000;
    auto patient = facts(std::move(path));
    patient.caller_timeout = std::chrono::hours(1);
    ASSERT_TRUE(is_attempt(m_router.begin(other, patient, start)));
    ASSERT_FALSE(m_router.note_answer(other, std::nullopt, start + took));
    m_router.note_completed(other, start + took);
    m_router.end(other, start + took);
  }

  /// Whether another endpoint is asked to take the place of the attempt, which has stalled.
  [[nodiscard]] bool try_replace_stalled(base::monotonic_time at) {
    return m_router.try_replace_stalled(number, at).has_value();
  }

  [[nodiscard]] decision fail(attempt_failure failure, bool was_delivered = false,
                              base::duration after = std::chrono::milliseconds(10)) {
    return m_router.fail(number, failure, was_delivered, start + after);
  }

  /// The requests that the router reports to have at endpoints.
  [[nodiscard]] std::uint32_t outstanding(base::monotonic_time at) {
    std::uint32_t requests = 0;
    for (auto const& sent : m_router.tick(at)) {
      if (auto const* report = std::get_if<subscription>(&sent.message)) {
        for (auto const& load : report->loads) {
          requests += load.outstanding;
        }
      }
    }
    return requests;
  }

  static bool is_attempt(decision const& made) { return std::holds_alternative<attempt>(made); }

  static refusal_kind refusal_of(decision const& made) {
    auto const* refused = std::get_if<refusal>(&made);
    return refused == nullptr ? refusal_kind{} : refused->kind;
  }

  router m_router;
};

} // namespace catkinlanding::proxy
