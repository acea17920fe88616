#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <set>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

/// A catalogue with version 1 in the given state, and a cheaper version 2 that gets the given share
/// of requests: on trial, or settled if its share is 1000 permille.
json catalogue_with(int exposure_permille, std::string const& first_standing = "settled") {
  json const common_fields = {{"owner", "ops"}, {"class", "interactive"}};
  auto const with_common_fields = [&](json fields) {
    fields.update(common_fields);
    return fields;
  };
  return {{"customers",
           {with_common_fields(
               {{"id", "guild"}, {"keys", {"guild-key"}}, {"allow", {{{"model", "hat"}}}}})}},
          {"classes", {with_common_fields({{"id", "interactive"}, {"deadline_ms", 20000}})}},
          {"models", {with_common_fields({{"id", "hat"}})}},
          {"versions",
           {with_common_fields({{"model", "hat"},
                                {"id", "1"},
                                {"price_per_thousand_tokens", 1000},
                                {"standing", first_standing}}),
            with_common_fields({{"model", "hat"},
                                {"id", "2"},
                                {"price_per_thousand_tokens", 10},
                                {"standing", exposure_permille == 1000 ? "settled" : "trial"},
                                {"exposure_permille", exposure_permille}})}}};
}

std::string const session_header = "Catkinlanding-Session";
std::string const moved_header = "Catkinlanding-Session-Moved-From";

/// Two zones, each with entry instances and an engine that serves both versions.
class sessions : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    apply(catalogue_with(0));
    for (std::string const zone : {"a", "b"}) {
      m_deployment.start_endpoint(
          {.id = "engine-" + zone, .zone = zone, .arguments = {"--versions=hat/1,hat/2"}});
    }
    for (auto const* id : {"a1", "a2", "b1"}) {
      ASSERT_TRUE(eventually([&] { return m_deployment.status(id)["endpoints"] == 1; }));
    }
  }

  void apply(json const& catalogue) const {
    auto const applied = m_deployment.apply("a1", catalogue.dump());
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
  }

  [[nodiscard]] http_response complete(std::string const& instance, std::string const& session,
                                       bool is_stream = false) const {
    json const body = {{"model", "hat"}, {"stream", is_stream}, {"messages", json::array()}};
    std::map<std::string, std::string> headers{{"Authorization", "Bearer guild-key"}};
    if (!session.empty()) {
      headers[session_header] = session;
    }
    return exchange(
        m_deployment.caller_port(instance),
        {.path = "/v1/chat/completions", .body = body.dump(), .headers = std::move(headers)});
  }

  /// The version that answers. Retries while requests fail, such as during a restart.
  [[nodiscard]] std::string version_of(std::string const& instance,
                                       std::string const& session) const {
    http_response answer;
    EXPECT_TRUE(eventually([&] {
      answer = complete(instance, session);
      return answer.status == 200;
    })) << answer.body;
    return answer.headers["Catkinlanding-Version"];
  }

  [[nodiscard]] static json error_of(http_response const& answer) {
    return json::parse(answer.body)["error"];
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "a2", .zone = "a", .is_control = true},
                           {.id = "b1", .zone = "b", .is_control = true}}};
};

TEST_F(sessions, keep_their_version_across_entries_zones_rollouts_and_restarts) {
  EXPECT_EQ(version_of("a1", "s"), "1");
  EXPECT_EQ(version_of("b1", "s"), "1");
  apply(catalogue_with(1000));
  // New sessions now get the cheaper version.
  EXPECT_EQ(version_of("b1", "other"), "2");
  EXPECT_EQ(version_of("a2", "s"), "1");
  m_deployment.instance("a1").kill();
  EXPECT_EQ(version_of("a2", "s"), "1");
  for (auto const* id : {"a2", "b1"}) {
    m_deployment.instance(id).kill();
  }
  m_deployment.start_all_instances();
  for (auto const* id : {"a1", "a2", "b1"}) {
    EXPECT_EQ(version_of(id, "s"), "1");
    EXPECT_EQ(version_of(id, "other"), "2");
  }
  EXPECT_TRUE(complete("a1", "s", true).status == 200);
}

TEST_F(sessions, move_once_and_report_it_when_their_version_is_withdrawn) {
  EXPECT_EQ(version_of("a1", "s"), "1");
  apply(catalogue_with(1000, "withdrawn"));
  auto const moved = complete("b1", "s");
  EXPECT_EQ(moved.status, 200) << moved.body;
  EXPECT_EQ(moved.headers.at("Catkinlanding-Version"), "2");
  EXPECT_EQ(moved.headers.at(moved_header), "1");
  apply(catalogue_with(1000));
  for (auto const* id : {"a1", "a2", "b1"}) {
    EXPECT_EQ(version_of(id, "s"), "2");
  }
}

TEST_F(sessions, without_a_quorum_continue_where_their_version_is_known) {
  EXPECT_EQ(version_of("a1", "s"), "1");
  m_deployment.instance("a2").kill();
  m_deployment.instance("b1").kill();
  EXPECT_TRUE(eventually([&] { return m_deployment.status("a1")["has_lease"] == false; }));
  EXPECT_EQ(version_of("a1", "s"), "1");
  auto const refused = complete("a1", "unknown");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(error_of(refused)["code"], "session_unavailable");
  EXPECT_EQ(error_of(refused)["outcome"], "not_run");
  EXPECT_TRUE(refused.headers.contains("Retry-After"));
  EXPECT_EQ(complete("a1", "").status, 200);
}

} // namespace

} // namespace catkinlanding::testing
