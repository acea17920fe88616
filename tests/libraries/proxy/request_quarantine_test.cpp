#include <libraries/base/hash.h>
#include <libraries/proxy/request_quarantine.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// The traits of a request that are the parts of its prompt, of which the last one is its own.
request_traits prompt_of(std::vector<std::string> const& ids) {
  request_traits made{.fingerprint = base::stable_hash(ids.back())};
  for (std::size_t i = 0; i + 1 < ids.size(); ++i) {
    made.traits.push_back({trait_kind::prompt_part, ids[i]});
  }
  return made;
}

class request_quarantines : public ::testing::Test {
protected:
  /// The endpoint process with this number ends under a request with this prompt.
  void end(request_quarantine& quarantine, std::uint64_t process,
           std::vector<std::string> const& ids) const {
    quarantine.note_ending(prompt_of(ids), {.endpoint = {"e"}, .incarnation = process}, m_now);
  }

  [[nodiscard]] bool is_quarantined(request_quarantine const& quarantine,
                                    std::vector<std::string> const& ids) const {
    return quarantine.find_quarantined(prompt_of(ids), m_now).has_value();
  }

  request_quarantine m_quarantine{{}};
  base::monotonic_time m_now{1h};
};

TEST_F(request_quarantines, refuse_a_part_after_three_endings_under_two_requests) {
  end(m_quarantine, 1, {"bad", "x"});
  end(m_quarantine, 2, {"bad", "x"});
  end(m_quarantine, 3, {"bad", "x"});
  EXPECT_FALSE(is_quarantined(m_quarantine, {"bad", "z"}));
  end(m_quarantine, 3, {"bad", "y"});
  EXPECT_TRUE(is_quarantined(m_quarantine, {"bad", "z"}));
  EXPECT_FALSE(is_quarantined(m_quarantine, {"other", "z"}));
}

TEST_F(request_quarantines, accuse_no_part_that_belongs_to_one_request) {
  for (std::uint64_t process = 1; process <= 5; ++process) {
    end(m_quarantine, process, {"own"});
  }
  EXPECT_FALSE(is_quarantined(m_quarantine, {"own"}));
}

TEST_F(request_quarantines, count_an_endpoint_process_once) {
  for (std::string const own : {"x", "y", "z"}) {
    end(m_quarantine, 7, {"p", own});
  }
  EXPECT_FALSE(is_quarantined(m_quarantine, {"p", "w"}));
}

// Guards against sound requests that are refused for a part which was in requests that ended along
// with others (LOST).
TEST_F(request_quarantines, acquit_a_part_that_a_request_completed_with) {
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
TEST_F(request_quarantines, blame_the_later_of_two_parts_with_the_same_endings) {
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

TEST_F(request_quarantines, add_up_what_several_instances_saw) {
  request_quarantine first{{}};
  request_quarantine second{{}};
  request_quarantine leader{{}};
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

TEST_F(request_quarantines, end_and_return_with_the_next_ending) {
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

TEST_F(request_quarantines, hold_a_bounded_number_of_parts) {
  for (int i = 0; i < 1000; ++i) {
    m_now += 1ms;
    end(m_quarantine, 1, {"part" + std::to_string(i), "own"});
  }
  EXPECT_LE(m_quarantine.report(m_now).size(), request_quarantine::options{}.max_suspects);
}

// A request whose parts are all sound may still be the one that ends endpoints.
TEST_F(request_quarantines, let_requests_try_on_that_are_known_to_be_sound) {
  request_traits const request{
      .fingerprint = 7,
      .traits = {{trait_kind::whole_request, "7"}, {trait_kind::prompt_part, "p"}}};
  EXPECT_TRUE(m_quarantine.may_try_again(request, 1));
  EXPECT_FALSE(m_quarantine.may_try_again(request, 2));
  m_quarantine.note_completed(prompt_of({"p", "y"}), m_now);
  EXPECT_FALSE(m_quarantine.may_try_again(request, 2));
  m_quarantine.note_completed(request, m_now);
  EXPECT_TRUE(m_quarantine.may_try_again(request, 2));
}

TEST_F(request_quarantines, refuse_a_whole_request_after_two_endings) {
  request_traits const deadly{.fingerprint = 7, .traits = {{trait_kind::whole_request, "7"}}};
  m_quarantine.note_ending(deadly, {{"a"}, 1}, m_now);
  EXPECT_FALSE(m_quarantine.find_quarantined(deadly, m_now));
  m_quarantine.note_ending(deadly, {{"b"}, 1}, m_now);
  auto const found = m_quarantine.find_quarantined(deadly, m_now);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->trait.kind, trait_kind::whole_request);
  request_traits const other{.fingerprint = 8, .traits = {{trait_kind::whole_request, "8"}}};
  EXPECT_FALSE(m_quarantine.find_quarantined(other, m_now));
}

// Guards against sound requests that are refused for the part, path or caller that they share with
// one deadly request (LOST).
TEST_F(request_quarantines, blame_the_whole_request_before_what_others_share_with_it) {
  auto const request = [](std::uint64_t fingerprint) {
    return request_traits{.fingerprint = fingerprint,
                          .traits = {{trait_kind::whole_request, std::to_string(fingerprint)},
                                     {trait_kind::prompt_part, "part"},
                                     {trait_kind::path, "path"},
                                     {trait_kind::caller, "caller"}}};
  };
  for (std::uint64_t process = 1; process <= 3; ++process) {
    m_quarantine.note_ending(request(7), {{"e"}, process}, m_now);
    // Another request is taken along.
    m_quarantine.note_ending(request(100 + process), {{"e"}, process}, m_now);
  }
  EXPECT_TRUE(m_quarantine.find_quarantined(request(7), m_now));
  EXPECT_FALSE(m_quarantine.find_quarantined(request(8), m_now));
}

// Guards against a deadly request that is forgotten as its endpoints take many others along.
TEST_F(request_quarantines, keep_the_most_telling_evidence) {
  request_traits const deadly{.fingerprint = 7, .traits = {{trait_kind::whole_request, "7"}}};
  for (std::uint64_t process = 1; process <= 2; ++process) {
    m_quarantine.note_ending(deadly, {{"e"}, process}, m_now);
    for (std::uint64_t i = 0; i < 500; ++i) {
      auto const own = std::to_string(1000 * process + i);
      m_quarantine.note_ending({.fingerprint = i, .traits = {{trait_kind::whole_request, own}}},
                               {{"e"}, process}, m_now + 1ms);
    }
    m_quarantine.note_ending(deadly, {{"e"}, process + 10}, m_now);
  }
  EXPECT_TRUE(m_quarantine.find_quarantined(deadly, m_now));
}

// Guards against endings that are not seen because the answer was dropped just before: a small
// model's answer begins, and its endpoint ends while the next model is asked.
TEST_F(request_quarantines, count_the_end_of_an_endpoint_whose_answer_was_dropped) {
  request_traits const deadly{.fingerprint = 7, .traits = {{trait_kind::whole_request, "7"}}};
  request_traits const beside{.fingerprint = 8, .traits = {{trait_kind::whole_request, "8"}}};
  for (std::uint64_t process = 1; process <= 2; ++process) {
    m_quarantine.note_dropped(deadly, {{"e"}, process}, m_now);
    m_now += 60ms;
    m_quarantine.note_ending(beside, {{"e"}, process}, m_now);
  }
  EXPECT_TRUE(m_quarantine.find_quarantined(deadly, m_now));
}

TEST_F(request_quarantines, count_the_end_of_such_an_endpoint_that_another_instance_saw) {
  request_quarantine other{{}};
  request_traits const deadly{.fingerprint = 7, .traits = {{trait_kind::whole_request, "7"}}};
  for (std::uint64_t process = 1; process <= 2; ++process) {
    m_quarantine.note_dropped(deadly, {{"e"}, process}, m_now);
    end(other, process, {"part", "x"});
    m_quarantine.merge(other.report(m_now + 300ms), m_now + 300ms);
  }
  EXPECT_TRUE(m_quarantine.find_quarantined(deadly, m_now));
}

TEST_F(request_quarantines, suspect_no_answer_that_was_dropped_long_before_the_end) {
  request_traits const sound{.fingerprint = 7, .traits = {{trait_kind::whole_request, "7"}}};
  for (std::uint64_t process = 1; process <= 2; ++process) {
    m_quarantine.note_dropped(sound, {{"e"}, process}, m_now);
    m_now += 2s;
    end(m_quarantine, process, {"part", "x"});
  }
  EXPECT_FALSE(m_quarantine.find_quarantined(sound, m_now));
}

// Guards against evidence that takes up the network for as long as it is kept.
TEST_F(request_quarantines, report_changes_for_a_short_time_and_all_from_time_to_time) {
  m_now = base::monotonic_time{1h + 2s};
  end(m_quarantine, 1, {"bad", "x"});
  EXPECT_EQ(m_quarantine.report(m_now).size(), 1U);
  EXPECT_EQ(m_quarantine.report(m_now + 3s).size(), 0U);
  EXPECT_EQ(m_quarantine.report(m_now + 8s).size(), 1U);
}

} // namespace

} // namespace catkinlanding::proxy
