#include <tests/support/control_group.h>
#include <tests/support/random_actions.h>

#include <array>
#include <map>
#include <string>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

/// What the endings of endpoints keep company with.
enum class culprit : std::uint8_t { whole_request, prompt_part, path, caller };
constexpr std::size_t culprit_count = 4;

/// Entry instances and endpoints, of which those end that run a request with the culprit. Guards
/// against endpoints that end one after the other, and against sound requests that are refused
/// beside them (BUDGET, LOST).
class ending_endpoints {
public:
  explicit ending_endpoints(std::uint64_t seed)
      : m_culprit(static_cast<culprit>(seed % culprit_count)), m_group({"a", "b", "c"}) {
    m_group.found({"a", "b", "c"});
    for (auto const& entry : m_entries) {
      m_group.start_entry(entry);
    }
    m_group.run(8s);
    m_group.call("a", ++m_calls, routes());
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      ++m_incarnations[i];
    }
    announce_all();
    m_group.run(1s);
    // The parts, paths and callers of sound requests are known before the trouble begins.
    for (std::uint8_t i = 0; i < 64; ++i) {
      send_sound(i);
    }
  }

  /// Sound requests that are in flight together, and one of the culprit's among them.
  void perform(random_action const& action) {
    announce_all();
    std::vector<sent_request> in_flight;
    for (std::uint8_t i = 0; i < 3; ++i) {
      begin(in_flight, sound_facts(action.parameter + i), action.kind + i);
    }
    if (action.kind % 2 == 0) {
      begin(in_flight, culprit_facts(action.parameter), action.kind);
    }
    finish(in_flight);
    m_group.run(action.steps % 4 * 250ms);
  }

  void heal() {
    RC_ASSERT(m_endings <= max_endings);
    // One in ten sound requests beside the trouble may be lost with the endpoints.
    RC_ASSERT(m_refused_sound * 10 <= m_sound + 10);
    for (std::uint8_t i = 0; i < 64; ++i) {
      RC_ASSERT(send_sound(i));
    }
  }

private:
  struct sent_request {
    proxy::router* entry = nullptr;
    proxy::request_number number = 0;
    bool is_culprit = false;
    proxy::decision decision;
  };

  static constexpr std::size_t endpoint_count = 12;
  /// Three endings are needed to tell, each instance may have one more under way before it hears,
  /// and a request under which one endpoint ended may be at its second.
  static constexpr std::size_t max_endings = 8;

  static proxy::replace_document routes() {
    proxy::replace_document made;
    made.document.revision = 1;
    made.document.services = {{.id = {"s"}}};
    for (std::size_t i = 0; i < 4; ++i) {
      proxy::customer one;
      one.id = {"customer" + std::to_string(i)};
      one.keys = {"key" + std::to_string(i)};
      made.document.customers.push_back(std::move(one));
    }
    proxy::route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/";
    route.kind = proxy::route_kind::idempotent;
    route.shares = {{.service = {"s"}, .weight = 1}};
    route.timeout = 30s;
    route.target_latency = 300ms;
    route.max_attempts = 3;
    made.document.routes = {route};
    return made;
  }

  proxy::request_facts sound_facts(std::size_t choice) {
    auto made = facts("/path" + std::to_string(choice % 5), choice % 3);
    made.content_hash = ++m_contents;
    made.prompt = {{.id = "part" + std::to_string(choice % 4), .tokens = 10},
                   {.id = "own" + std::to_string(++m_parts), .tokens = 10}};
    return made;
  }

  proxy::request_facts culprit_facts(std::size_t choice) {
    auto made = sound_facts(choice);
    switch (m_culprit) {
    case culprit::whole_request:
      // The path and the caller are those of sound requests too, but not together.
      made = facts("/path0/deadly", 0);
      break;
    case culprit::prompt_part:
      made.prompt.front().id = "deadly";
      break;
    case culprit::path:
      made.path = "/deadly";
      break;
    case culprit::caller:
      made.key = "key3";
      break;
    }
    return made;
  }

  static proxy::request_facts facts(std::string path, std::size_t customer) {
    proxy::request_facts made;
    made.id = {"request"};
    made.host = "h";
    made.path = std::move(path);
    made.key = "key" + std::to_string(customer);
    made.caller_timeout = 20s;
    return made;
  }

  void announce_all() {
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      announce(i);
    }
  }

  void announce(std::size_t index) {
    proxy::endpoint_announcement const announcement{
        .id = {"e" + std::to_string(index)},
        .service = {"s"},
        .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(1000 + index)},
        .number = {.incarnation = m_incarnations[index], .sequence = ++m_sequence}};
    m_group.call("a", ++m_calls, proxy::announce_endpoint{announcement});
  }

  void begin(std::vector<sent_request>& in_flight, proxy::request_facts facts, std::size_t entry) {
    bool const is_culprit = is_deadly(facts);
    auto& router = m_group.entry(m_entries.at(entry % m_entries.size()));
    auto const number = ++m_requests;
    auto decision = router.begin(number, std::move(facts), m_group.now());
    in_flight.push_back({&router, number, is_culprit, std::move(decision)});
    m_sound += is_culprit ? 0 : 1;
  }

  [[nodiscard]] static bool is_deadly(proxy::request_facts const& facts) {
    return facts.path.find("deadly") != std::string::npos || facts.key == "key3" ||
           (!facts.prompt.empty() && facts.prompt.front().id == "deadly");
  }

  /// Endpoints that run a request of the culprit's end, with all others that they run. What is left
  /// over completes.
  void finish(std::vector<sent_request>& in_flight) {
    bool has_ended = true;
    while (has_ended) {
      has_ended = false;
      for (auto const& deadly : in_flight) {
        auto const* attempt = std::get_if<proxy::attempt>(&deadly.decision);
        if (!deadly.is_culprit || attempt == nullptr) {
          continue;
        }
        has_ended = true;
        // The decision that names it is replaced.
        auto const endpoint = attempt->endpoint;
        end_endpoint(in_flight, endpoint);
        break;
      }
    }
    for (auto const& one : in_flight) {
      if (std::holds_alternative<proxy::attempt>(one.decision)) {
        std::ignore = one.entry->note_answer(one.number, std::nullopt, m_group.now());
        one.entry->note_completed(one.number, m_group.now());
      } else {
        m_refused_sound += one.is_culprit ? 0 : 1;
      }
      one.entry->end(one.number, m_group.now());
    }
  }

  void end_endpoint(std::vector<sent_request>& in_flight, base::endpoint_id const& endpoint) {
    ++m_endings;
    m_group.run(20ms);
    for (auto& one : in_flight) {
      auto const* attempt = std::get_if<proxy::attempt>(&one.decision);
      if (attempt != nullptr && attempt->endpoint == endpoint) {
        one.decision =
            one.entry->fail(one.number, proxy::attempt_failure::broken, false, m_group.now());
      }
    }
    auto const index = std::stoul(endpoint.value.substr(1));
    ++m_incarnations[index];
    announce(index);
    m_group.run(20ms);
  }

  bool send_sound(std::size_t choice) {
    std::vector<sent_request> one;
    begin(one, sound_facts(choice), choice);
    bool const is_sent = std::holds_alternative<proxy::attempt>(one.front().decision);
    finish(one);
    return is_sent;
  }

  culprit m_culprit;
  std::vector<std::string> const m_entries{"one", "two", "three"};
  control_group m_group;
  std::map<std::size_t, std::uint64_t> m_incarnations;
  std::uint64_t m_sequence = 0;
  proxy::call_number m_calls = 0;
  proxy::request_number m_requests = 0;
  std::size_t m_parts = 0;
  std::uint64_t m_contents = 0;
  std::size_t m_endings = 0;
  std::size_t m_sound = 0;
  std::size_t m_refused_sound = 0;
};

RC_GTEST_PROP(ending_requests, end_few_endpoints_and_harm_no_sound_request, ()) {
  run_random_actions<ending_endpoints>();
}

} // namespace

} // namespace catkinlanding::testing
