#include <libraries/instance/control.h>

#include <gtest/gtest.h>

namespace catkinlanding::instance {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{1h};

std::vector<base::instance_id> named(std::vector<std::string> const& names) {
  std::vector<base::instance_id> instances;
  instances.reserve(names.size());
  for (auto const& name : names) {
    instances.push_back({name});
  }
  return instances;
}

/// A control instance that has founded a group which is to have three voters.
class voter_orders : public ::testing::Test {
protected:
  voter_orders()
      : m_publisher({.self = {"a"}, .zone = {"here"}}),
        m_control(
            control::create({.replica = {.self = {.instance = {"a"}, .disk_id = 1}}}, {}, start)) {
    std::ignore = order(operators::found_deployment{named({"a", "b", "c"})});
  }

  /// The reply to an operator's order.
  operators::reply order(operators::request const& request) {
    control_effects out;
    operators::forwarded_request const sent{
        .origin = {"a"}, .number = ++m_orders, .request = request};
    m_control.receive(sent, m_publisher, start, out);
    for (auto const& write : std::exchange(out.log.writes, {})) {
      m_control.complete_write(write.id, start, out);
    }
    auto const& message = out.operator_messages.back().message;
    return std::get<operators::forwarded_reply>(message).reply;
  }

  [[nodiscard]] bool is_done(std::vector<std::string> const& voters) {
    return std::holds_alternative<operators::done_reply>(
        order(operators::set_voters{named(voters)}));
  }

  distribution::publisher m_publisher;
  control m_control;
  std::uint64_t m_orders = 0;
};

// Guards against an order that leaves out voters, or names one twice, after which a change stands
// on one disk and is gone with it.
TEST_F(voter_orders, are_refused_if_no_disk_could_be_lost_any_more) {
  EXPECT_FALSE(is_done({}));
  EXPECT_FALSE(is_done({"a"}));
  EXPECT_FALSE(is_done({"a", "b"}));
  EXPECT_FALSE(is_done({"a", "a", "b"}));
  EXPECT_TRUE(is_done({"a", "b", "d"}));
}

} // namespace

} // namespace catkinlanding::instance
