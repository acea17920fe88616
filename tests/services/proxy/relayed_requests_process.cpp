#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>

#include <csignal>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

class relayed_requests : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_deployment.start());
    ASSERT_TRUE(eventually([&] {
      return m_deployment.log("entry-1").find("event=entry relay_peers_known") != std::string::npos;
    }));
  }

  http_response send(std::string const& id, std::string const& path,
                     std::map<std::string, std::string> headers = {}) {
    headers["Attempt-Id"] = id;
    headers["Deadline-Ms"] = "10000";
    return m_deployment.send_to_entry("entry-1", {.path = path, .body = id, .headers = headers});
  }

  /// Each event has arrived once.
  static void expect_whole(std::string const& body) {
    for (int number = 1; number <= 5; ++number) {
      auto const event = "data: event-" + std::to_string(number) + "\n\n";
      auto const found = body.find(event);
      EXPECT_NE(found, std::string::npos) << body;
      EXPECT_EQ(body.find(event, found + 1), std::string::npos) << body;
    }
  }

  void announce(std::string const& id, std::string const& address, std::string const& zone) {
    auto const body =
        R"({"service":"lookup","address":")" + address + R"(","zone":")" + zone +
        R"(","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"born":1700000000000,"seq":1})";
    EXPECT_EQ(m_deployment.call("POST", "/api/Instances.Heartbeat/" + id, body).status, 200);
  }

  /// Announces endpoints in the entry instances' zone that refuse connections, and moves the others
  /// to another zone, so that each request meets the former first.
  void add_refusing_endpoints(int count) {
    for (std::size_t i = 0; i < 2; ++i) {
      auto const& endpoint = m_deployment.endpoint(i);
      announce(endpoint.id(), endpoint.address(), "south");
    }
    for (int i = 0; i < count; ++i) {
      announce("refusing-" + std::to_string(i), "127.0.0.9:" + std::to_string(i + 1), "north");
    }
    auto const last = "event=control endpoint id=refusing-" + std::to_string(count - 1);
    for (auto const* entry : {"entry-1", "entry-2"}) {
      ASSERT_TRUE(
          eventually([&] { return m_deployment.log(entry).find(last) != std::string::npos; }));
    }
  }

  /// The log's line may come after the answer.
  [[nodiscard]] bool was_relayed(std::string const& id) {
    return eventually([&] {
      auto const line = "event=entry relayed request=" + id;
      return m_deployment.log("entry-1").find(line) != std::string::npos;
    });
  }

  /// Sends a request with this body that is passed on to an instance which stops.
  void send_to_stopping_peer(std::string const& body) {
    add_refusing_endpoints(2);
    m_deployment.process("entry-2").send_signal(SIGTERM);
    ASSERT_TRUE(eventually([&] {
      return m_deployment.log("entry-2").find("event=process stopping") != std::string::npos;
    }));
    auto const answer = m_deployment.send_to_entry(
        "entry-1", {.path = "/once/answer",
                    .body = body,
                    .headers = {{"Attempt-Id", "id-1"}, {"Deadline-Ms", "10000"}}});
    EXPECT_EQ(answer.status, 503);
    EXPECT_FALSE(answer.headers.contains("Catkinlanding-Stopping"));
    EXPECT_TRUE(was_relayed("id-1"));
    EXPECT_TRUE(m_deployment.requests_executed_for("id-1").empty());
    EXPECT_TRUE(eventually([&] {
      return m_deployment.log("entry-1").find("failure=not_executed status=503") !=
             std::string::npos;
    })) << m_deployment.log("entry-1");
  }

  /// Sends a request for a stream that pauses after its first event. Kills the instance that it was
  /// passed on to once the caller has that event, and lets the stream go on. Returns all that the
  /// caller receives.
  [[nodiscard]] std::string send_and_kill_peer(std::string const& path) {
    add_refusing_endpoints(2);
    raw_connection const caller(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
    EXPECT_TRUE(caller.send("GET " + path +
                            " HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer key-ann\r\n"
                            "Attempt-Id: id-1\r\nDeadline-Ms: 30000\r\nConnection: close\r\n\r\n"));
    auto received = caller.read_until("event-1\n\n", 30s);
    EXPECT_TRUE(was_relayed("id-1"));
    m_deployment.process("entry-2").kill();
    m_deployment.endpoint(0).release();
    m_deployment.endpoint(1).release();
    return received + caller.read_until("", 30s);
  }

  proxy_deployment m_deployment;
};

// An entry instance can't connect to the endpoints that it tries. Guards against a caller that is
// refused, or whose request runs twice, though another entry instance serves it (RECOVER, TWICE).
TEST_F(relayed_requests, are_answered_by_way_of_another_entry_instance) {
  add_refusing_endpoints(2);
  auto const answer = send("id-1", "/once/answer");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "echo id-1");
  EXPECT_TRUE(was_relayed("id-1"));
  auto const executed = m_deployment.requests_executed_for("id-1");
  ASSERT_EQ(executed.size(), 1U);
  EXPECT_FALSE(executed[0].headers.contains("Catkinlanding-Relayed"));
  EXPECT_EQ(executed[0].headers.at("Tenant"), "ann");
  EXPECT_FALSE(executed[0].headers.contains("Authorization"));
}

TEST_F(relayed_requests, may_be_streams) {
  add_refusing_endpoints(2);
  auto const answer = send("id-1", "/resume/stream");
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(was_relayed("id-1"));
  EXPECT_NE(answer.body.find("data: event-1\n\n"), std::string::npos) << answer.body;
  EXPECT_NE(answer.body.find("data: event-5\n\n"), std::string::npos) << answer.body;
}

// A stream breaks off at the endpoint that the other instance chose.
TEST_F(relayed_requests, are_continued_by_the_other_instance) {
  add_refusing_endpoints(2);
  auto const answer = send("id-1", "/resume/broken-stream");
  EXPECT_TRUE(was_relayed("id-1"));
  expect_whole(answer.body);
}

// The caller of a stream that can be resumed was cut off when the instance that its request was
// passed on to was killed, though endpoints were left (LOST).
TEST_F(relayed_requests, are_continued_if_the_other_instance_is_killed) {
  auto const answer = send_and_kill_peer("/resume/slow-stream");
  expect_whole(answer);
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
  EXPECT_EQ(answer.find("Catkinlanding"), std::string::npos) << answer;
  auto const executed = m_deployment.requests_executed_for("id-1");
  ASSERT_EQ(executed.size(), 2U);
  for (auto const& request : executed) {
    EXPECT_FALSE(request.headers.contains("Catkinlanding-Relayed"));
    EXPECT_FALSE(request.headers.contains("Catkinlanding-Endings"));
  }
}

// Guards against a second execution of what must run once (TWICE).
TEST_F(relayed_requests, that_cannot_be_resumed_are_cut_if_the_other_instance_is_killed) {
  auto const answer = send_and_kill_peer("/stream/slow-stream");
  EXPECT_NE(answer.find("event-1\n\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("event-2"), std::string::npos) << answer;
  EXPECT_EQ(m_deployment.requests_executed_for("id-1").size(), 1U);
}

TEST_F(relayed_requests, bring_back_the_failure_of_the_endpoint) {
  add_refusing_endpoints(2);
  EXPECT_EQ(send("id-1", "/once/fail").status, 500);
  EXPECT_TRUE(was_relayed("id-1"));
  EXPECT_EQ(m_deployment.requests_executed_for("id-1").size(), 1U);
}

TEST_F(relayed_requests, bring_back_a_refusal_that_is_true) {
  add_refusing_endpoints(2);
  auto const answer = send("id-1", "/once/shed");
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(was_relayed("id-1"));
  EXPECT_TRUE(m_deployment.requests_executed_for("id-1").empty());
}

// The other instance is told to stop, and does not know how long an answer takes. Guards against a
// refusal that the first instance takes for the last word, or that passes for one of an endpoint.
TEST_F(relayed_requests, are_told_apart_if_the_other_instance_stops) {
  send_to_stopping_peer("");
}

TEST_F(relayed_requests, are_told_apart_if_the_other_instance_stops_before_it_reads_the_body) {
  send_to_stopping_peer("body");
}

// Neither instance reaches an endpoint. Guards against a request that goes back and forth between
// them, or waits for its deadline.
TEST_F(relayed_requests, are_relayed_once) {
  add_refusing_endpoints(2);
  auto const answer = send("id-1", "/once/answer", {{"Catkinlanding-Relayed", "0"}});
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(send("id-2", "/once/answer", {{"Catkinlanding-Relayed", "3"}}).status, 503);
  EXPECT_EQ(send("id-3", "/once/answer", {{"Catkinlanding-Relayed", "nonsense"}}).status, 503);
  EXPECT_TRUE(m_deployment.requests_executed_for("id-2").empty());
  EXPECT_TRUE(m_deployment.requests_executed_for("id-3").empty());
  // The lines of a request are written in order.
  EXPECT_TRUE(eventually([&] {
    return m_deployment.log("entry-1").find("event=entry ended request=id-3") != std::string::npos;
  }));
  EXPECT_EQ(m_deployment.log("entry-1").find("event=entry relayed"), std::string::npos);
}

} // namespace

} // namespace catkinlanding::testing
