#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <deque>

/// Random requests, answers and notices at one router, judged by what the endpoints receive.
namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t endpoint_count = 4;
constexpr int steps = 1500;
/// What an endpoint may still receive during a pause.
constexpr int max_during_pause = 2;
constexpr std::chrono::milliseconds pause_reaction_time{500};

class notice_simulation : public routers {
public:
  explicit notice_simulation(std::uint64_t seed) : m_random(seed) {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      ids.push_back("e" + std::to_string(i));
      m_endpoints[ids.back()] = {};
    }
    receive_state(ids);
  }

  void TestBody() override {}

  void step() {
    m_now += std::chrono::milliseconds(m_random() % 60);
    switch (m_random() % 6) {
    case 0:
    case 1:
    case 2:
      send();
      break;
    case 3:
    case 4:
      answer();
      break;
    default:
      announce();
      std::ignore = m_router.tick(m_now);
      break;
    }
  }

private:
  struct endpoint {
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 1;
    bool is_leaving = false;
    bool has_said_leaving = false;
    /// Requests are counted in this time.
    base::monotonic_time pause_from{};
    base::monotonic_time pause_until{};
    int during_pause = 0;
  };

  struct active {
    request_number number = 0;
    std::string endpoint;
    std::uint64_t incarnation = 0;
  };

  void note(request_number number, decision const& made) {
    auto const* sent = std::get_if<attempt>(&made);
    if (sent == nullptr) {
      m_router.end(number, m_now);
      return;
    }
    auto& receiver = m_endpoints.at(sent->endpoint.value);
    bool const is_current = sent->incarnation == receiver.incarnation;
    RC_ASSERT(!is_current || !receiver.has_said_leaving);
    if (is_current && m_now >= receiver.pause_from && m_now < receiver.pause_until) {
      RC_ASSERT(++receiver.during_pause <= max_during_pause);
    }
    m_active.push_back({number, sent->endpoint.value, sent->incarnation});
  }

  void send() {
    constexpr std::array<char const*, 4> paths{"/once/x", "/again/x", "/stream/x", "/resume/x"};
    auto request = facts(paths.at(m_random() % paths.size()));
    request.caller_timeout = 30s;
    request.session.value = m_random() % 2 == 0 ? "" : "session";
    auto const number = ++m_last_number;
    note(number, m_router.begin(number, request, m_now));
  }

  /// Ends a random request, with a notice if its endpoint still is the one that received it.
  void answer() {
    if (m_active.empty()) {
      return;
    }
    auto const at = m_active.begin() + static_cast<std::ptrdiff_t>(m_random() % m_active.size());
    auto const one = *at;
    m_active.erase(at);
    auto& sender = m_endpoints.at(one.endpoint);
    bool const is_rejection = m_random() % 3 == 0;
    if (one.incarnation == sender.incarnation) {
      state_notice(one.number, sender, is_rejection);
    }
    if (m_random() % 3 == 0) {
      m_router.end(one.number, m_now);
      return;
    }
    auto const failure = is_rejection ? attempt_failure::not_executed : attempt_failure::broken;
    note(one.number, m_router.fail(one.number, failure, false, m_now));
  }

  void state_notice(request_number number, endpoint& sender, bool is_rejection) {
    sender.is_leaving |= m_random() % 20 == 0;
    endpoint_notice notice{.is_leaving = sender.is_leaving};
    if (is_rejection && m_random() % 2 == 0) {
      notice.pause = std::chrono::milliseconds(m_random() % 4000);
      if (m_now + *notice.pause > sender.pause_until) {
        sender.pause_from = m_now + pause_reaction_time;
        sender.pause_until = m_now + *notice.pause;
        sender.during_pause = 0;
      }
    }
    std::ignore = m_router.note_notice(number, notice, m_now);
    sender.has_said_leaving |= sender.is_leaving;
  }

  /// The leader's word on a random endpoint: ready, whatever the endpoint said, or started again.
  void announce() {
    auto const id = "e" + std::to_string(m_random() % endpoint_count);
    auto& known = m_endpoints.at(id);
    if (m_random() % 4 == 0) {
      known = {.incarnation = known.incarnation + 1, .sequence = known.sequence};
    }
    update made;
    made.state = {.document_revision = 1, .registry_term = 1, .registry_revision = ++m_revision};
    made.base_registry_revision = m_revision - 1;
    endpoint_announcement const announcement{
        .id = {id},
        .service = {"s"},
        .address = {.ip = "10.0.0.1", .port = 80},
        .zone = {"here"},
        .number = {.incarnation = known.incarnation, .sequence = ++known.sequence}};
    made.endpoints = {{.announcement = announcement, .revision = m_revision}};
    std::ignore = m_router.receive({"control"}, made, m_now);
  }

  base::random_generator m_random;
  base::monotonic_time m_now = start;
  std::map<std::string, endpoint> m_endpoints;
  std::deque<active> m_active;
  request_number m_last_number = 0;
  std::uint64_t m_revision = 1;
};

} // namespace

// Guards against any way by which a request reaches an endpoint that has said that it leaves
// (DRAIN) or that it pauses (BUDGET).
RC_GTEST_PROP(endpoint_notices, are_obeyed_by_all_requests, (std::uint64_t seed)) {
  notice_simulation simulation(seed);
  for (int i = 0; i < steps; ++i) {
    simulation.step();
  }
}

} // namespace catkinlanding::proxy
