#include <libraries/base/random.h>
#include <libraries/distribution/publisher.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>

/// One publisher and one subscriber, with messages between them that are lost or delayed.
namespace catkinlanding::distribution {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int steps = 400;
constexpr int heal_steps = 200;

class push_simulation {
public:
  explicit push_simulation(std::uint64_t seed) : m_random(seed) {}

  void step(bool is_fault_free) {
    m_now += milliseconds(20);
    if (!is_fault_free && m_random() % 3 == 0) {
      change_catalogue();
    }
    effects polls;
    m_subscriber.tick({}, m_now, polls);
    for (auto& poll : polls) {
      send(std::move(poll.message), is_fault_free);
    }
    deliver(is_fault_free);
  }

  void check_subscriber_is_current() const {
    RC_ASSERT(m_subscriber.document().revision() == m_document.revision());
  }

private:
  struct delivery {
    distribution::message message;
    base::monotonic_time due;
  };

  void change_catalogue() {
    catalogue::change change;
    change.base_revision = m_document.revision();
    change.upserts.emplace_back(catalogue::model{.id = {"m"}, .stewardship = {}});
    m_document.apply(change);
    m_changes.push_back(change);
    m_source.load_from_log(m_document, m_changes, m_now + seconds(1));
    effects pushes;
    m_publisher.push(m_source, m_now, pushes);
    for (auto& push : pushes) {
      for (auto const& pushed : std::get<update>(push.message).changes) {
        // Each change is pushed only once, however often the subscriber polls.
        RC_ASSERT(m_pushed.insert(pushed.base_revision).second);
      }
      send(std::move(push.message), false);
    }
  }

  void send(distribution::message message, bool is_fault_free) {
    if (is_fault_free || m_random() % 4 != 0) {
      auto const delay = milliseconds(is_fault_free ? 1 : m_random() % 300);
      m_in_flight.push_back({std::move(message), m_now + delay});
    }
  }

  void deliver(bool is_fault_free) {
    auto deliveries = std::exchange(m_in_flight, {});
    for (auto& delivery : deliveries) {
      if (m_now < delivery.due) {
        m_in_flight.push_back(std::move(delivery));
      } else if (auto const* poll = std::get_if<distribution::poll>(&delivery.message)) {
        effects answers;
        m_publisher.receive({"entry"}, *poll, m_source, m_now + seconds(2), m_now, answers);
        for (auto& answer : answers) {
          send(std::move(answer.message), is_fault_free);
        }
      } else {
        m_subscriber.receive({"leader"}, std::get<update>(delivery.message), m_now);
      }
    }
  }

  base::random_generator m_random;
  base::monotonic_time m_now{seconds(100)};
  catalogue::document m_document;
  std::deque<catalogue::change> m_changes;
  subscriber m_source{{}};
  publisher m_publisher{{.self = {"leader"}, .zone = {"a"}, .incarnation = 1, .members = {}}};
  subscriber m_subscriber{
      {.zone = {"a"}, .publishers = {{"leader"}}, .zone_peers = {}, .incarnation = 1}};
  std::vector<delivery> m_in_flight;
  std::set<catalogue::revision> m_pushed;
};

} // namespace

RC_GTEST_PROP(pushes, send_each_change_once_and_polls_recover_lost_ones, (std::uint64_t seed)) {
  push_simulation simulation(seed);
  for (int i = 0; i < steps; ++i) {
    simulation.step(false);
  }
  for (int i = 0; i < heal_steps; ++i) {
    simulation.step(true);
  }
  simulation.check_subscriber_is_current();
}

} // namespace catkinlanding::distribution
