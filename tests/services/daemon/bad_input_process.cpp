#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <random>
#include <thread>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds response_timeout{30};

/// One instance with an engine and a service. After the input of each test the instance must still
/// serve calls, have no request left and stop cleanly.
class bad_input : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    auto const applied = m_deployment.apply(
        "a1", catalogue_builder().add_model("hat", "1").add_service("orders").text());
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    m_deployment.start_endpoint(
        {.id = "engine", .zone = "a", .arguments = {"--versions=hat/1", "--tokens=200000"}});
    m_deployment.start_endpoint({.id = "shop", .zone = "a", .arguments = {"--service=orders"}});
    ASSERT_TRUE(eventually([&] { return m_deployment.status("a1")["endpoints"] == 2; }));
  }

  void TearDown() override {
    auto const call = call_service({});
    EXPECT_EQ(call.status, 200) << call.body;
    EXPECT_TRUE(eventually([&] { return m_deployment.status("a1")["requests"] == 0; }));
    m_deployment.instance("a1").send_signal(SIGTERM);
    EXPECT_EQ(m_deployment.instance("a1").wait(), 0);
  }

  [[nodiscard]] int port() const { return m_deployment.caller_port("a1"); }

  [[nodiscard]] http_response call_service(std::map<std::string, std::string> headers) const {
    headers.try_emplace("Authorization", "Bearer guild-key");
    return exchange(port(), {.path = "/services/orders/hats", .body = "felt", .headers = headers});
  }

  [[nodiscard]] http_response complete(std::string const& body, std::string const& key) const {
    return exchange(port(), {.path = "/v1/chat/completions",
                             .body = body,
                             .headers = {{"Authorization", "Bearer " + key}}});
  }

  static void expect_refused(http_response const& answer, int status, char const* code) {
    EXPECT_EQ(answer.status, status) << answer.body;
    auto const body = json::parse(answer.body, nullptr, false);
    ASSERT_TRUE(body.is_object()) << answer.body;
    EXPECT_EQ(body["error"]["code"], code);
    EXPECT_EQ(body["error"]["outcome"], "not_run");
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true}}};
};

TEST_F(bad_input, invalid_requests_get_a_typed_error) {
  expect_refused(complete("{", "guild-key"), 400, "not_json");
  expect_refused(complete("[]", "guild-key"), 400, "not_json");
  expect_refused(complete("{}", "guild-key"), 400, "missing_model");
  expect_refused(complete(R"({"model":1})", "guild-key"), 400, "wrong_type");
  expect_refused(complete(R"({"model":"hat"})", "wrong"), 401, "unknown_customer");
  expect_refused(complete(R"({"model":"no"})", "guild-key"), 404, "unknown_model");
  expect_refused(exchange(port(), {.path = "/nowhere"}), 404, "unknown_path");
  expect_refused(call_service({{"Catkinlanding-Deadline-Ms", "soon"}}), 400, "bad_deadline");
  expect_refused(call_service({{"Catkinlanding-Deadline-Ms", "-5"}}), 400, "bad_deadline");
  expect_refused(call_service({{"Idempotency-Key", std::string(300, 'k')}}), 400,
                 "header_too_long");
  expect_refused(exchange(port(), {.path = "/endpoints/announce", .body = R"({"endpoint":"x"})"}),
                 400, "wrong_type");
}

TEST_F(bad_input, incomplete_or_oversized_http_is_refused) {
  raw_connection garbage(port());
  ASSERT_TRUE(garbage.send("\x16\x03\x01 no http at all\r\n\r\n"));
  EXPECT_NE(garbage.read_until("", response_timeout).find("\"not_http\""), std::string::npos);

  raw_connection header(port());
  static_cast<void>(
      header.send("GET / HTTP/1.1\r\nx: " + std::string(64 * 1024, 'x') + "\r\n\r\n"));
  EXPECT_NE(header.read_until("", response_timeout).find("\"header_too_long\""), std::string::npos);

  raw_connection body(port());
  ASSERT_TRUE(body.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"));
  EXPECT_NE(body.read_until("", response_timeout).find("\"body_too_large\""), std::string::npos);

  raw_connection incomplete(port());
  ASSERT_TRUE(
      incomplete.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"mo"));
  incomplete.finish_sending();
  EXPECT_EQ(incomplete.read_until("", response_timeout).find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(bad_input, pipelined_requests_and_expectations_are_answered_in_order) {
  std::string const head = "Authorization: Bearer guild-key\r\nHost: x\r\n";
  raw_connection pipelined(port());
  ASSERT_TRUE(pipelined.send("POST /services/orders/1 HTTP/1.1\r\n" + head +
                             "Content-Length: 0\r\n\r\nPOST /services/orders/2 HTTP/1.1\r\n" +
                             head + "Content-Length: 0\r\nConnection: close\r\n\r\n"));
  auto const answers = pipelined.read_until("", response_timeout);
  auto const first = answers.find("\"path\":\"/1\"");
  ASSERT_NE(first, std::string::npos) << answers;
  EXPECT_NE(answers.find("\"path\":\"/2\"", first), std::string::npos) << answers;

  raw_connection expecting(port());
  ASSERT_TRUE(expecting.send("POST /services/orders/3 HTTP/1.1\r\n" + head +
                             "Content-Length: 4\r\nExpect: 100-continue\r\n"
                             "Connection: close\r\n\r\n"));
  EXPECT_NE(expecting.read_until("\r\n\r\n", response_timeout).find("100 Continue"),
            std::string::npos);
  ASSERT_TRUE(expecting.send("felt"));
  EXPECT_NE(expecting.read_until("", response_timeout).find("\"echo\":\"felt\""),
            std::string::npos);

  raw_connection head_only(port());
  ASSERT_TRUE(head_only.send("HEAD /healthz HTTP/1.1\r\nConnection: close\r\n\r\n"));
  auto const answer = head_only.read_until("", response_timeout);
  EXPECT_NE(answer.find("Content-Length: 3"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("ok"), std::string::npos) << answer;
}

TEST_F(bad_input, random_bytes_on_the_peer_port_are_dropped) {
  std::mt19937 random(7); // NOLINT(cert-msc51-cpp)
  for (int i = 0; i < 200; ++i) {
    std::string bytes(random() % 1500, '\0');
    for (auto& byte : bytes) {
      byte = static_cast<char>(random());
    }
    send_datagram(m_deployment.peer_port("a1"), bytes);
    raw_connection connection(m_deployment.peer_port("a1"));
    static_cast<void>(connection.send(bytes));
  }
  raw_connection http(m_deployment.peer_port("a1"));
  ASSERT_TRUE(http.send("GET / HTTP/1.1\r\n\r\n"));
  EXPECT_EQ(http.read_until("", response_timeout), "");
  raw_connection operators(m_deployment.operator_port("a1"));
  ASSERT_TRUE(operators.send("GET / HTTP/1.1\r\n\r\n"));
  EXPECT_NE(operators.read_until("", response_timeout).find("404"), std::string::npos);
}

TEST_F(bad_input, disconnecting_callers_end_their_requests) {
  for (int i = 0; i < 50; ++i) {
    raw_connection connection(port());
    ASSERT_TRUE(connection.send("POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
                                "guild-key\r\nContent-Length: 30\r\n\r\n"
                                "{\"model\":\"hat\",\"stream\":true} "));
    if (i % 2 == 0) {
      EXPECT_NE(connection.read_until("data:", response_timeout), "");
    }
  }
}

TEST_F(bad_input, a_caller_that_does_not_read_is_disconnected) {
  raw_connection slow(port());
  ASSERT_TRUE(slow.send("POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
                        "guild-key\r\nContent-Length: 30\r\n\r\n"
                        "{\"model\":\"hat\",\"stream\":true} "));
  EXPECT_TRUE(eventually([&] { return m_deployment.status("a1")["requests"] == 1; }));
  // The engine's answer of several megabytes exceeds every buffer limit, and nobody reads it.
  EXPECT_TRUE(eventually([&] { return m_deployment.status("a1")["requests"] == 0; }));
  EXPECT_EQ(slow.read_until("", response_timeout).find("[DONE]"), std::string::npos);
}

TEST_F(bad_input, a_port_in_use_makes_the_start_fail) {
  auto const result = run_command(
      {CATKINLANDING_DAEMON, "--settings", (m_deployment.folder() / "a1.json").string()});
  EXPECT_EQ(result.exit_code, 5) << result.output;
}

/// Sends single bytes, so that the connection is never idle, until the peer closes it. Returns
/// false if it does not close it in time.
bool send_slowly_until_closed(raw_connection const& connection) {
  return eventually([&] {
    static_cast<void>(connection.send("x"));
    return connection.is_closed();
  });
}

TEST(slow_callers, are_disconnected_in_every_phase_of_a_request) {
  deployment deployment({{.id = "a1",
                          .zone = "a",
                          .is_control = true,
                          .read_timeout = std::chrono::milliseconds(500)}});
  deployment.start_all_instances();
  deployment.found();
  // An instance without a catalogue is not ready.
  auto const applied = deployment.apply("a1", catalogue_builder().add_service("orders").text());
  ASSERT_EQ(applied.exit_code, 0) << applied.output;
  raw_connection const idle(deployment.caller_port("a1"));
  raw_connection const head(deployment.caller_port("a1"));
  ASSERT_TRUE(head.send("POST /services/orders/1 HTTP/1.1\r\nx: "));
  raw_connection const body(deployment.caller_port("a1"));
  ASSERT_TRUE(body.send("POST /services/orders/1 HTTP/1.1\r\nAuthorization: Bearer guild-key\r\n"
                        "Content-Length: 1000000\r\n\r\n"));
  EXPECT_TRUE(send_slowly_until_closed(head));
  EXPECT_TRUE(send_slowly_until_closed(body));
  EXPECT_TRUE(eventually([&] { return idle.is_closed(); }));
  // None of these connections started a request, and other callers are still served.
  EXPECT_EQ(deployment.status("a1")["requests"], 0);
  EXPECT_TRUE(eventually([&] {
    return exchange(deployment.caller_port("a1"), {.method = "GET", .path = "/metrics"}).status ==
           200;
  }));
}

// The time for which a kept connection had been idle was taken off the time for its next request,
// and a caller that sent without delay was cut off without an answer.
TEST(slow_callers, have_the_whole_time_for_a_request_after_an_idle_connection) {
  constexpr std::chrono::seconds read_timeout{4};
  deployment deployment(
      {{.id = "a1", .zone = "a", .is_control = true, .read_timeout = read_timeout}});
  deployment.start_all_instances();
  deployment.found();
  auto const applied = deployment.apply("a1", catalogue_builder().add_service("orders").text());
  ASSERT_EQ(applied.exit_code, 0) << applied.output;
  raw_connection const caller(deployment.caller_port("a1"));
  std::this_thread::sleep_for(read_timeout * 3 / 4);
  ASSERT_TRUE(caller.send("POST /services/orders/1 HTTP/1.1\r\nAuthorization: Bearer guild-key\r\n"
                          "Content-Length: 4\r\n\r\n"));
  std::this_thread::sleep_for(read_timeout / 2);
  ASSERT_TRUE(caller.send("felt"));
  EXPECT_EQ(caller.read_until("\r\n", response_timeout).substr(0, 9), "HTTP/1.1 ");
}

} // namespace

} // namespace catkinlanding::testing
