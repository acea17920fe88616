#include <libraries/catalogue/replicated_catalogue.h>
#include <libraries/rollouts/controller.h>
#include <libraries/rollouts/exchange.h>
#include <tests/support/random_actions.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

/// Simulates rollouts over several control and entry instances. The log is modelled as a set of
/// proposals, each of which may be committed late, in any order, or never.
namespace catkinlanding::rollouts {

namespace {

using catalogue::rollout_reason;
using catalogue::rollout_state;
using std::chrono::milliseconds;

constexpr base::duration tick = milliseconds(100);
constexpr std::size_t control_count = 3;
constexpr std::size_t instance_count = 8;
constexpr std::uint32_t least_answers = 30;
constexpr milliseconds least_duration{1000};
constexpr int healing_ticks = 6000;
version_key const first_key{{"m"}, {"2"}};
version_key const second_key{{"n"}, {"2"}};

using action = testing::random_action;

struct instance {
  base::instance_id id;
  std::uint64_t incarnation = 0;
  bool is_running = true;
  /// The newest document that the instance has.
  std::size_t view = 0;
  /// The control instance that an entry instance reports to.
  std::size_t control = 0;
  tallies seen;
  std::optional<rollouts::exchange> exchange;
  std::optional<controller> rollout_controller;
};

struct proposal {
  catalogue::change change;
  base::duration made_at{};
};

struct envelope {
  std::size_t from = 0;
  std::size_t to = 0;
  rollouts::message message;
  base::duration due{};
};

/// State of one rollout according to the changes committed so far.
struct committed_state {
  std::string id;
  rollout_state state = rollout_state::running;
  base::duration step_proposed_at{};
};

class deployment {
public:
  explicit deployment(std::uint64_t seed) : m_random(seed) {
    m_is_bad_from_start = pick(4) == 0;
    m_bad_percent = m_is_bad_from_start ? 60 : 0;
    catalogue::change first;
    first.id = {"first"};
    for (auto const& key : {first_key, second_key}) {
      first.upserts.emplace_back(catalogue::model{.id = key.first, .stewardship = {}});
      first.upserts.emplace_back(catalogue::version{.model = key.first, .id = {"1"}});
      first.upserts.emplace_back(catalogue::version{.model = key.first,
                                                    .id = key.second,
                                                    .standing = catalogue::standing::trial,
                                                    .exposure_permille = 0});
    }
    RC_ASSERT(m_catalogue.apply(first).verdict == catalogue::change_verdict::accepted);
    m_documents.push_back(m_catalogue.document());
    for (std::size_t i = 0; i < instance_count; ++i) {
      instance fresh;
      fresh.id = {std::to_string(i)};
      m_instances.push_back(std::move(fresh));
      restart(m_instances.back());
    }
  }

  void perform(action const& action) {
    auto const key = action.parameter % 2 == 0 ? first_key : second_key;
    auto& instance = m_instances[action.parameter % instance_count];
    switch (action.kind % 12) {
    case 0:
    case 1:
    case 2:
      start(key);
      break;
    case 3:
      change_state(key, rollout_state::paused);
      break;
    case 4:
      change_state(key, rollout_state::running);
      break;
    case 5:
      change_state(key, action.parameter % 8 < 6 ? rollout_state::running : rollout_state::aborted);
      break;
    case 6:
      restart(instance);
      break;
    case 7:
      remove_leader();
      break;
    case 8:
      std::ranges::for_each(m_instances, [this](auto& each) { restart(each); });
      m_leader.reset();
      break;
    case 9:
      m_loss_percent = action.parameter % 50;
      break;
    case 10:
      if (action.parameter % 5 == 0) {
        write_exposure(key);
      }
      break;
    default:
      instance.control = pick(control_count);
      if (action.parameter % 16 == 0) {
        m_bad_percent = 60;
      }
      break;
    }
    for (int i = 0; i < action.steps % 64; ++i) {
      advance();
    }
  }

  void heal() {
    m_is_fault_free = true;
    m_loss_percent = 0;
    auto const is_settled = [this] {
      return std::ranges::none_of(document().rollouts(), [](auto const& item) {
        return item.second.state == rollout_state::running;
      });
    };
    for (int i = 0; i < healing_ticks && !is_settled(); ++i) {
      advance();
    }
    RC_ASSERT(is_settled());
    RC_CLASSIFY(m_steps > 0, "stepped");
    RC_CLASSIFY(m_ended > 0, "done");
    RC_CLASSIFY(m_aborted > 0, "cut");
  }

private:
  std::uint64_t pick(std::uint64_t below) { return m_random() % below; }
  [[nodiscard]] catalogue::document const& document() const { return m_documents.back(); }

  void restart(instance& instance) {
    ++instance.incarnation;
    instance.seen.clear();
    instance.rollout_controller.reset();
    auto const index = static_cast<std::size_t>(std::stoul(instance.id.value));
    instance.exchange.emplace(exchange::options{.self = instance.id,
                                                .incarnation = instance.incarnation,
                                                .is_control = index < control_count});
    if (m_leader == index) {
      m_leader.reset();
    }
  }

  void remove_leader() {
    if (m_leader) {
      m_instances[*m_leader].rollout_controller.reset();
      m_leader.reset();
    }
  }

  // Actions of operators.

  void propose(catalogue::change change) {
    change.author = "operator";
    change.id = {"operator/" + std::to_string(++m_changes)};
    m_proposals.push_back({std::move(change), m_now});
  }

  void start(version_key const& key) {
    catalogue::rollout plan;
    plan.model = key.first;
    plan.id = std::to_string(++m_changes);
    plan.version = key.second;
    plan.old_version = base::version_id{"1"};
    plan.steps = {{50, least_duration}, {300, least_duration}, {1000, least_duration}};
    plan.bounds.least_answers = least_answers;
    plan.withdraws_on_abort = pick(2) == 0;
    propose(make_rollout_change(document(), plan));
  }

  void change_state(version_key const& key, rollout_state state) {
    if (auto const* found = document().find_rollout(key.first); found != nullptr) {
      auto after = *found;
      after.state = state;
      after.reason = rollout_reason::operator_request;
      propose(make_rollout_change(document(), after));
    }
  }

  void write_exposure(version_key const& key) {
    auto version = *document().find_version(key.first, key.second);
    version.exposure_permille = static_cast<std::uint32_t>(pick(1001));
    catalogue::change change;
    change.base_revision = document().revision();
    change.upserts.emplace_back(version);
    propose(change);
  }

  void advance() {
    m_now += tick;
    deliver();
    if (!m_leader && pick(4) == 0) {
      m_leader = pick(control_count);
      m_instances[*m_leader].rollout_controller.emplace(controller::options{}, base::duration{},
                                                        now());
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      run(i);
    }
    commit();
  }

  [[nodiscard]] base::monotonic_time now() const { return base::monotonic_time(m_now); }

  void run(std::size_t index) {
    auto& instance = m_instances[index];
    if (pick(3) != 0) {
      instance.view = m_documents.size() - 1;
    }
    auto const& known = m_documents[instance.view];
    for (auto const& key : {first_key, second_key}) {
      answer(instance, key, known.find_version(key.first, key.second)->exposure_permille);
    }
    bool const is_control = index < control_count;
    exchange::receivers const receivers{
        .control = m_instances[is_control ? index : instance.control].id,
        .leader = m_leader ? m_instances[*m_leader].id : base::instance_id{}};
    effects out;
    instance.exchange->tick(watched_versions(known), instance.seen, receivers, now(), out);
    for (auto const& outgoing : out) {
      send(index, outgoing);
    }
    for (auto const& [key, total] : instance.exchange->evidence().totals()) {
      RC_ASSERT(total.answers <= m_true_answers[key]);
    }
    if (instance.rollout_controller) {
      if (auto change =
              instance.rollout_controller->propose(known, instance.exchange->evidence(), now())) {
        m_proposals.push_back({std::move(*change), m_now});
        // The leader may crash between its decision and the append to the log.
        if (!m_is_fault_free && pick(4) == 0) {
          restart(instance);
        }
      }
    }
  }

  void answer(instance& instance, version_key const& key, std::uint32_t exposure) {
    version_key const old{key.first, {"1"}};
    ++instance.seen[old].answers;
    ++m_true_answers[old];
    if (pick(1000) < exposure) {
      auto& tally = instance.seen[key];
      ++tally.answers;
      tally.bad += pick(100) < m_bad_percent ? 1 : 0;
      ++m_true_answers[key];
    }
  }

  void send(std::size_t from, outgoing const& outgoing) {
    auto const to = static_cast<std::size_t>(std::stoul(outgoing.to.value));
    int const copies = pick(100) < m_loss_percent ? 0 : pick(5) == 0 ? 3 : 1;
    for (int i = 0; i < copies; ++i) {
      auto const delay = m_is_fault_free ? tick : milliseconds(pick(10) == 0 ? pick(8000) : 1);
      m_in_flight.push_back({from, to, outgoing.message, m_now + delay});
    }
  }

  void deliver() {
    std::ranges::shuffle(m_in_flight, m_random);
    for (auto& envelope : std::exchange(m_in_flight, {})) {
      if (m_now < envelope.due) {
        m_in_flight.push_back(std::move(envelope));
        continue;
      }
      m_instances[envelope.to].exchange->receive(m_instances[envelope.from].id, envelope.message,
                                                 now());
    }
  }

  void commit() {
    std::ranges::shuffle(m_proposals, m_random);
    for (auto& proposal : std::exchange(m_proposals, {})) {
      auto const outcome = m_is_fault_free ? 0 : pick(10);
      if (outcome < 5) {
        apply(proposal);
      } else if (outcome < 9) {
        m_proposals.push_back(std::move(proposal));
      }
    }
  }

  void apply(proposal const& proposal) {
    auto const before = m_catalogue.document();
    if (m_catalogue.apply(proposal.change).verdict != catalogue::change_verdict::accepted) {
      return;
    }
    m_documents.push_back(m_catalogue.document());
    for (auto const& key : {first_key, second_key}) {
      check(key, before, proposal);
    }
    if (!m_is_fault_free && pick(3) == 0) {
      // The leader may crash right after any change.
      remove_leader();
    }
  }

  void check(version_key const& key, catalogue::document const& before, proposal const& proposal) {
    auto const* rollout = document().find_rollout(key.first);
    auto const* old = before.find_rollout(key.first);
    if (rollout == nullptr || (old != nullptr && *old == *rollout)) {
      return;
    }
    auto& committed_state = m_committed[key];
    bool const is_same = committed_state.id == rollout->id;
    RC_ASSERT(!is_same || committed_state.state == rollout_state::running ||
              committed_state.state == rollout_state::paused);
    bool const is_step = is_same && rollout->steps_taken > old->steps_taken;
    bool const is_end = rollout->state == rollout_state::done;
    auto const exposure = document().find_version(key.first, key.second)->exposure_permille;
    auto const exposure_before = before.find_version(key.first, key.second)->exposure_permille;
    if (proposal.change.author == "control") {
      RC_ASSERT(exposure <= exposure_before || is_step);
      RC_ASSERT(exposure <= exposure_of(*rollout) || rollout->reason == rollout_reason::overridden);
    }
    if (is_step) {
      RC_ASSERT(rollout->steps_taken == old->steps_taken + 1);
      RC_ASSERT(old->state == rollout_state::running);
      ++m_steps;
    }
    if ((is_step && rollout->steps_taken > 1) || is_end) {
      RC_ASSERT(proposal.made_at >= committed_state.step_proposed_at + least_duration);
      // Each step needs answers of its own: none counts twice, and none that was never given.
      m_evidence_needed[key] += least_answers;
      RC_ASSERT(m_evidence_needed[key] <= m_true_answers[key]);
      RC_ASSERT(!m_is_bad_from_start);
    }
    m_ended += is_end ? 1 : 0;
    m_aborted += rollout->reason == rollout_reason::turned_worse ? 1 : 0;
    committed_state.id = rollout->id;
    committed_state.state = rollout->state;
    committed_state.step_proposed_at =
        is_step ? proposal.made_at : committed_state.step_proposed_at;
  }

  std::mt19937_64 m_random;
  base::duration m_now = std::chrono::hours(1);
  catalogue::replicated_catalogue m_catalogue;
  std::vector<catalogue::document> m_documents;
  std::vector<instance> m_instances;
  std::vector<envelope> m_in_flight;
  std::vector<proposal> m_proposals;
  std::optional<std::size_t> m_leader;
  std::map<version_key, committed_state> m_committed;
  std::map<version_key, std::uint64_t> m_true_answers;
  std::map<version_key, std::uint64_t> m_evidence_needed;
  std::uint64_t m_changes = 0;
  std::uint64_t m_loss_percent = 0;
  std::uint64_t m_bad_percent = 0;
  int m_steps = 0;
  int m_ended = 0;
  int m_aborted = 0;
  bool m_is_bad_from_start = false;
  bool m_is_fault_free = false;
};

RC_GTEST_PROP(rollouts, step_only_on_new_evidence_and_never_after_an_abort, ()) {
  testing::run_random_actions<deployment>();
}

} // namespace

} // namespace catkinlanding::rollouts
