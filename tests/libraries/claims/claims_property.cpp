#include <libraries/base/overloaded.h>
#include <libraries/base/random.h>
#include <libraries/catalogue/json.h>
#include <libraries/claims/claim_client.h>
#include <libraries/instance/replicated_state.h>
#include <libraries/requests/table.h>
#include <libraries/routing/chooser.h>

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <rapidcheck.h>

namespace catkinlanding::claims {

namespace {

using instance::replicated_state;

constexpr char const* catalogue_text = R"({
  "customers": [{"id": "guild", "owner": "ops", "class": "interactive", "keys": ["guild-key"],
                 "services": ["orders"]}],
  "classes": [{"id": "interactive", "owner": "ops", "class": "interactive", "deadline_ms": 20000}],
  "services": [{"id": "orders", "owner": "ops", "class": "interactive", "price_per_call": 5}]
})";

constexpr std::size_t entry_count = 3;
constexpr std::size_t key_count = 3;
constexpr int steps_per_run = 500;

catalogue::document make_document() {
  catalogue::document document;
  catalogue::change change;
  change.upserts = catalogue::parse_entries(catalogue_text).value();
  document.apply(change);
  return document;
}

/// Simulates entry instances with their request tables and claim clients, a replicated log, and a
/// network that drops, duplicates and reorders messages. Counts the runs under each key.
class simulation {
public:
  explicit simulation(std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < entry_count; ++i) {
      start(i);
    }
  }

  void run() {
    for (int i = 0; i < steps_per_run; ++i) {
      step();
    }
    recover();
  }

  [[nodiscard]] std::size_t answers() const { return m_answers; }
  [[nodiscard]] std::size_t not_run_answers() const { return m_not_run_answers; }

private:
  struct open_request {
    std::string key;
    std::string body;
  };

  struct entry {
    base::instance_id id;
    std::uint64_t incarnation = 0;
    std::unique_ptr<requests::table> table;
    std::unique_ptr<claim_client> claims;
    std::unique_ptr<endpoints::directory> directory;
    routing::chooser chooser{{.seed = 1}};
    bool is_frozen = false;
    bool has_lease = true;
    std::map<requests::request_number, open_request> open_requests;
  };

  struct to_leader {
    claims::action action;
  };
  struct to_entry {
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    std::variant<decision, requests::event> payload;
  };
  using in_flight_message = std::variant<to_leader, to_entry>;

  [[nodiscard]] std::size_t random_below(std::size_t bound) { return m_random() % bound; }
  [[nodiscard]] bool one_in(std::size_t bound) { return random_below(bound) == 0; }

  void start(std::size_t index) {
    auto& entry = m_entries.at(index);
    entry.id = {"entry-" + std::to_string(index)};
    entry.incarnation = ++m_last_incarnation;
    entry.table = std::make_unique<requests::table>(
        requests::table::options{.self = entry.id, .incarnation = entry.incarnation});
    entry.claims =
        std::make_unique<claim_client>(claim_client::options{.control_instances = {{"leader"}}});
    entry.directory =
        std::make_unique<endpoints::directory>(endpoints::directory::options{.started_at = m_now});
    entry.is_frozen = false;
    entry.open_requests.clear();
  }

  void step() {
    auto const index = random_below(entry_count);
    switch (random_below(16)) {
    case 0:
    case 1:
      send_request(index);
      break;
    case 2:
      m_now += std::chrono::milliseconds(random_below(400));
      break;
    case 3:
      tick(index);
      break;
    case 4:
      disconnect_caller(index);
      break;
    case 5:
      inject_fault(index);
      break;
    default:
      deliver_random_message();
    }
  }

  void inject_fault(std::size_t index) {
    switch (random_below(8)) {
    case 0:
      start(index);
      break;
    case 4:
      m_now += std::chrono::seconds(random_below(60));
      break;
    case 1:
      m_entries.at(index).has_lease = !m_entries.at(index).has_lease;
      break;
    case 2:
      elect_leader();
      break;
    case 3:
      if (one_in(2)) {
        exceed_retention();
      }
      break;
    default:
      m_entries.at(index).is_frozen = !m_entries.at(index).is_frozen;
    }
  }

  /// A new leader continues from a snapshot, and from the clock in it.
  void elect_leader() {
    m_state = replicated_state::decode(m_state.encode()).value();
    m_clock_base = m_state.claims().clock();
    m_leader_since = m_now;
  }

  /// Advances the time beyond the retention of keys. Callers don't reuse a key after that if
  /// anything ran under it.
  void exceed_retention() {
    m_now += registry::retention + std::chrono::minutes(1);
    for (std::size_t i = 0; i < key_count; ++i) {
      if (m_runs[key(i)] > 0) {
        ++m_generations.at(i);
      }
    }
  }

  [[nodiscard]] std::string key(std::size_t index) const {
    return std::to_string(index) + "-" + std::to_string(m_generations.at(index));
  }

  void send_request(std::size_t index) {
    auto& entry = m_entries.at(index);
    if (entry.is_frozen) {
      return;
    }
    requests::caller_request request;
    request.number = ++m_last_number;
    request.customer_key = "guild-key";
    request.target = requests::service_target{.service = {"orders"}, .method = "POST", .path = "/"};
    request.idempotency_key = key(random_below(key_count));
    request.body =
        std::make_shared<std::string const>(*request.idempotency_key + (one_in(8) ? "+" : ""));
    request.deadline = std::chrono::milliseconds(500 + random_below(10'000));
    entry.open_requests[request.number] = {.key = *request.idempotency_key, .body = *request.body};
    reduce(index, request);
  }

  void disconnect_caller(std::size_t index) {
    auto& entry = m_entries.at(index);
    if (!entry.is_frozen && !entry.open_requests.empty() && one_in(4)) {
      reduce(index, requests::caller_disconnected{entry.open_requests.begin()->first});
    }
  }

  void tick(std::size_t index) {
    auto& entry = m_entries.at(index);
    if (entry.is_frozen) {
      return;
    }
    std::vector<outgoing> messages;
    entry.claims->tick(m_now, messages);
    send(messages);
    requests::effects effects;
    entry.table->tick(make_environment(entry), m_now, effects);
    perform(index, effects);
  }

  void reduce(std::size_t index, requests::event const& event) {
    auto& entry = m_entries.at(index);
    requests::effects effects;
    entry.table->reduce(event, make_environment(entry), m_now, effects);
    perform(index, effects);
  }

  requests::environment make_environment(entry& entry) {
    endpoints::effects ignored;
    for (std::uint16_t port : {1, 2}) {
      entry.directory->announce({.endpoint = {"shop-" + std::to_string(port)},
                                 .incarnation = ++m_last_sequence,
                                 .sequence = 1,
                                 .address = {.ip = "127.0.0.1", .port = port},
                                 .kind = endpoints::endpoint_kind::service,
                                 .service = {"orders"}},
                                m_now, ignored);
    }
    return {.document = m_document,
            .has_lease = entry.has_lease,
            .directory = *entry.directory,
            .chooser = entry.chooser,
            .admission = nullptr,
            .can_claim = entry.has_lease && !entry.claims->is_full()};
  }

  void perform(std::size_t index, requests::effects const& effects) {
    for (auto const& effect : effects) {
      if (m_injects_faults && one_in(50)) {
        // The instance is killed between two effects, so the remaining ones are lost.
        start(index);
        return;
      }
      std::visit([&](auto const& e) { perform_effect(index, e); }, effect);
    }
  }

  void perform_effect(std::size_t index, requests::claim_action const& effect) {
    std::vector<outgoing> messages;
    m_entries.at(index).claims->submit(effect.action, m_now, messages);
    send(messages);
  }

  void perform_effect(std::size_t index, requests::dispatch const& dispatch) {
    auto const attempt = dispatch.attempt;
    if (one_in(8)) {
      schedule_event(index,
                     requests::attempt_failed{attempt, requests::attempt_failure_kind::not_sent});
      return;
    }
    if (one_in(8)) {
      schedule_event(index,
                     requests::attempt_failed{attempt, requests::attempt_failure_kind::refused});
      return;
    }
    auto const& key = dispatch.request.value.substr(std::string_view("guild/").size());
    ++m_content_runs[*dispatch.body];
    RC_ASSERT(++m_runs[key] == 1);
    if (one_in(8)) {
      schedule_event(index,
                     requests::attempt_failed{attempt, requests::attempt_failure_kind::broken});
    } else if (one_in(8)) {
      schedule_event(
          index, requests::attempt_failed{attempt, requests::attempt_failure_kind::error_status});
    } else if (!one_in(8)) {
      // The parts of one answer arrive in order, possibly late.
      schedule_event(index, requests::attempt_data{attempt, *dispatch.body});
    }
  }

  void perform_effect(std::size_t index, requests::charge const& effect) {
    schedule_event(index, requests::bill_replicated{effect.bill.request});
  }

  void perform_effect(std::size_t index, requests::reply_data const& data) {
    RC_ASSERT(data.bytes == m_entries.at(index).open_requests.at(data.number).body);
  }

  void perform_effect(std::size_t index, requests::reply_end const& end) {
    m_entries.at(index).open_requests.erase(end.number);
    ++m_answers;
  }

  void perform_effect(std::size_t index, requests::reply_failure const& reply) {
    auto const request = m_entries.at(index).open_requests.extract(reply.number);
    RC_ASSERT(!request.empty());
    if (reply.failure.run_state != requests::run_state::not_run) {
      return;
    }
    ++m_not_run_answers;
    if (reply.failure.kind == requests::failure_kind::key_reused) {
      RC_ASSERT(m_content_runs[request.mapped().body] == 0);
    } else {
      RC_ASSERT(m_runs[request.mapped().key] == 0);
    }
  }

  template<class Effect>
  void perform_effect(std::size_t /*index*/, Effect const& /*effect*/) {}

  void schedule_event(std::size_t index, requests::event event) {
    m_in_flight.emplace_back(to_entry{.entry = index,
                                      .incarnation = m_entries.at(index).incarnation,
                                      .payload = std::move(event)});
  }

  void send(std::vector<outgoing> const& messages) {
    for (auto const& message : messages) {
      m_in_flight.emplace_back(to_leader{std::get<forwarded_action>(message.message).action});
    }
  }

  void deliver_random_message() {
    if (m_in_flight.empty()) {
      return;
    }
    auto const index = random_below(m_in_flight.size());
    auto const message = m_in_flight.at(index);
    bool const is_duplicated = m_injects_faults && one_in(6);
    if (!is_duplicated) {
      m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    }
    std::visit([&](auto const& m) { deliver(m); }, message);
  }

  void deliver(to_leader const& message) {
    if (m_injects_faults && one_in(6)) {
      return;
    }
    claims::command const command{.at = m_clock_base + (m_now - m_leader_since),
                                  .action = message.action};
    auto const outcome = m_state.apply(command);
    auto const& holder = holder_of(message.action);
    for (std::size_t i = 0; i < entry_count; ++i) {
      if (m_entries.at(i).id == holder.instance) {
        m_in_flight.emplace_back(
            to_entry{.entry = i,
                     .incarnation = m_entries.at(i).incarnation,
                     .payload = decision{.request = request_of(message.action),
                                         .holder = holder,
                                         .kind = kind_of(message.action),
                                         .verdict = std::get<verdict>(outcome)}});
      }
    }
  }

  void deliver(to_entry const& message) {
    auto& entry = m_entries.at(message.entry);
    if (entry.is_frozen) {
      // The message waits in the socket buffers of the suspended process.
      m_in_flight.emplace_back(message);
      return;
    }
    if (auto const* decided = std::get_if<decision>(&message.payload)) {
      if (entry.claims->receive({"leader"}, *decided)) {
        reduce(message.entry, requests::claim_decided{*decided});
      }
      return;
    }
    auto const& event = std::get<requests::event>(message.payload);
    // Connections don't survive a restart of the instance, and neither do their events.
    if (entry.incarnation != message.incarnation) {
      return;
    }
    if (auto const* data = std::get_if<requests::attempt_data>(&event)) {
      reduce(message.entry, requests::attempt_head{data->attempt});
      reduce(message.entry, event);
      reduce(message.entry, requests::attempt_finished{data->attempt});
      return;
    }
    reduce(message.entry, event);
  }

  /// Checks that, without further faults, every caller that is still connected gets a result.
  void recover() {
    m_injects_faults = false;
    for (auto& entry : m_entries) {
      entry.is_frozen = false;
      entry.has_lease = true;
    }
    for (int i = 0; i < 300; ++i) {
      m_now += std::chrono::milliseconds(100);
      for (std::size_t index = 0; index < entry_count; ++index) {
        tick(index);
      }
      for (auto left = m_in_flight.size(); left > 0; --left) {
        deliver_random_message();
      }
    }
    for (auto const& entry : m_entries) {
      RC_ASSERT(entry.table->size() == 0U);
    }
  }

  base::random_generator m_random;
  base::monotonic_time m_now{std::chrono::hours(1)};
  catalogue::document m_document = make_document();
  std::array<entry, entry_count> m_entries;
  std::array<int, key_count> m_generations{};
  std::vector<in_flight_message> m_in_flight;
  replicated_state m_state;
  base::duration m_clock_base{};
  base::monotonic_time m_leader_since = m_now;
  std::map<std::string, int> m_runs;
  std::map<std::string, int> m_content_runs;
  std::uint64_t m_last_incarnation = 0;
  std::uint64_t m_last_sequence = 0;
  requests::request_number m_last_number = 0;
  std::size_t m_answers = 0;
  std::size_t m_not_run_answers = 0;
  bool m_injects_faults = true;
};

TEST(claims_property, each_key_runs_at_most_once_and_not_run_is_only_reported_if_true) {
  std::size_t answers = 0;
  std::size_t not_run_answers = 0;
  EXPECT_TRUE(rc::check("at most one run under each key", [&] {
    simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    simulation.run();
    answers += simulation.answers();
    not_run_answers += simulation.not_run_answers();
  }));
  // The property would hold trivially if every request were rejected.
  EXPECT_GT(answers, 0U);
  EXPECT_GT(not_run_answers, 0U);
}

} // namespace

} // namespace catkinlanding::claims
