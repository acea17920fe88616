#include <libraries/base/codec.h>
#include <libraries/claims/registry.h>

#include <gtest/gtest.h>

#include <cstdio>

namespace catkinlanding::claims {

namespace {

holder holder_number(std::uint64_t number) {
  return {.instance = {"entry-1"}, .incarnation = 1'764'000'000'000, .number = number};
}

claim claim_of(std::string const& key, std::uint64_t number, std::uint64_t digest = 1) {
  return {.request = {key},
          .digest = digest,
          .holder = holder_number(number),
          .max_run_time = std::chrono::seconds(10)};
}

finish finish_of(std::string const& key, std::uint64_t number, std::size_t answer_bytes) {
  return {.request = {key},
          .holder = holder_number(number),
          .result = run_result::answered,
          .answer = stored_answer{.status = 200,
                                  .content_type = "application/json",
                                  .body = std::string(answer_bytes, 'x')}};
}

TEST(registry, stores_an_answer_and_after_its_retention_only_the_result) {
  registry registry;
  EXPECT_EQ(registry.apply({.at = {}, .action = claim_of("k", 1)}).kind, verdict_kind::granted);
  EXPECT_EQ(registry.apply({.at = {}, .action = claim_of("k", 2)}).kind,
            verdict_kind::running_elsewhere);
  EXPECT_EQ(registry.apply({.at = {}, .action = finish_of("k", 1, 10)}).kind,
            verdict_kind::recorded);
  EXPECT_TRUE(registry.apply({.at = {}, .action = claim_of("k", 2)}).answer.has_value());
  auto const later = registry::answer_retention;
  auto const repeat = registry.apply({.at = later, .action = claim_of("k", 2)});
  EXPECT_EQ(repeat.kind, verdict_kind::finished);
  EXPECT_EQ(repeat.result, run_result::answered);
  EXPECT_FALSE(repeat.answer.has_value());
  EXPECT_EQ(registry.apply({.at = registry::retention, .action = claim_of("k", 3)}).kind,
            verdict_kind::granted);
}

TEST(registry, rejects_a_claim_that_arrives_after_its_own_release) {
  registry registry;
  EXPECT_EQ(registry.apply({.at = {}, .action = release{{"k"}, holder_number(1)}}).kind,
            verdict_kind::recorded);
  EXPECT_EQ(registry.apply({.at = {}, .action = claim_of("k", 1)}).kind,
            verdict_kind::already_released);
  EXPECT_EQ(registry.apply({.at = {}, .action = claim_of("k", 2)}).kind, verdict_kind::granted);
}

TEST(registry, limits_the_number_of_claims_and_the_size_of_stored_answers) {
  registry registry;
  for (std::size_t i = 0; i < registry::max_claims; ++i) {
    auto const key = "guild/order-" + std::to_string(i);
    static_cast<void>(registry.apply({.at = {}, .action = claim_of(key, i)}));
    static_cast<void>(registry.apply({.at = {}, .action = finish_of(key, i, 200)}));
  }
  EXPECT_EQ(registry.apply({.at = {}, .action = claim_of("one more", 0)}).kind, verdict_kind::full);
  EXPECT_LE(registry.answer_bytes(), registry::max_total_answer_bytes);
  static_cast<void>(registry.apply({.at = registry::answer_retention, .action = claim_of("k", 0)}));
  EXPECT_EQ(registry.answer_bytes(), 0U);
  EXPECT_EQ(registry.apply({.at = registry::retention, .action = claim_of("one more", 0)}).kind,
            verdict_kind::granted);
  EXPECT_EQ(registry.size(), 1U);
}

TEST(registry, needs_few_snapshot_bytes_per_claim) {
  registry registry;
  constexpr std::size_t count = 10'000;
  for (std::size_t i = 0; i < count; ++i) {
    auto const key = "guild/order-" + std::to_string(i);
    static_cast<void>(registry.apply({.at = {}, .action = claim_of(key, i)}));
  }
  auto const running = base::encode(registry).size() / count;
  for (std::size_t i = 0; i < count; ++i) {
    auto const key = "guild/order-" + std::to_string(i);
    static_cast<void>(registry.apply({.at = {}, .action = finish_of(key, i, 200)}));
  }
  auto const finished = base::encode(registry).size() / count;
  std::printf("bytes of a snapshot for each claim: %zu running, %zu with an answer of 200\n",
              running, finished);
  EXPECT_LT(running, 200U);
  EXPECT_LT(finished, 500U);
}

} // namespace

} // namespace catkinlanding::claims
