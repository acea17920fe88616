#include <services/daemon/caller_protocol.h>

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace catkinlanding::daemon {

namespace {

TEST(caller_protocol, finds_the_fields_of_a_completion) {
  auto const fields = parse_completion(
      R"({"messages":[{"model":"no","stream":false}],"stream":true,"model":"hat","n":1})");
  ASSERT_TRUE(fields.has_value());
  EXPECT_EQ(fields->model.value, "hat");
  EXPECT_TRUE(fields->is_stream);
}

TEST(caller_protocol, distinguishes_errors_in_a_completion) {
  EXPECT_EQ(parse_completion("").error(), message_error::not_json);
  EXPECT_EQ(parse_completion("[\"model\"]").error(), message_error::not_json);
  EXPECT_EQ(parse_completion(R"({"model":"hat")").error(), message_error::not_json);
  EXPECT_EQ(parse_completion(R"({"model":"hat"} x)").error(), message_error::not_json);
  EXPECT_EQ(parse_completion(R"({"messages":[{"model":"hat"}]})").error(),
            message_error::missing_model);
  EXPECT_EQ(parse_completion(R"({"model":7})").error(), message_error::wrong_type);
  EXPECT_EQ(parse_completion(R"({"model":["hat"]})").error(), message_error::wrong_type);
  EXPECT_EQ(parse_completion(R"({"model":"hat","stream":"yes"})").error(),
            message_error::wrong_type);
  EXPECT_EQ(parse_completion(std::string(1'000'000, '[')).error(), message_error::not_json);
}

std::string announcement_with(std::string const& field, std::string const& value) {
  std::string text = R"({"endpoint":"e","incarnation":1,"sequence":1,"zone":"a","ip":"127.0.0.1",)"
                     R"("port":80,"slots":4,"versions":[{"model":"hat","version":"1"}])";
  return text + (field.empty() ? "" : ",\"" + field + "\":" + value) + "}";
}

TEST(caller_protocol, rejects_announcements_out_of_range) {
  EXPECT_TRUE(parse_announcement(announcement_with("", "")).has_value());
  // A later field of the same name replaces the earlier one.
  std::array<std::pair<char const*, char const*>, 7> const faults{{
      {"port", "0"},
      {"port", "70000"},
      {"port", "-1"},
      {"ip", "\"engine.example\""},
      {"endpoint", "\"\""},
      {"slots", "0"},
      {"versions", R"([{"model":"a\nb","version":"1"}])"},
  }};
  for (auto const& [field, value] : faults) {
    auto const parsed = parse_announcement(announcement_with(field, value));
    ASSERT_FALSE(parsed.has_value()) << field << ' ' << value;
    EXPECT_EQ(parsed.error(), message_error::out_of_range) << field << ' ' << value;
  }
  EXPECT_EQ(parse_announcement(announcement_with("slots", "-1")).error(),
            message_error::wrong_type);
  EXPECT_EQ(parse_announcement(announcement_with("load", "3")).error(), message_error::wrong_type);
  std::string versions = "[";
  for (int i = 0; i < 300; ++i) {
    versions += std::string(i == 0 ? "" : ",") + R"({"model":"hat","version":"1"})";
  }
  EXPECT_EQ(parse_announcement(announcement_with("versions", versions + "]")).error(),
            message_error::out_of_range);
}

} // namespace

} // namespace catkinlanding::daemon
