#include <tests/support/control_group.h>
#include <tests/support/random_actions.h>

#include <array>
#include <map>
#include <set>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

/// Endpoints that come and leave while control instances are lost, cut off and restarted. Guards
/// against an endpoint that is used again after control acknowledged that it leaves (DRAIN).
class leaving_endpoints {
public:
  explicit leaving_endpoints(std::uint64_t seed) : m_group({"a", "b", "c"}) {
    m_group.found(m_instances, seed % 1000 + 1);
    m_group.run(8s);
  }

  void perform(random_action const& action) {
    using step = void (leaving_endpoints::*)(std::uint8_t);
    constexpr std::array<step, 9> steps{
        &leaving_endpoints::announce,     &leaving_endpoints::leave,
        &leaving_endpoints::leave,        &leaving_endpoints::withdraw,
        &leaving_endpoints::deliver_late, &leaving_endpoints::lose_leader,
        &leaving_endpoints::cut_off,      &leaving_endpoints::kill_all,
        &leaving_endpoints::run};
    (this->*steps.at(action.kind % steps.size()))(action.parameter);
    m_group.run(action.steps % 8 * 20ms);
    check();
  }

  void heal() {
    recover();
    check();
    RC_ASSERT(!m_group.leader().empty());
  }

private:
  struct endpoint {
    std::uint64_t sequence = 0;
    bool is_leaving = false;
    bool is_withdrawn = false;
  };

  static constexpr std::size_t max_endpoints = 6;

  static base::endpoint_id name_of(std::size_t index) { return {"e" + std::to_string(index)}; }

  static proxy::announce_endpoint announcement(std::size_t index, std::uint64_t sequence,
                                               bool is_leaving) {
    return {{.id = name_of(index),
             .service = {"s"},
             .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(1000 + index)},
             .is_leaving = is_leaving,
             .number = {.incarnation = 1, .sequence = sequence}}};
  }

  /// Calls the leader, and returns whether it acknowledged within the time that a caller waits.
  bool call(proxy::call_request const& request) {
    auto const leader = m_group.leader();
    if (leader.empty()) {
      return false;
    }
    auto const number = ++m_calls;
    m_group.call(leader, number, request);
    for (int i = 0; i < 50 && !m_group.reply(number); ++i) {
      m_group.run(20ms);
    }
    return m_group.reply(number) && m_group.reply(number)->kind == proxy::reply_kind::done;
  }

  void announce(std::uint8_t parameter) {
    auto const index = parameter % max_endpoints;
    auto& one = m_endpoints[index];
    if (!one.is_leaving) {
      call(announcement(index, ++one.sequence, false));
    }
  }

  void leave(std::uint8_t parameter) {
    auto const index = parameter % max_endpoints;
    auto& one = m_endpoints[index];
    if (one.is_withdrawn) {
      return;
    }
    one.is_leaving = true;
    if (call(announcement(index, ++one.sequence, true))) {
      m_acknowledged.insert(name_of(index));
    }
  }

  void withdraw(std::uint8_t parameter) {
    auto const index = parameter % max_endpoints;
    auto& one = m_endpoints[index];
    one.is_leaving = true;
    one.is_withdrawn = true;
    if (call(proxy::withdraw_endpoint{name_of(index)})) {
      m_acknowledged.insert(name_of(index));
    }
  }

  /// An announcement from before the endpoint left arrives late.
  void deliver_late(std::uint8_t parameter) {
    auto const index = parameter % max_endpoints;
    auto const& one = m_endpoints[index];
    if (one.sequence > 0) {
      call(announcement(index, one.sequence - (one.is_leaving ? 1 : 0), false));
    }
  }

  void lose_leader(std::uint8_t /*parameter*/) {
    auto const leader = m_group.leader();
    if (leader.empty()) {
      return;
    }
    recover();
    m_group.stop(leader);
    m_lost = leader;
    run_until_led();
  }

  void cut_off(std::uint8_t /*parameter*/) {
    auto const leader = m_group.leader();
    if (leader.empty()) {
      return;
    }
    recover();
    m_group.isolate(leader);
    m_cut = leader;
    m_group.run(1s);
    run_until_led();
  }

  void kill_all(std::uint8_t /*parameter*/) {
    recover();
    for (auto const& instance : m_instances) {
      m_group.stop(instance);
    }
    for (auto const& instance : m_instances) {
      m_group.restart(instance);
    }
    run_until_led();
  }

  void run(std::uint8_t parameter) { m_group.run(parameter * 20ms); }

  void recover() {
    if (!m_lost.empty()) {
      m_group.restart(std::exchange(m_lost, {}));
    }
    if (!m_cut.empty()) {
      m_group.reconnect(std::exchange(m_cut, {}));
    }
    m_group.run(1s);
    run_until_led();
  }

  void run_until_led() {
    for (int i = 0; i < 200 && m_group.leader().empty(); ++i) {
      m_group.run(20ms);
    }
  }

  /// What the leader tells an entry instance that knows nothing.
  void check() {
    auto const leader = m_group.leader();
    if (leader.empty()) {
      return;
    }
    m_group.send("entry", leader, proxy::subscription{.is_entry = true});
    for (auto const& record : m_group.updates("entry").back().endpoints) {
      bool const may_be_used = record.state == proxy::endpoint_state::ready;
      RC_ASSERT(!may_be_used || !m_acknowledged.contains(record.announcement.id));
    }
  }

  std::vector<std::string> const m_instances{"a", "b", "c", "d", "e"};
  control_group m_group;
  std::map<std::size_t, endpoint> m_endpoints;
  std::set<base::endpoint_id> m_acknowledged;
  std::string m_lost;
  std::string m_cut;
  proxy::call_number m_calls = 0;
};

RC_GTEST_PROP(leaving_endpoints, are_never_ready_again_after_the_acknowledgement, ()) {
  run_random_actions<leaving_endpoints>();
}

} // namespace

} // namespace catkinlanding::testing
