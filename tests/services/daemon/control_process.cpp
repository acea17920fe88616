#include <tests/support/operator_calls.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <thread>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

class control_failures : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
  }

  /// Sends the same change repeatedly until its outcome is known.
  [[nodiscard]] catalogue::change_outcome apply(std::string const& id,
                                                catalogue::change const& change) const {
    std::optional<catalogue::change_outcome> outcome;
    EXPECT_TRUE(
        eventually([&] { return (outcome = try_apply(m_deployment, id, change)).has_value(); }));
    return outcome.value_or(catalogue::change_outcome{});
  }

  [[nodiscard]] std::optional<catalogue::revision> catalogue_revision(std::string const& id) const {
    auto const reply = send_command(m_deployment, id, operators::show_catalogue{});
    auto const* shown = reply ? std::get_if<operators::catalogue_reply>(&*reply) : nullptr;
    return shown != nullptr ? std::optional(shown->document.revision()) : std::nullopt;
  }

  [[nodiscard]] std::string leader() const {
    std::optional<std::string> found;
    EXPECT_TRUE(eventually([&] { return (found = leader_of(m_deployment, m_ids)).has_value(); }));
    return found.value_or("");
  }

  [[nodiscard]] std::string other_than(std::string const& id) const {
    return id == m_ids[0] ? m_ids[1] : m_ids[0];
  }

  /// Whether all three instances are voters with their current disks, as seen by one instance.
  [[nodiscard]] bool has_three_voters(std::string const& seen_by) const {
    auto const seen = m_deployment.status(seen_by);
    return seen.is_object() && seen.contains("voters") && seen["voters"].size() == 3 &&
           seen["learners"].empty();
  }

  std::vector<std::string> m_ids{"a1", "b1", "c1"};
  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "b1", .zone = "b", .is_control = true},
                           {.id = "c1", .zone = "c", .is_control = true}}};
};

TEST_F(control_failures, apply_a_change_once_when_the_leader_is_killed) {
  for (catalogue::revision round = 0; round < 5; ++round) {
    auto const killed = leader();
    auto const asked = other_than(killed);
    auto const change = model_change("killed-" + std::to_string(round), round);
    auto first =
        std::async(std::launch::async, [&] { return try_apply(m_deployment, asked, change); });
    std::this_thread::sleep_for(2ms * round);
    m_deployment.instance(killed).kill();
    auto const answered = first.get();
    auto const resent = apply(asked, change);
    EXPECT_EQ(resent.verdict, catalogue::change_verdict::accepted);
    EXPECT_EQ(resent.revision, round + 1);
    EXPECT_EQ(answered.value_or(resent), resent);
    m_deployment.start_instance(killed);
    EXPECT_EQ(apply(killed, change), resent);
  }
  EXPECT_EQ(catalogue_revision(leader()), 5);
}

TEST_F(control_failures, give_no_stale_answer_when_a_suspended_leader_resumes) {
  auto const suspended = leader();
  auto const other = other_than(suspended);
  ASSERT_EQ(apply(suspended, model_change("before", 0)).revision, 1);
  m_deployment.instance(suspended).send_signal(SIGSTOP);
  ASSERT_EQ(apply(other, model_change("during", 1)).revision, 2);
  // The command is queued at the suspended process, which handles it right after it resumes.
  auto shown = std::async(std::launch::async, [&] { return catalogue_revision(suspended); });
  std::this_thread::sleep_for(50ms);
  m_deployment.instance(suspended).send_signal(SIGCONT);
  EXPECT_EQ(shown.get().value_or(2), 2);
  catalogue::revision highest = 0;
  EXPECT_TRUE(eventually([&] {
    auto const seen = m_deployment.status(suspended).value("revision", catalogue::revision{0});
    EXPECT_GE(seen, highest);
    highest = std::max(highest, seen);
    return seen == 2;
  }));
}

TEST_F(control_failures, lose_nothing_when_a_voter_dies_after_another_lost_its_disk) {
  ASSERT_EQ(apply("a1", model_change("kept", 0)).revision, 1);
  auto const first_leader = leader();
  auto const lost = other_than(first_leader);
  m_deployment.instance(lost).kill();
  std::filesystem::remove_all(m_deployment.data_folder(lost));
  ASSERT_EQ(apply(first_leader, model_change("meanwhile", 1)).revision, 2);
  m_deployment.start_instance(lost);
  // The repair is complete when the new disk is a voter and the lost one is not.
  ASSERT_TRUE(eventually([&] {
    return has_three_voters(first_leader) &&
           m_deployment.status(lost).value("role", "") == "follower" && has_three_voters(lost);
  }));
  m_deployment.instance(first_leader).kill();
  auto const outcome = apply(lost, model_change("after", 2));
  EXPECT_EQ(outcome.verdict, catalogue::change_verdict::accepted);
  EXPECT_EQ(outcome.revision, 3);
  EXPECT_EQ(apply(lost, model_change("kept", 0)).revision, 1);
}

TEST_F(control_failures, remember_all_changes_when_every_instance_restarts) {
  constexpr catalogue::revision count = 500;
  for (catalogue::revision i = 0; i < count; ++i) {
    ASSERT_EQ(apply(m_ids[i % 3], model_change(std::to_string(i), i)).revision, i + 1);
  }
  for (auto const& id : m_ids) {
    m_deployment.instance(id).kill();
  }
  m_deployment.start_all_instances();
  EXPECT_TRUE(eventually([&] { return catalogue_revision("b1") == count; }));
  EXPECT_EQ(apply("c1", model_change("7", 7)).revision, 8);
  EXPECT_EQ(catalogue_revision("a1"), count);
}

TEST_F(control_failures, let_one_of_the_racing_operators_win) {
  for (catalogue::revision round = 0; round < 5; ++round) {
    std::vector<std::future<catalogue::change_outcome>> racing;
    for (auto const& id : m_ids) {
      auto const change = model_change(id + std::to_string(round), round);
      racing.push_back(std::async(std::launch::async, [=, this] { return apply(id, change); }));
    }
    int winners = 0;
    for (std::size_t i = 0; i < m_ids.size(); ++i) {
      auto const outcome = racing[i].get();
      winners += outcome.verdict == catalogue::change_verdict::accepted ? 1 : 0;
      auto const change = model_change(m_ids[i] + std::to_string(round), round);
      EXPECT_EQ(apply(m_ids[(i + 1) % 3], change), outcome);
    }
    EXPECT_EQ(winners, 1);
  }
  EXPECT_EQ(catalogue_revision("a1"), 5);
}

TEST_F(control_failures, hand_over_when_the_leader_stops) {
  // Shorter than the minimum election timeout, so only an active leadership transfer can meet it.
  constexpr auto max_gap = 700ms;
  auto const stopped = leader();
  auto const other = other_than(stopped);
  ASSERT_EQ(apply(other, model_change("before", 0)).revision, 1);
  auto const start = std::chrono::steady_clock::now();
  m_deployment.instance(stopped).send_signal(SIGTERM);
  ASSERT_TRUE(eventually([&] {
    return std::ranges::any_of(m_ids, [&](auto const& id) {
      return id != stopped && m_deployment.status(id).value("role", "") == "leader";
    });
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - start, max_gap);
  EXPECT_EQ(m_deployment.instance(stopped).wait(), 0);
  EXPECT_EQ(apply(other, model_change("after", 1)).revision, 2);
}

TEST_F(control_failures, refuse_an_older_copy_of_a_data_folder) {
  ASSERT_EQ(apply("a1", model_change("copied", 0)).revision, 1);
  auto const restored = other_than(leader());
  auto const folder = m_deployment.data_folder(restored);
  auto const copy = m_deployment.folder() / "copy";
  m_deployment.instance(restored).kill();
  std::filesystem::copy(folder, copy, std::filesystem::copy_options::recursive);
  m_deployment.start_instance(restored);
  ASSERT_EQ(apply(restored, model_change("after the copy", 1)).revision, 2);
  m_deployment.instance(restored).kill();
  std::filesystem::remove_all(folder);
  std::filesystem::copy(copy, folder, std::filesystem::copy_options::recursive);
  m_deployment.start_instance(restored);
  EXPECT_EQ(m_deployment.instance(restored).wait(), 4);
  std::filesystem::remove_all(folder);
  m_deployment.start_instance(restored);
  EXPECT_TRUE(eventually([&] { return has_three_voters(restored); }));
  EXPECT_EQ(apply(restored, model_change("after the copy", 1)).revision, 2);
}

TEST_F(control_failures, refuse_a_damaged_log_and_join_again_without_it) {
  ASSERT_EQ(apply("a1", model_change("kept", 0)).revision, 1);
  auto const damaged = other_than(leader());
  m_deployment.instance(damaged).kill();
  auto const log = m_deployment.data_folder(damaged) / "log";
  {
    std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(60);
    file.put('\x7f');
  }
  m_deployment.start_instance(damaged);
  EXPECT_EQ(m_deployment.instance(damaged).wait(), 4);
  // The documented repair: move the data folder away and restart the instance.
  std::filesystem::rename(m_deployment.data_folder(damaged),
                          m_deployment.folder() / "damaged.data");
  m_deployment.start_instance(damaged);
  EXPECT_TRUE(eventually([&] { return has_three_voters(damaged); }));
  EXPECT_EQ(apply(damaged, model_change("after", 1)).revision, 2);
}

} // namespace

} // namespace catkinlanding::testing
