#include <libraries/base/random.h>
#include <libraries/routing/chooser.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

namespace catkinlanding::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<char const*, 4> version_names{"small", "medium", "large", "next"};
constexpr std::size_t endpoint_count = 6;
constexpr std::size_t slots = 4;
constexpr int steps = 400;

/// A chooser with a randomly changing catalogue, endpoints and evidence.
class run {
public:
  explicit run(std::uint64_t seed)
      : m_random(seed), m_is_hostile(seed % 3 == 0), m_has_judge(seed % 2 == 0),
        m_chooser({.seed = seed, .exploration_rate = 0.3, .quality = {.max_arms = max_arms}}) {
    change_catalogue();
  }

  void step() {
    m_now += milliseconds(m_random() % 400);
    endpoints::effects forwarded;
    m_directory.tick(m_now, forwarded);
    auto const dice = m_random() % 20;
    if (dice == 0) {
      change_catalogue();
    }
    if (dice == 1) {
      m_has_lease = !m_has_lease;
    }
    announce();
    observe();
    choose();
    if (!m_running.empty() && m_random() % 2 == 0) {
      m_directory.finish_attempt(m_running.back());
      m_running.pop_back();
    }
  }

  [[nodiscard]] int choices() const { return m_choices; }
  [[nodiscard]] bool is_hostile() const { return m_is_hostile; }

private:
  static constexpr std::size_t max_arms = 12;

  void change_catalogue() {
    catalogue::change change{.id = {"change"}, .base_revision = m_document.revision()};
    change.upserts.emplace_back(catalogue::model{.id = {"hatline"}});
    for (std::size_t i = 0; i < version_names.size(); ++i) {
      change.upserts.emplace_back(
          catalogue::version{.model = {"hatline"},
                             .id = {version_names.at(i)},
                             .standing = static_cast<catalogue::standing>(m_random() % 3),
                             .price_per_thousand_tokens = 100 + 300 * i,
                             .quality_prior = 0.7 + 0.08 * static_cast<double>(i),
                             .exposure_permille = static_cast<std::uint32_t>(m_random() % 1001)});
    }
    catalogue::allowance allowed{.model = {"hatline"}, .versions = {}};
    for (auto const* name : version_names) {
      if (m_random() % 2 == 0) {
        allowed.versions.push_back({name});
      }
    }
    change.upserts.emplace_back(catalogue::customer{.id = {"workroom"}, .allowances = {allowed}});
    m_document.apply(change);
  }

  void announce() {
    auto const number = m_random() % endpoint_count;
    endpoints::announcement announcement{
        .endpoint = {"engine-" + std::to_string(number)},
        .incarnation = 1 + m_random() % 2,
        .sequence = ++m_sequence,
        .address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(number + 1)},
        .versions = {},
        .slots = slots,
        .is_leaving = m_random() % 30 == 0};
    announcement.load.running = static_cast<std::uint32_t>(m_random() % slots);
    for (auto const* name : version_names) {
      announcement.versions.push_back({{"hatline"}, {name}});
    }
    endpoints::effects ignored;
    m_directory.announce(announcement, m_now, ignored);
  }

  void observe() {
    base::version_id const version{version_names.at(m_random() % version_names.size())};
    // In a hostile run a third of the outcomes of every version are bad, and the breakers may cut
    // off all versions.
    bool const is_good = m_random() % (m_is_hostile ? 3 : 50) != 0;
    auto const verdict =
        is_good ? attempt_verdict::answered : static_cast<attempt_verdict>(m_random() % 4);
    m_chooser.observe(rating{.model = {"hatline"},
                             .version = version,
                             .second = {},
                             .request_class = {"class-" + std::to_string(m_random() % 40)},
                             .good = is_good ? 1U : 0U,
                             .poor = is_good ? 0U : 1U},
                      m_now);
    m_chooser.observe(attempt_result{.model = {"hatline"},
                                     .version = version,
                                     .endpoint = {"engine-0"},
                                     .verdict = verdict,
                                     .generation = milliseconds(m_random() % 1000),
                                     .completion_tokens = 10},
                      m_now);
    effects evidence;
    m_chooser.tick(m_now, evidence);
  }

  void choose() {
    auto const* customer = m_document.find_customer({"workroom"});
    version_query query{.customer = customer,
                        .model = {"hatline"},
                        .version = {},
                        .quality_target = 0.7 + 0.05 * static_cast<double>(m_random() % 5),
                        .request_class = {"class-" + std::to_string(m_random() % 40)},
                        .can_escalate = m_has_judge};
    if (m_random() % 4 == 0) {
      query.version = base::version_id{version_names.at(m_random() % version_names.size())};
    }
    auto const chosen = m_chooser.choose(
        query, {.document = m_document, .has_lease = m_has_lease, .directory = m_directory}, m_now);
    if (!chosen) {
      return;
    }
    ++m_choices;
    check(*customer, chosen->version);
    if (!chosen->escalates_to.is_empty()) {
      check(*customer, chosen->escalates_to);
    }
    RC_ASSERT(!query.version || *query.version == chosen->version);
    RC_ASSERT(m_directory.can_receive_work(chosen->endpoint, m_now));
    m_directory.start_attempt(chosen->endpoint);
    m_running.push_back(chosen->endpoint);
    // A window never exceeds the slots by more than one, which is due to rounding.
    RC_ASSERT(m_directory.find(chosen->endpoint)->outstanding <= slots + 1);
    RC_ASSERT(m_chooser.known_arms() <= max_arms);
  }

  void check(catalogue::customer const& customer, base::version_id const& version) {
    auto const* known = m_document.find_version({"hatline"}, version);
    RC_ASSERT(known != nullptr);
    RC_ASSERT(known->standing != catalogue::standing::withdrawn);
    RC_ASSERT(known->standing != catalogue::standing::trial || m_has_lease);
    RC_ASSERT(catalogue::is_allowed(customer, {"hatline"}, version));
  }

  base::random_generator m_random;
  bool m_is_hostile = false;
  bool m_has_judge = false;
  chooser m_chooser;
  catalogue::document m_document;
  endpoints::directory m_directory{endpoints::directory::options{}};
  bool m_has_lease = true;
  base::monotonic_time m_now{seconds(1)};
  std::uint64_t m_sequence = 0;
  std::vector<base::endpoint_id> m_running;
  int m_choices = 0;
};

} // namespace

RC_GTEST_PROP(chooser, chooses_only_eligible_versions_and_keeps_state_bounded,
              (std::uint64_t seed)) {
  run run(seed);
  for (int i = 0; i < steps; ++i) {
    run.step();
  }
  RC_ASSERT(run.choices() > 0 || run.is_hostile());
}

} // namespace catkinlanding::routing
