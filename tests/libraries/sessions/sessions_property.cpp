#include <libraries/base/overloaded.h>
#include <libraries/base/random.h>
#include <libraries/catalogue/json.h>
#include <libraries/instance/replicated_state.h>
#include <libraries/requests/table.h>
#include <libraries/routing/chooser.h>
#include <libraries/sessions/pin_client.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <rapidcheck.h>

namespace catkinlanding::sessions {

namespace {

using instance::replicated_state;

constexpr char const* catalogue_text = R"({
  "customers": [{"id": "guild", "owner": "ops", "class": "interactive", "keys": ["guild-key"],
                 "allow": [{"model": "hat"}]},
                {"id": "drov", "owner": "ops", "class": "interactive", "keys": ["drov-key"],
                 "allow": [{"model": "hat"}]}],
  "classes": [{"id": "interactive", "owner": "ops", "class": "interactive", "deadline_ms": 20000,
                "quality_target": 0.8}],
  "models": [{"id": "hat", "owner": "ops", "class": "interactive"}]
})";

constexpr std::size_t entry_count = 3;
constexpr std::size_t session_count = 2;
constexpr std::size_t initial_version_count = 3;
constexpr int steps_per_run = 600;
/// A session must not expire earlier than this after one of its requests was dispatched.
constexpr base::duration min_retention = std::chrono::minutes(15);

/// Simulates entry instances with their request tables, pin caches and copies of the catalogue, a
/// replicated log, and a network that drops, duplicates and reorders messages, while versions are
/// added, withdrawn and disallowed.
class simulation {
public:
  explicit simulation(std::uint64_t seed) : m_random(seed) {
    catalogue::change founding;
    founding.upserts = catalogue::parse_entries(catalogue_text).value();
    commit(std::move(founding));
    for (std::size_t i = 0; i < initial_version_count; ++i) {
      add_version();
    }
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
  [[nodiscard]] std::size_t session_failures() const { return m_session_failures; }
  [[nodiscard]] std::size_t moves() const { return m_moves; }
  [[nodiscard]] std::size_t name_reuses() const { return m_name_reuses; }

private:
  struct entry {
    base::instance_id id;
    std::uint64_t incarnation = 0;
    std::unique_ptr<requests::table> table;
    std::unique_ptr<pin_client> client;
    std::unique_ptr<pin_cache> pins;
    std::unique_ptr<endpoints::directory> directory;
    std::unique_ptr<routing::chooser> chooser;
    catalogue::document document;
    bool is_frozen = false;
    /// When the instance lost its connection and its lease; unset while it has them.
    std::optional<base::monotonic_time> cut_off_at;
    std::map<requests::request_number, session_key> open_requests;
  };

  /// One pin of a session, as the log granted it.
  struct granted_pin {
    sessions::pin pin;
    catalogue::revision revision = 0;
  };

  struct to_leader {
    sessions::proposal proposal;
  };
  struct to_entry {
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    std::variant<decision, requests::event> payload;
  };
  using in_flight_message = std::variant<to_leader, to_entry>;

  [[nodiscard]] std::size_t random_below(std::size_t bound) { return m_random() % bound; }
  [[nodiscard]] bool one_in(std::size_t bound) { return random_below(bound) == 0; }
  [[nodiscard]] catalogue::document const& document() const {
    return m_state.catalogue().document();
  }

  void start(std::size_t index) {
    auto& entry = m_entries.at(index);
    entry.id = {"entry-" + std::to_string(index)};
    entry.incarnation = ++m_last_incarnation;
    entry.table = std::make_unique<requests::table>(
        requests::table::options{.self = entry.id, .incarnation = entry.incarnation});
    entry.client = std::make_unique<pin_client>(pin_client::options{
        .self = entry.id, .incarnation = entry.incarnation, .control_instances = {{"leader"}}});
    entry.pins = std::make_unique<pin_cache>(pin_cache::options{});
    entry.directory =
        std::make_unique<endpoints::directory>(endpoints::directory::options{.started_at = m_now});
    entry.chooser =
        std::make_unique<routing::chooser>(routing::chooser::options{.seed = entry.incarnation});
    entry.document = document();
    entry.is_frozen = false;
    entry.cut_off_at.reset();
    entry.open_requests.clear();
  }

  void step() {
    auto const index = random_below(entry_count);
    switch (random_below(16)) {
    case 0:
    case 1:
    case 2:
      send_request(index, {.customer = {one_in(2) ? "guild" : "drov"},
                           .session = {"session-" + std::to_string(random_below(session_count))},
                           .model = {"hat"}});
      break;
    case 3:
      m_now += std::chrono::milliseconds(random_below(400));
      break;
    case 4:
      tick(index);
      break;
    case 5:
      receive_catalogue(index);
      break;
    case 6:
      inject_fault(index);
      break;
    default:
      deliver_random_message();
    }
  }

  void inject_fault(std::size_t index) {
    auto& entry = m_entries.at(index);
    switch (random_below(11)) {
    case 0:
      start(index);
      break;
    case 1:
      entry.cut_off_at = entry.cut_off_at ? std::nullopt : std::optional(m_now);
      break;
    case 2:
      elect_leader();
      break;
    case 3:
      m_now += std::chrono::minutes(random_below(25));
      break;
    case 4:
      if (one_in(3)) {
        m_now += registry::retention + std::chrono::minutes(1);
      }
      break;
    case 5:
      replace_version();
      break;
    case 6:
      restrict_customer();
      break;
    case 7:
      raise_exposure();
      break;
    case 8:
      lift_restriction();
      break;
    default:
      entry.is_frozen = !entry.is_frozen;
    }
  }

  /// A new leader continues from a snapshot, and from the clock in it.
  void elect_leader() {
    m_state = replicated_state::decode(m_state.encode()).value();
    m_clock_base = m_state.sessions().clock();
    m_leader_since = m_now;
  }

  void commit(catalogue::change change) {
    change.base_revision = document().revision();
    change.id = {"change-" + std::to_string(change.base_revision)};
    auto const outcome = m_state.apply(std::move(change));
    RC_ASSERT(std::get<catalogue::change_outcome>(outcome).verdict ==
              catalogue::change_verdict::accepted);
  }

  [[nodiscard]] static catalogue::version make_version(std::string const& id) {
    // Prices and qualities such that the chooser would pick a cheap and an expensive version as a
    // cascade if sessions allowed it.
    auto const variant_index = std::stoull(id) % 10;
    return {.model = {"hat"},
            .id = {id},
            .stewardship = {.owner = "ops", .request_class = {"interactive"}, .limits = {}},
            .standing = catalogue::standing::trial,
            .price_per_thousand_tokens = 100 * (1 + variant_index),
            .quality_prior = variant_index >= 5 ? 0.9 : 0.6,
            .without_lease = std::chrono::hours(2)};
  }

  void add_version() {
    auto version = make_version(std::to_string(++m_last_version));
    version.exposure_permille = one_in(2) ? 1000 : 100;
    version.standing = one_in(2) ? catalogue::standing::trial : catalogue::standing::settled;
    catalogue::change change;
    change.upserts.emplace_back(version);
    for (auto const& [id, customer] : document().customers()) {
      if (!customer.allowances.front().versions.empty()) {
        auto allowed = customer;
        allowed.allowances.front().versions.push_back(version.id);
        change.upserts.emplace_back(std::move(allowed));
      }
    }
    commit(std::move(change));
  }

  void replace_version() {
    auto version = make_version(std::to_string(1 + random_below(m_last_version)));
    version.standing = catalogue::standing::withdrawn;
    catalogue::change change;
    change.upserts.emplace_back(version);
    commit(std::move(change));
    m_withdrawn.insert(version.id);
    add_version();
  }

  /// From now on the customer may only use the latest two versions and later ones.
  void restrict_customer() {
    auto customer = *document().find_customer({one_in(2) ? "guild" : "drov"});
    customer.allowances.front().versions.clear();
    for (auto i = m_last_version - 1; i <= m_last_version; ++i) {
      customer.allowances.front().versions.push_back({std::to_string(i)});
    }
    m_min_allowed_version[customer.id] = m_last_version - 1;
    catalogue::change change;
    change.upserts.emplace_back(customer);
    commit(std::move(change));
    add_version();
  }

  /// Restores a withdrawn version, or allows a customer all versions again.
  void lift_restriction() {
    catalogue::change change;
    if (one_in(2) || m_withdrawn.empty()) {
      auto customer = *document().find_customer({one_in(2) ? "guild" : "drov"});
      customer.allowances.front().versions.clear();
      m_min_allowed_version[customer.id] = 0;
      change.upserts.emplace_back(std::move(customer));
    } else {
      auto const id = *m_withdrawn.begin();
      m_withdrawn.erase(id);
      change.upserts.emplace_back(make_version(id.value));
    }
    commit(std::move(change));
  }

  void raise_exposure() {
    auto const* known =
        document().find_version({"hat"}, {std::to_string(1 + random_below(m_last_version))});
    if (known->standing == catalogue::standing::withdrawn) {
      return;
    }
    auto version = *known;
    version.exposure_permille = 1000;
    version.standing = one_in(2) ? catalogue::standing::settled : version.standing;
    catalogue::change change;
    change.upserts.emplace_back(version);
    commit(std::move(change));
  }

  /// The instance receives the latest catalogue.
  void receive_catalogue(std::size_t index) {
    auto& entry = m_entries.at(index);
    if (!entry.is_frozen && !entry.cut_off_at) {
      entry.document = document();
    }
  }

  void send_request(std::size_t index, session_key const& session) {
    auto& entry = m_entries.at(index);
    if (entry.is_frozen) {
      return;
    }
    requests::caller_request request;
    request.number = ++m_last_number;
    request.customer_key = session.customer.value + "-key";
    request.target = requests::completion_target{.model = session.model};
    request.session = session.session;
    request.is_stream = one_in(2);
    request.body =
        std::make_shared<std::string const>(session.customer.value + "/" + session.session.value);
    request.deadline = std::chrono::milliseconds(500 + random_below(10'000));
    entry.open_requests[request.number] = session;
    reduce(index, request);
  }

  void tick(std::size_t index) {
    auto& entry = m_entries.at(index);
    if (entry.is_frozen) {
      return;
    }
    std::vector<outgoing> messages;
    entry.client->tick(m_now, messages);
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
      endpoints::announcement announcement{.endpoint = {"engine-" + std::to_string(port)},
                                           .incarnation = ++m_last_sequence,
                                           .sequence = 1,
                                           .address = {.ip = "127.0.0.1", .port = port},
                                           .slots = 100};
      for (std::size_t i = 1; i <= m_last_version; ++i) {
        announcement.versions.push_back({.model = {"hat"}, .version = {std::to_string(i)}});
      }
      entry.directory->announce(announcement, m_now, ignored);
    }
    return {.document = entry.document,
            .has_lease = !entry.cut_off_at,
            .without_lease = entry.cut_off_at ? m_now - *entry.cut_off_at : base::duration{},
            .directory = *entry.directory,
            .chooser = *entry.chooser,
            .admission = nullptr,
            .has_rating_service = true,
            .pins = entry.pins.get(),
            .can_pin = !entry.cut_off_at && !entry.client->is_full()};
  }

  void perform(std::size_t index, requests::effects const& effects) {
    for (auto const& effect : effects) {
      if (m_injects_faults && one_in(60)) {
        // The instance is killed between two effects, so the remaining ones are lost.
        start(index);
        return;
      }
      std::visit([&](auto const& e) { perform_effect(index, e); }, effect);
    }
  }

  void perform_effect(std::size_t index, requests::pin_session const& effect) {
    std::vector<outgoing> messages;
    m_entries.at(index).client->submit(effect.key, effect.version, m_now, messages);
    send(messages);
  }

  void perform_effect(std::size_t index, requests::dispatch const& dispatch) {
    auto const& entry = m_entries.at(index);
    check_version(entry, session_of(dispatch), dispatch.version);
    auto const attempt = dispatch.attempt;
    constexpr std::array failures{
        requests::attempt_failure_kind::not_sent, requests::attempt_failure_kind::refused,
        requests::attempt_failure_kind::broken, requests::attempt_failure_kind::error_status};
    if (m_injects_faults && one_in(4)) {
      schedule_event(index,
                     requests::attempt_failed{attempt, failures.at(random_below(failures.size()))});
    } else if (!m_injects_faults || !one_in(8)) {
      schedule_event(index, requests::attempt_data{attempt, dispatch.version.value});
    }
  }

  /// Each request body contains the session's customer and id.
  [[nodiscard]] static session_key session_of(requests::dispatch const& dispatch) {
    auto const separator = dispatch.body->find('/');
    return {.customer = {dispatch.body->substr(0, separator)},
            .session = {dispatch.body->substr(separator + 1)},
            .model = {"hat"}};
  }

  /// Checks that a request goes to the version that its session is pinned to. An earlier version is
  /// allowed only if the instance's catalogue is older than the move.
  void check_version(entry const& entry, session_key const& session,
                     base::version_id const& version) {
    auto const& history = m_history[session];
    bool is_pinned = false;
    for (auto it = history.begin(); it != history.end(); ++it) {
      bool const has_moved_away =
          std::next(it) != history.end() && entry.document.revision() >= std::next(it)->revision;
      is_pinned |= it->pin.version == version && !has_moved_away;
    }
    RC_ASSERT(is_pinned);
    m_last_sent_at[session] = m_now;
  }

  void perform_effect(std::size_t index, requests::charge const& effect) {
    schedule_event(index, requests::bill_replicated{effect.bill.request});
  }

  void perform_effect(std::size_t index, requests::reply_head const& head) {
    auto const& session = m_entries.at(index).open_requests.at(head.number);
    if (!m_injects_faults) {
      m_last_versions[session].insert(head.version);
    }
  }

  void perform_effect(std::size_t index, requests::reply_end const& end) {
    m_entries.at(index).open_requests.erase(end.number);
    ++m_answers;
  }

  void perform_effect(std::size_t index, requests::reply_failure const& reply) {
    RC_ASSERT(m_entries.at(index).open_requests.erase(reply.number) == 1U);
    m_session_failures += reply.failure.kind == requests::failure_kind::session_unavailable ? 1 : 0;
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
      m_in_flight.emplace_back(to_leader{std::get<forwarded_proposal>(message.message).proposal});
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
    sessions::command const command{.at = m_clock_base + (m_now - m_leader_since),
                                    .proposal = message.proposal};
    auto const result = std::get<verdict>(m_state.apply(command));
    if (result.kind == verdict_kind::pinned) {
      record_pin(message.proposal.key, result.pin);
    }
    for (std::size_t i = 0; i < entry_count; ++i) {
      if (m_entries.at(i).id == message.proposal.instance) {
        m_in_flight.emplace_back(
            to_entry{.entry = i,
                     .incarnation = m_entries.at(i).incarnation,
                     .payload = decision{.key = message.proposal.key,
                                         .incarnation = message.proposal.incarnation,
                                         .number = message.proposal.number,
                                         .verdict = result}});
      }
    }
  }

  /// Records a pin and checks that it may replace the previous one: only if the simulation has made
  /// the previous version unusable, or the session may have expired.
  void record_pin(session_key const& session, sessions::pin const& pin) {
    auto& history = m_history[session];
    if (!history.empty() && history.back().pin == pin) {
      return;
    }
    if (!history.empty() && !pin.moved_from.is_empty()) {
      RC_ASSERT(pin.moved_from == history.back().pin.version);
      RC_ASSERT(is_unusable(session.customer, pin.moved_from));
      ++m_moves;
    } else if (!history.empty()) {
      // The session has expired, and a caller uses its id again.
      RC_ASSERT(m_now >= m_last_sent_at[session] + min_retention);
      history.clear();
      ++m_name_reuses;
    }
    history.push_back({.pin = pin, .revision = document().revision()});
  }

  [[nodiscard]] bool is_unusable(base::customer_id const& customer,
                                 base::version_id const& version) {
    return m_withdrawn.contains(version) ||
           std::stoull(version.value) < m_min_allowed_version[customer];
  }

  void deliver(to_entry const& message) {
    auto& entry = m_entries.at(message.entry);
    if (entry.is_frozen) {
      // The message waits in the socket buffers of the suspended process.
      m_in_flight.emplace_back(message);
      return;
    }
    if (auto const* decided = std::get_if<decision>(&message.payload)) {
      receive_decision(message.entry, *decided);
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
      reduce(message.entry, requests::attempt_finished{data->attempt, {.completion_tokens = 1}});
      return;
    }
    reduce(message.entry, event);
  }

  void receive_decision(std::size_t index, decision const& decided) {
    auto& entry = m_entries.at(index);
    auto const requested_at = entry.client->receive({"leader"}, decided);
    if (!requested_at) {
      return;
    }
    if (decided.verdict.kind == verdict_kind::pinned) {
      entry.pins->store(decided.key, {.pin = decided.verdict.pin,
                                      .revision = decided.verdict.revision,
                                      .requested_at = *requested_at});
    }
    reduce(index, requests::session_decided{.key = decided.key, .verdict = decided.verdict.kind});
  }

  /// Checks that, without further faults, every caller gets a result and a session has the same
  /// version on all instances.
  void recover() {
    m_injects_faults = false;
    for (std::size_t index = 0; index < entry_count; ++index) {
      auto& entry = m_entries.at(index);
      entry.is_frozen = false;
      entry.cut_off_at.reset();
      entry.document = document();
    }
    run_until_idle();
    m_last_versions.clear();
    session_key const session{.customer = {"guild"}, .session = {"session-0"}, .model = {"hat"}};
    for (std::size_t index = 0; index < entry_count; ++index) {
      // Earlier failures must not influence the choice of endpoints any more.
      m_entries.at(index).chooser =
          std::make_unique<routing::chooser>(routing::chooser::options{.seed = index});
      send_request(index, session);
    }
    run_until_idle();
    RC_ASSERT(m_last_versions[session].size() == 1U);
  }

  void run_until_idle() {
    for (int i = 0; i < 120; ++i) {
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
  std::array<entry, entry_count> m_entries;
  std::vector<in_flight_message> m_in_flight;
  replicated_state m_state;
  base::duration m_clock_base{};
  base::monotonic_time m_leader_since = m_now;
  std::map<session_key, std::vector<granted_pin>> m_history;
  std::map<session_key, base::monotonic_time> m_last_sent_at;
  std::map<session_key, std::set<base::version_id>> m_last_versions;
  std::set<base::version_id> m_withdrawn;
  std::map<base::customer_id, std::size_t> m_min_allowed_version;
  std::size_t m_last_version = 0;
  std::uint64_t m_last_incarnation = 0;
  std::uint64_t m_last_sequence = 0;
  requests::request_number m_last_number = 0;
  std::size_t m_answers = 0;
  std::size_t m_session_failures = 0;
  std::size_t m_moves = 0;
  std::size_t m_name_reuses = 0;
  bool m_injects_faults = true;
};

TEST(sessions_property, a_session_keeps_its_version_while_it_is_usable) {
  std::size_t answers = 0;
  std::size_t session_failures = 0;
  std::size_t moves = 0;
  std::size_t name_reuses = 0;
  EXPECT_TRUE(rc::check("one version for each session", [&] {
    simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    simulation.run();
    answers += simulation.answers();
    session_failures += simulation.session_failures();
    moves += simulation.moves();
    name_reuses += simulation.name_reuses();
  }));
  // The property would hold trivially if one of these never occurred.
  EXPECT_GT(answers, 0U);
  EXPECT_GT(session_failures, 0U);
  EXPECT_GT(moves, 0U);
  EXPECT_GT(name_reuses, 0U);
}

} // namespace

} // namespace catkinlanding::sessions
