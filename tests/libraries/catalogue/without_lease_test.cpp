#include <libraries/catalogue/json.h>
#include <libraries/routing/policy.h>

#include <gtest/gtest.h>

namespace catkinlanding::catalogue {

namespace {

using std::chrono::hours;
using std::chrono::seconds;

version version_with(catalogue::standing standing, std::optional<seconds> without_lease) {
  version made;
  made.model = {"hat"};
  made.id = {"1"};
  made.standing = standing;
  made.without_lease = without_lease;
  return made;
}

std::string document_with(std::string const& value) {
  return R"({"versions": [{"model": "hat", "id": "1", "owner": "ops", "class": "interactive",
             "without_lease_seconds": )" +
         value + "}]}";
}

TEST(without_lease, follows_the_standing_unless_the_entry_says_otherwise) {
  auto const trial = version_with(standing::trial, std::nullopt);
  EXPECT_TRUE(routing::can_receive_work(trial, true, {}));
  EXPECT_FALSE(routing::can_receive_work(trial, false, {}));
  auto const settled = version_with(standing::settled, std::nullopt);
  EXPECT_TRUE(routing::can_receive_work(settled, false, hours(1) - seconds(1)));
  EXPECT_FALSE(routing::can_receive_work(settled, false, hours(1)));
  EXPECT_FALSE(routing::can_receive_work(settled, false, base::duration::max()));
  auto const brief = version_with(standing::settled, seconds(5));
  EXPECT_FALSE(routing::can_receive_work(brief, false, seconds(5)));
  EXPECT_TRUE(routing::can_receive_work(brief, true, {}));
  EXPECT_FALSE(routing::can_receive_work(version_with(standing::withdrawn, hours(1)), true, {}));
}

TEST(without_lease, is_read_and_written) {
  auto const entries = parse_entries(document_with("90"));
  ASSERT_TRUE(entries.has_value());
  EXPECT_EQ(std::get<version>(entries->front()).without_lease, seconds(90));
  document document;
  document.apply(
      {.id = {"c"}, .base_revision = 0, .author = {}, .upserts = *entries, .removals = {}});
  EXPECT_EQ(parse_entries(to_json(document)), *entries);
  EXPECT_FALSE(parse_entries(document_with("86401")).has_value());
  EXPECT_FALSE(parse_entries(document_with("-1")).has_value());
  EXPECT_FALSE(parse_entries(document_with("-2")).has_value());
}

TEST(without_lease, keeps_the_longest_time_of_all_revisions) {
  document document;
  auto const apply = [&](version const& version) {
    document.apply({.id = {"c"},
                    .base_revision = document.revision(),
                    .author = {},
                    .upserts = {version},
                    .removals = {}});
  };
  apply(version_with(standing::settled, hours(3)));
  apply(version_with(standing::settled, seconds(1)));
  apply(version_with(standing::withdrawn, std::nullopt));
  EXPECT_EQ(document.time_without_lease(), hours(3));
}

} // namespace

} // namespace catkinlanding::catalogue
