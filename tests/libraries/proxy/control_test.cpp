#include <libraries/proxy/control.h>
#include <tests/support/control_group.h>

#include <gtest/gtest.h>

#include <set>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

replace_document document(std::uint64_t revision, std::string source) {
  replace_document made;
  made.document.revision = revision;
  made.source = std::move(source);
  return made;
}

/// A group of three voters.
control_group founded_group() {
  control_group made({"a", "b", "c"});
  made.found({"a", "b", "c"});
  made.run(5s);
  return made;
}

TEST(control_groups, are_founded_by_one_seed_and_joined_by_the_others) {
  auto group = founded_group();
  EXPECT_EQ(group.leader(), "a");
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 2, 3}));
}

TEST(control_groups, may_have_one_member) {
  control_group group({"a"});
  group.start("a", 1, true);
  group.run(2s);
  EXPECT_EQ(group.leader(), "a");
}

TEST(control_groups, do_not_form_before_the_founding_seed_starts) {
  control_group group({"a", "b", "c"});
  group.start("b", 2);
  group.start("c", 3);
  group.run(5s);
  EXPECT_EQ(group.leader(), "");
  group.start("a", 1, true);
  group.run(5s);
  EXPECT_EQ(group.voter_disks().size(), 3U);
}

TEST(control_groups, keep_the_document_with_the_highest_revision) {
  auto group = founded_group();
  group.call("a", 1, document(7, "seven"));
  group.call("a", 2, document(5, "five"));
  group.call("a", 3, document(7, "another seven"));
  for (call_number number = 1; number <= 3; ++number) {
    ASSERT_TRUE(group.reply(number).has_value());
    EXPECT_EQ(group.reply(number)->kind, reply_kind::done);
  }
  group.call("a", 4, read_document{});
  EXPECT_EQ(*group.reply(4)->source, "seven");
}

TEST(control_groups, redirect_calls_to_the_leader) {
  auto group = founded_group();
  group.call("b", 1, read_document{});
  ASSERT_TRUE(group.reply(1).has_value());
  EXPECT_EQ(group.reply(1)->kind, reply_kind::not_leader);
  EXPECT_EQ(group.reply(1)->leader, base::instance_id{"a"});
}

TEST(control_groups, do_not_confirm_changes_without_a_quorum) {
  auto group = founded_group();
  group.stop("b");
  group.stop("c");
  group.call("a", 1, document(7, "seven"));
  group.run(3s);
  ASSERT_TRUE(group.reply(1).has_value());
  EXPECT_EQ(group.reply(1)->kind, reply_kind::unavailable);
  group.call("a", 2, read_document{});
  EXPECT_NE(group.reply(2)->kind, reply_kind::found);
}

TEST(control_groups, preserve_acknowledged_documents_across_a_leader_change) {
  auto group = founded_group();
  group.call("a", 1, document(7, "seven"));
  group.stop("a");
  group.run(5s);
  ASSERT_NE(group.leader(), "");
  group.call(group.leader(), 2, read_document{});
  EXPECT_EQ(*group.reply(2)->source, "seven");
}

// An instance restarts with an empty disk while an instance outside its seeds leads. Its join
// request must still reach the leader.
TEST(control_groups, readmit_an_instance_whose_seeds_do_not_include_the_leader) {
  control_group group({"a", "b", "c"});
  group.found({"a", "b", "c", "d"});
  group.run(6s);
  ASSERT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 2, 3, 4}));
  for (std::uint64_t i = 0; group.leader() != "d" && i < 20; ++i) {
    auto const leader = group.leader();
    ASSERT_NE(leader, "");
    control_effects effects;
    group.stop(leader);
    group.run(3s);
    group.start(leader, 10U + i);
    group.run(10s);
  }
  ASSERT_EQ(group.leader(), "d");
  group.stop("b");
  group.run(1s);
  group.start("b", 99);
  group.run(8s);
  EXPECT_TRUE(group.voter_disks().contains(99));
  EXPECT_EQ(group.voter_disks().size(), 4U);
}

TEST(control_groups, replace_a_voter_that_stays_silent) {
  auto group = founded_group();
  group.stop("b");
  group.run(6s);
  group.start("e", 5);
  group.run(12s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 3, 5}));
}

TEST(control_groups, send_entry_instances_only_missing_state) {
  auto group = founded_group();
  group.call("a", 1, document(7, "seven"));
  group.send("entry", "a", subscription{.is_entry = true});
  ASSERT_FALSE(group.updates("entry").empty());
  auto const first = group.updates("entry").back();
  ASSERT_TRUE(first.document.has_value());
  EXPECT_EQ(first.document->revision, 7U);
  // State that the entry instance has is not sent again, and new state is pushed.
  group.send("entry", "a", subscription{.known = first.state, .is_entry = true});
  EXPECT_FALSE(group.updates("entry").back().document.has_value());
  group.call("a", 2, document(9, "nine"));
  ASSERT_TRUE(group.updates("entry").back().document.has_value());
  EXPECT_EQ(group.updates("entry").back().document->revision, 9U);
}

TEST(control_groups, push_the_state_of_a_leaving_endpoint) {
  auto group = founded_group();
  endpoint_announcement announcement{
      .id = {"e"}, .service = {"s"}, .number = {.incarnation = 1, .sequence = 1}};
  group.call("a", 1, announce_endpoint{announcement});
  group.send("entry", "a", subscription{.is_entry = true});
  announcement.is_leaving = true;
  announcement.number.sequence = 2;
  group.call("a", 2, announce_endpoint{announcement});
  auto const& last = group.updates("entry").back();
  ASSERT_FALSE(last.endpoints.empty());
  EXPECT_EQ(last.endpoints.back().state, endpoint_state::leaving);
}

TEST(control_groups, treat_a_resent_rollout_request_as_a_duplicate) {
  auto group = founded_group();
  start_rollout const order{.service = {"s"}, .target = {"v2"}, .duration = 4s};
  group.call("a", 1, order);
  group.call("a", 2, order);
  EXPECT_EQ(group.reply(2)->kind, reply_kind::done);
  EXPECT_EQ(group.node("a").state().find_rollout({"s"})->number, 1U);
  group.call("a", 3, start_rollout{.service = {"s"}, .target = {"v3"}, .duration = 4s});
  EXPECT_EQ(group.reply(3)->kind, reply_kind::conflict);
  version_tally sound{.service = {"s"},
                      .version = {"v2"},
                      .rollout = 1,
                      .route = "r",
                      .statistics = {.answers = 20}};
  group.run(2800ms);
  group.send("entry", "a", subscription{.is_entry = true, .tallies = {sound}});
  group.run(900ms);
  group.call("a", 6, read_rollout{{"s"}});
  ASSERT_TRUE(group.reply(6)->rollout.has_value());
  EXPECT_EQ(group.reply(6)->rollout->state, rollout_state::promoted);
  sound.statistics.answers = 40;
  group.send("entry", "a", subscription{.is_entry = true, .tallies = {sound}});
  group.run(1s);
  group.call("a", 4, read_rollout{{"s"}});
  ASSERT_TRUE(group.reply(4)->rollout.has_value());
  EXPECT_EQ(group.reply(4)->rollout->state, rollout_state::succeeded);
  // The first request may still be sent again, though its rollout has ended.
  group.call("a", 5, order);
  EXPECT_EQ(group.reply(5)->kind, reply_kind::done);
  EXPECT_EQ(group.node("a").state().find_rollout({"s"})->number, 1U);
  group.run(1s);
  group.call("a", 7, order);
  EXPECT_EQ(group.reply(7)->kind, reply_kind::done);
  EXPECT_EQ(group.node("a").state().find_rollout({"s"})->number, 2U);
}

// Guards against a version that was rolled back and comes back with the next rollout.
TEST(control_groups, remember_rejected_versions_in_later_rollouts) {
  auto group = founded_group();
  auto const start_and_fail = [&](call_number number, std::string const& version) {
    group.call("a", number, start_rollout{.service = {"s"}, .target = {version}, .duration = 10s});
    group.run(6s);
    version_tally const failing{.service = {"s"},
                                .version = {version},
                                .rollout = group.node("a").state().find_rollout({"s"})->number,
                                .route = "r",
                                .statistics = {.answers = 20, .bad = 10}};
    group.send("entry", "a", subscription{.is_entry = true, .tallies = {failing}});
    group.run(100ms);
    EXPECT_EQ(group.node("a").state().find_rollout({"s"})->state, rollout_state::rolled_back);
  };
  start_and_fail(1, "v2");
  start_and_fail(2, "v3");
  group.call("a", 3, start_rollout{.service = {"s"}, .target = {"v2"}, .duration = 10s});
  auto const* latest = group.node("a").state().find_rollout({"s"});
  EXPECT_FALSE(latest->has_rejected({"v2"}));
  EXPECT_TRUE(latest->has_rejected({"v3"}));
  auto const restored = replicated_state::from_snapshot(group.node("a").state().snapshot());
  ASSERT_TRUE(restored.has_value());
  EXPECT_EQ(*restored->find_rollout({"s"}), *latest);
}

// Guards against instances that each use the whole rate of an endpoint (LIMIT).
TEST(control_groups, divide_the_rate_of_an_endpoint_among_the_entry_instances) {
  auto group = founded_group();
  group.run(3s);
  subscription told{.is_entry = true};
  told.rate_notices = {{.source = {{"e"}, 1}, .rate = 4.0}};
  group.send("first", "a", told);
  group.send("second", "a", told);
  group.send("third", "a", subscription{.is_entry = true});
  auto const share_of = [&](std::string const& id) {
    auto const& grants = group.updates(id).back().rate_grants;
    return grants.empty() ? -1.0 : grants.front().share;
  };
  group.send("first", "a", told);
  EXPECT_DOUBLE_EQ(share_of("first"), 2.0);
  EXPECT_DOUBLE_EQ(share_of("second"), 2.0);
  EXPECT_DOUBLE_EQ(share_of("third"), 0.0);
  // The second one is lost; its share goes back to the first.
  for (int i = 0; i < 5; ++i) {
    group.run(1s);
    group.send("first", "a", told);
  }
  EXPECT_DOUBLE_EQ(share_of("first"), 4.0);
}

// Guards against evidence against a prompt part that stays with the instance that saw it (BUDGET).
TEST(control_groups, pass_evidence_against_prompt_parts_on_to_all_entry_instances) {
  auto group = founded_group();
  auto const evidence = [](std::uint64_t ending) {
    return subscription{.is_entry = true,
                        .evidence = {{.trait = {trait_kind::prompt_part, "bad"},
                                      .endings = {ending},
                                      .requests = {ending}}}};
  };
  group.send("first", "a", evidence(1));
  group.send("second", "a", evidence(2));
  group.send("third", "a", subscription{.is_entry = true});
  auto const& received = group.updates("third").back().evidence;
  ASSERT_EQ(received.size(), 1U);
  EXPECT_EQ(received.front().endings, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(received.front().requests, (std::vector<std::uint64_t>{1, 2}));
}

// A restarted entry instance has lost the document that was sent to it just before the restart. It
// must not wait for the push interval to receive the document again.
TEST(control_groups, resend_the_document_at_once_to_a_restarted_instance) {
  auto group = founded_group();
  group.call("a", 1, document(7, "seven"));
  group.send("entry", "a", subscription{.known = {.document_revision = 6}, .is_entry = true});
  group.send("entry", "a", subscription{.is_entry = true});
  auto const& updates = group.updates("entry");
  ASSERT_EQ(updates.size(), 2U);
  EXPECT_TRUE(updates.front().document.has_value());
  EXPECT_TRUE(updates.back().document.has_value());
}

// An entry instance that restarts in an isolated zone can reach only a control instance that has
// lost the leader, and must receive that instance's last known state.
TEST(control_groups, send_their_last_known_state_to_a_starting_entry_instance_without_a_leader) {
  auto group = founded_group();
  group.call("a", 1, document(7, "seven"));
  group.run(1s);
  group.send("entry", "b", subscription{.is_entry = true});
  EXPECT_TRUE(group.last_known("entry").empty());
  group.stop("a");
  group.stop("c");
  group.run(2s);
  group.send("entry", "b", subscription{.known = {.document_revision = 6}, .is_entry = true});
  EXPECT_TRUE(group.last_known("entry").empty());
  group.send("entry", "b", subscription{.is_entry = true});
  ASSERT_EQ(group.last_known("entry").size(), 1U);
  EXPECT_EQ(group.last_known("entry").front().document.revision, 7U);
}

// After a loss of all control instances no entry instance has a document until there is a leader,
// so the election must be fast.
TEST(control_groups, elect_a_leader_soon_after_the_previous_one_is_lost) {
  auto group = founded_group();
  group.stop("a");
  group.run(900ms);
  EXPECT_NE(group.leader(), "");
}

} // namespace

} // namespace catkinlanding::proxy
