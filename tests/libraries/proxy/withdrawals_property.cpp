#include <tests/support/control_group.h>
#include <tests/support/random_actions.h>

#include <array>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

/// An endpoint that withdraws each of its starts by name and starts again under the same id, while
/// the control group is killed as a whole. Announcements and withdrawals of earlier starts arrive
/// late. Guards against later starts that get no work, and withdrawn ones that get some.
class withdrawals {
public:
  explicit withdrawals(std::uint64_t /*seed*/) : m_group({"a", "b", "c"}) {
    m_group.found(m_instances);
    m_group.run(8s);
  }

  void perform(random_action const& action) {
    using step = void (withdrawals::*)(std::uint8_t);
    constexpr std::array<step, 6> steps{
        &withdrawals::announce,      &withdrawals::withdraw_and_start_again,
        &withdrawals::announce_late, &withdrawals::withdraw_late,
        &withdrawals::kill_all,      &withdrawals::run};
    (this->*steps.at(action.kind % steps.size()))(action.parameter);
    m_group.run(action.steps % 8 * 20ms);
    auto const* record = m_group.node(m_group.leader()).registry().find(m_id);
    if (record != nullptr && record->state == proxy::endpoint_state::ready) {
      RC_ASSERT(record->announcement.number.incarnation == m_current);
    }
  }

  void heal() {
    announce(0);
    auto const* record = m_group.node(m_group.leader()).registry().find(m_id);
    RC_ASSERT(record != nullptr);
    RC_ASSERT(record->state == proxy::endpoint_state::ready);
    RC_ASSERT(record->announcement.number.incarnation == m_current);
  }

private:
  void announce(std::uint8_t /*parameter*/) { announce_start(m_current, ++m_sequence); }

  void withdraw_and_start_again(std::uint8_t /*parameter*/) {
    withdraw_start(m_current);
    ++m_current;
    m_sequence = 0;
  }

  void announce_late(std::uint8_t parameter) {
    if (m_current > 1) {
      announce_start(earlier_start(parameter), 1 + parameter);
    }
  }

  void withdraw_late(std::uint8_t parameter) {
    if (m_current > 1) {
      withdraw_start(earlier_start(parameter));
    }
  }

  void kill_all(std::uint8_t /*parameter*/) {
    for (auto const& instance : m_instances) {
      m_group.stop(instance);
    }
    for (auto const& instance : m_instances) {
      m_group.restart(instance);
    }
    while (m_group.leader().empty()) {
      m_group.run(20ms);
    }
  }

  void run(std::uint8_t parameter) { m_group.run(parameter % 16 * 20ms); }

  [[nodiscard]] std::uint64_t earlier_start(std::uint8_t parameter) const {
    return 1 + parameter % (m_current - 1);
  }

  void announce_start(std::uint64_t incarnation, std::uint64_t sequence) {
    call(proxy::announce_endpoint{{.id = m_id,
                                   .service = {"s"},
                                   .address = {.ip = "10.0.0.1", .port = 1000},
                                   .number = {.incarnation = incarnation, .sequence = sequence}}});
  }

  void withdraw_start(std::uint64_t incarnation) {
    call(proxy::withdraw_endpoint{.endpoint = m_id, .incarnation = incarnation});
  }

  void call(proxy::call_request const& request) {
    m_group.call(m_group.leader(), ++m_calls, request);
    m_group.run(200ms);
    RC_ASSERT(m_group.reply(m_calls).has_value());
    RC_ASSERT(m_group.reply(m_calls)->kind == proxy::reply_kind::done);
  }

  std::vector<std::string> const m_instances{"a", "b", "c"};
  base::endpoint_id const m_id{"e"};
  control_group m_group;
  std::uint64_t m_current = 1;
  std::uint64_t m_sequence = 0;
  proxy::call_number m_calls = 0;
};

RC_GTEST_PROP(withdrawals, cover_the_start_that_they_name_and_earlier_ones_only, ()) {
  run_random_actions<withdrawals>();
}

} // namespace

} // namespace catkinlanding::testing
