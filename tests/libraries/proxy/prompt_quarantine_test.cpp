#include <libraries/proxy/prompt_quarantine.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

std::vector<prompt_part> prompt_of(std::vector<std::string> const& ids) {
  std::vector<prompt_part> prompt;
  prompt.reserve(ids.size());
  for (auto const& id : ids) {
    prompt.push_back({.id = id, .tokens = 100});
  }
  return prompt;
}

class prompt_quarantines : public ::testing::Test {
protected:
  /// The endpoint process with this number ends under a request with this prompt.
  void end(prompt_quarantine& quarantine, std::uint64_t process,
           std::vector<std::string> const& ids) const {
    quarantine.note_ending(prompt_of(ids), {.endpoint = {"e"}, .incarnation = process}, m_now);
  }

  [[nodiscard]] bool is_quarantined(prompt_quarantine const& quarantine,
                                    std::vector<std::string> const& ids) const {
    return quarantine.find_quarantined(prompt_of(ids), m_now).has_value();
  }

  prompt_quarantine m_quarantine{{}};
  base::monotonic_time m_now{1h};
};

TEST_F(prompt_quarantines, refuse_a_part_after_three_endings_under_two_requests) {
  end(m_quarantine, 1, {"bad", "x"});
  end(m_quarantine, 2, {"bad", "x"});
  end(m_quarantine, 3, {"bad", "x"});
  EXPECT_FALSE(is_quarantined(m_quarantine, {"bad", "z"}));
  end(m_quarantine, 3, {"bad", "y"});
  EXPECT_TRUE(is_quarantined(m_quarantine, {"bad", "z"}));
  EXPECT_FALSE(is_quarantined(m_quarantine, {"other", "z"}));
}

TEST_F(prompt_quarantines, accuse_no_part_that_belongs_to_one_request) {
  for (std::uint64_t process = 1; process <= 5; ++process) {
    end(m_quarantine, process, {"own"});
  }
  EXPECT_FALSE(is_quarantined(m_quarantine, {"own"}));
}

TEST_F(prompt_quarantines, count_an_endpoint_process_once) {
  for (std::string const own : {"x", "y", "z"}) {
    end(m_quarantine, 7, {"p", own});
  }
  EXPECT_FALSE(is_quarantined(m_quarantine, {"p", "w"}));
}

// Guards against sound requests that are refused for a part which was in requests that ended along
// with others (LOST).
TEST_F(prompt_quarantines, acquit_a_part_that_a_request_completed_with) {
  m_quarantine.note_completed(prompt_of({"common", "x"}), m_now);
  for (std::uint64_t process = 1; process <= 4; ++process) {
    auto const own = "own" + std::to_string(process);
    end(m_quarantine, process, {"common", "rare", own});
  }
  EXPECT_FALSE(is_quarantined(m_quarantine, {"common", "x"}));
  EXPECT_TRUE(is_quarantined(m_quarantine, {"common", "rare", "x"}));
  m_quarantine.note_completed(prompt_of({"common", "rare", "x"}), m_now);
  EXPECT_FALSE(is_quarantined(m_quarantine, {"common", "rare", "x"}));
}

// Guards against sound requests that are refused for a part which requests with the deadly one had
// as well: on a day of its own, a seldom used part was quarantined beside it.
TEST_F(prompt_quarantines, blame_the_later_of_two_parts_with_the_same_endings) {
  end(m_quarantine, 1, {"subject", "bad", "x"});
  end(m_quarantine, 2, {"subject", "bad", "x"});
  end(m_quarantine, 3, {"subject", "bad", "y"});
  end(m_quarantine, 3, {"subject", "sound"});
  EXPECT_TRUE(is_quarantined(m_quarantine, {"other", "bad", "z"}));
  EXPECT_FALSE(is_quarantined(m_quarantine, {"subject", "z"}));
  // Endpoints end under it without the other part, so it is the cause after all.
  end(m_quarantine, 4, {"subject", "z"});
  end(m_quarantine, 5, {"subject", "z"});
  EXPECT_TRUE(is_quarantined(m_quarantine, {"subject", "w"}));
}

TEST_F(prompt_quarantines, add_up_what_several_instances_saw) {
  prompt_quarantine first{{}};
  prompt_quarantine second{{}};
  prompt_quarantine leader{{}};
  end(first, 1, {"bad", "x"});
  end(first, 2, {"bad", "x"});
  end(second, 3, {"bad", "y"});
  for (auto const* one : {&first, &second, &first}) {
    leader.merge(one->report(m_now), m_now);
  }
  EXPECT_FALSE(is_quarantined(first, {"bad", "z"}));
  first.merge(leader.report(m_now), m_now);
  EXPECT_TRUE(is_quarantined(first, {"bad", "z"}));
  // An instance that knows the part to be sound acquits it for all.
  second.note_completed(prompt_of({"bad", "w"}), m_now);
  leader.merge(second.report(m_now), m_now);
  first.merge(leader.report(m_now), m_now);
  EXPECT_FALSE(is_quarantined(first, {"bad", "z"}));
}

TEST_F(prompt_quarantines, end_and_return_with_the_next_ending) {
  end(m_quarantine, 1, {"bad", "x"});
  end(m_quarantine, 2, {"bad", "x"});
  end(m_quarantine, 3, {"bad", "y"});
  auto const found = m_quarantine.find_quarantined(prompt_of({"bad", "z"}), m_now + 20s);
  ASSERT_TRUE(found.has_value());
  EXPECT_EQ(found->remaining, 100s);
  m_now += 120s;
  m_quarantine.sweep(m_now);
  EXPECT_FALSE(is_quarantined(m_quarantine, {"bad", "z"}));
  end(m_quarantine, 4, {"bad", "z"});
  EXPECT_TRUE(is_quarantined(m_quarantine, {"bad", "w"}));
}

TEST_F(prompt_quarantines, hold_a_bounded_number_of_parts) {
  for (int i = 0; i < 1000; ++i) {
    m_now += 1ms;
    end(m_quarantine, 1, {"part" + std::to_string(i), "own"});
  }
  EXPECT_LE(m_quarantine.report(m_now).size(), prompt_quarantine::options{}.max_accused_parts);
}

TEST_F(prompt_quarantines, let_requests_of_sound_parts_try_on) {
  EXPECT_TRUE(m_quarantine.may_try_again(prompt_of({"p", "x"}), 1));
  EXPECT_FALSE(m_quarantine.may_try_again(prompt_of({"p", "x"}), 2));
  m_quarantine.note_completed(prompt_of({"p", "y"}), m_now);
  EXPECT_TRUE(m_quarantine.may_try_again(prompt_of({"p", "x"}), 2));
}

} // namespace

} // namespace catkinlanding::proxy
