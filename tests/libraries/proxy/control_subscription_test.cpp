#include <libraries/consensus/disk_identity.h>
#include <libraries/proxy/control.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{1h};

control make_control(bool is_founder) {
  control::options options;
  options.replica.self = {.instance = {"self"},
                          .disk_id = consensus::make_disk_id(2, true, {{"self"}})};
  if (!is_founder) {
    options.replica.peers = {{"leader"}};
  }
  if (is_founder) {
    options.replica.founders = {{"self"}};
  }
  return control::create(std::move(options), {}, start);
}

/// The subscriptions that the instance sends while it is ticked.
std::vector<outgoing> tick(control& ticked, base::monotonic_time now) {
  control_effects effects;
  ticked.tick(now, effects);
  std::erase_if(effects.messages, [](outgoing const& sent) {
    return !std::holds_alternative<subscription>(sent.message);
  });
  return effects.messages;
}

// Guards against a follower whose subscriptions look like those of a new process each time, so that
// the leader can't see that its updates are lost.
TEST(control_subscriptions, are_numbered_and_say_when_the_last_one_had_no_reply) {
  auto follower = make_control(false);
  std::uint64_t last_report = 0;
  bool was_lost = false;
  for (auto now = start; now < start + 2s; now += 20ms) {
    for (auto const& sent : tick(follower, now)) {
      auto const report = std::get<subscription>(sent.message).report;
      EXPECT_EQ(report, last_report + 1);
      EXPECT_EQ(sent.needs_new_connection, last_report > 0);
      last_report = report;
      was_lost = was_lost || sent.needs_new_connection;
    }
  }
  EXPECT_GT(last_report, 2U);
  EXPECT_TRUE(was_lost);
}

// Guards against a follower without the endpoints that were sent to it over a connection which
// delivers nothing; it may lead next.
TEST(control_subscriptions,
     of_a_follower_that_lacks_what_it_was_sent_get_it_over_another_connection) {
  auto leader = make_control(true);
  auto now = start;
  auto const run = [&](auto const& input) {
    control_effects effects;
    input(effects);
    while (!effects.log.writes.empty()) {
      auto const writes = std::exchange(effects.log.writes, {});
      for (auto const& write : writes) {
        leader.complete_write(write.id, now, effects);
      }
    }
    return effects.messages;
  };
  run([&](control_effects& out) { leader.tick(now, out); });
  endpoint_announcement const announced{
      .id = {"e"}, .service = {"s"}, .number = {.incarnation = 1, .sequence = 1}};
  run([&](control_effects& out) { leader.receive(1, announce_endpoint{announced}, now, out); });
  std::vector<bool> flags;
  for (std::uint64_t report = 1; report <= 3; ++report) {
    auto const replies = run([&](control_effects& out) {
      leader.receive({"follower"}, subscription{.report = report}, now, out);
    });
    ASSERT_EQ(replies.size(), 1U);
    auto const& reply = std::get<update>(replies.front().message);
    flags.push_back(replies.front().needs_new_connection);
    EXPECT_EQ(reply.endpoints.empty(), report == 2) << report;
    now += 400ms;
  }
  EXPECT_EQ(flags, (std::vector<bool>{false, false, true}));
}

} // namespace

} // namespace catkinlanding::proxy
