#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <random>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds read_timeout{30};

std::string all_events() {
  std::string events;
  for (int number = 1; number <= 5; ++number) {
    auto const text = std::to_string(number);
    events.append("id: ").append(text).append("\ndata: event-").append(text).append("\n\n");
  }
  return events;
}

class proxy_whole_path : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  http_response send_request(std::string const& id, std::string const& path,
                             std::string body = {}) {
    return m_deployment.send_to_entry(
        "entry-1", {.path = path, .body = std::move(body), .headers = {{"Attempt-Id", id}}});
  }

  proxy_deployment m_deployment;
};

TEST_F(proxy_whole_path, forwards_requests_and_answers_unchanged) {
  std::string const body("\0\r\n\xff any bytes", 14);
  auto const answer =
      m_deployment.send_to_entry("entry-1", {.path = "/once/a%20b/answer",
                                             .body = body,
                                             .headers = {{"Attempt-Id", "id-1"},
                                                         {"Tenant", "ben"},
                                                         {"X-Own", "kept"},
                                                         {"Hold", "h"},
                                                         {"Connection", "close, X-Hop"},
                                                         {"X-Hop", "dropped"}}});
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "echo " + body);
  EXPECT_EQ(answer.headers.at("Response-Seal"), "seal-id-1");
  auto const runs = m_deployment.requests_executed_for("id-1");
  ASSERT_EQ(runs.size(), 1U);
  auto const& run = runs[0];
  EXPECT_EQ(run.target, "/once/a%20b/answer");
  EXPECT_EQ(run.body, body);
  EXPECT_EQ(run.headers.at("Tenant"), "ann");
  EXPECT_EQ(run.headers.at("X-Own"), "kept");
  EXPECT_LE(std::stoi(run.headers.at("Deadline-Ms")), 15'000);
  for (auto const* name : {"Authorization", "Hold", "X-Hop"}) {
    EXPECT_FALSE(run.headers.contains(name)) << name;
  }
}

TEST_F(proxy_whole_path, refuses_unknown_paths_and_unknown_keys) {
  EXPECT_EQ(send_request("id-1", "/nowhere/answer").status, 404);
  auto const stranger = m_deployment.send_to_entry(
      "entry-1", {.path = "/once/answer",
                  .headers = {{"Attempt-Id", "id-2"}, {"Authorization", "Bearer other"}}});
  EXPECT_EQ(stranger.status, 401);
  EXPECT_TRUE(m_deployment.requests_executed_for("id-1").empty());
  EXPECT_TRUE(m_deployment.requests_executed_for("id-2").empty());
}

TEST_F(proxy_whole_path, runs_non_idempotent_requests_at_most_once) {
  for (auto const* behaviour : {"cut", "unsealed"}) {
    auto const id = std::string("id-") + behaviour;
    auto const answer = send_request(id, std::string("/once/") + behaviour);
    EXPECT_EQ(answer.status, 502) << behaviour;
    EXPECT_FALSE(answer.headers.contains("Retry-After")) << behaviour;
    EXPECT_EQ(m_deployment.requests_executed_for(id).size(), 1U) << behaviour;
  }
}

// The endpoint sends a late answer to another request on the connection and never answers this one.
TEST_F(proxy_whole_path, discards_an_answer_to_another_request) {
  auto const answer = m_deployment.send_to_entry(
      "entry-1",
      {.path = "/once/other", .headers = {{"Attempt-Id", "id-1"}, {"Deadline-Ms", "2000"}}});
  EXPECT_EQ(answer.status, 504);
  EXPECT_EQ(answer.body, "");
  EXPECT_EQ(m_deployment.requests_executed_for("id-1").size(), 1U);
}

TEST_F(proxy_whole_path, answers_503_when_every_endpoint_refused) {
  auto const answer = send_request("id-1", "/once/shed");
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.headers.contains("Retry-After"));
  EXPECT_TRUE(m_deployment.requests_executed_for("id-1").empty());
}

TEST_F(proxy_whole_path, retries_idempotent_requests) {
  auto const failed = send_request("id-1", "/again/fail");
  EXPECT_EQ(failed.status, 500);
  EXPECT_EQ(failed.body, "failed");
  EXPECT_EQ(m_deployment.requests_executed_for("id-1").size(), 2U);
  // There are only two endpoints, so there is no third attempt.
  EXPECT_EQ(send_request("id-2", "/again/cut").status, 502);
  EXPECT_EQ(m_deployment.requests_executed_for("id-2").size(), 2U);
}

TEST_F(proxy_whole_path, continues_a_broken_stream_without_gap_or_repeat) {
  auto const answer = send_request("id-1", "/resume/broken-stream");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, all_events());
  auto const runs = m_deployment.requests_executed_for("id-1");
  ASSERT_EQ(runs.size(), 2U);
  EXPECT_TRUE(std::ranges::any_of(runs, [](received_request const& run) {
    return run.headers.contains("Last-Event-Id") && run.headers.at("Last-Event-Id") == "2";
  }));
}

TEST_F(proxy_whole_path, does_not_end_a_cut_stream_normally) {
  // The test client reports status 0 for a stream that ends without its last chunk.
  EXPECT_EQ(send_request("id-1", "/stream/broken-stream").status, 0);
  EXPECT_EQ(m_deployment.requests_executed_for("id-1").size(), 1U);
}

TEST_F(proxy_whole_path, cancels_the_request_when_the_caller_disconnects) {
  {
    raw_connection const caller(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
    caller.send("POST /once/hang HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: id-1\r\n"
                "Authorization: Bearer key-ann\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(eventually([&] { return m_deployment.requests_executed_for("id-1").size() == 1; }));
  }
  EXPECT_TRUE(eventually([&] {
    return m_deployment.endpoint(0).saw_cancellation() ||
           m_deployment.endpoint(1).saw_cancellation();
  }));
}

TEST_F(proxy_whole_path, answers_504_at_the_deadline) {
  auto const answer = m_deployment.send_to_entry(
      "entry-1",
      {.path = "/once/hang", .headers = {{"Attempt-Id", "id-1"}, {"Deadline-Ms", "2000"}}});
  EXPECT_EQ(answer.status, 504);
  EXPECT_EQ(m_deployment.requests_executed_for("id-1").size(), 1U);
}

TEST_F(proxy_whole_path, sends_nothing_to_a_draining_endpoint) {
  ASSERT_EQ(m_deployment.announce(m_deployment.endpoint(0), "draining").status, 200);
  // The change is pushed to the entry instances; after that the endpoint gets no requests.
  ASSERT_TRUE(eventually([&] {
    return m_deployment.log("entry-1").find("id=e-1 state=leaving") != std::string::npos;
  }));
  auto const before = m_deployment.endpoint(0).executed_requests().size();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(send_request("id-" + std::to_string(i), "/once/answer").status, 200);
  }
  EXPECT_EQ(m_deployment.endpoint(0).executed_requests().size(), before);
}

TEST_F(proxy_whole_path, keeps_the_newest_valid_document_across_a_crash) {
  EXPECT_EQ(m_deployment.call("POST", "/api/Config.Put", proxy_deployment::document(5)).status,
            200);
  EXPECT_EQ(m_deployment.call("POST", "/api/Config.Put", proxy_deployment::document(3)).status,
            200);
  auto const read = m_deployment.call("GET", "/api/Config.Get");
  EXPECT_EQ(read.status, 200);
  EXPECT_EQ(read.body, proxy_deployment::document(5));
  auto broken = nlohmann::json::parse(proxy_deployment::document(9));
  broken["routes"][0]["service"] = "nowhere";
  EXPECT_EQ(m_deployment.call("POST", "/api/Config.Put", broken.dump()).status, 400);
  EXPECT_EQ(m_deployment.call("POST", "/api/Config.Put", "{\"version\":9").status, 400);
  // The document survives a kill of the control instance.
  m_deployment.process("control").kill();
  m_deployment.start_process("control");
  ASSERT_TRUE(
      eventually([&] { return m_deployment.call("GET", "/api/Config.Get").status == 200; }));
  EXPECT_EQ(m_deployment.call("GET", "/api/Config.Get").body, proxy_deployment::document(5));
}

TEST_F(proxy_whole_path, serves_without_control_instances) {
  m_deployment.process("control").kill();
  ASSERT_TRUE(eventually(
      [&] { return m_deployment.log("entry-1").find("event=control lost") != std::string::npos; }));
  EXPECT_EQ(send_request("id-1", "/once/answer").status, 200);
}

TEST_F(proxy_whole_path, finishes_open_streams_on_sigterm) {
  // The instance learns how long answers of the route take, without which it begins none when it
  // stops.
  ASSERT_EQ(send_request("id-0", "/once/answer").status, 200);
  auto answer =
      std::async(std::launch::async, [&] { return send_request("id-1", "/stream/slow-stream"); });
  ASSERT_TRUE(eventually([&] { return m_deployment.requests_executed_for("id-1").size() == 1; }));
  m_deployment.process("entry-1").send_signal(SIGTERM);
  http_request const check{.method = "GET", .path = "/api/readyz", .body = {}, .headers = {}};
  ASSERT_TRUE(eventually([&] {
    return exchange(m_deployment.ready_port(), check, m_deployment.ip_of("entry-1")).status == 503;
  }));
  // Requests that the load balancer still sends to this instance are served.
  EXPECT_EQ(send_request("id-2", "/once/answer").status, 200);
  m_deployment.endpoint(0).release();
  m_deployment.endpoint(1).release();
  EXPECT_EQ(answer.get().body, all_events());
  EXPECT_EQ(m_deployment.process("entry-1").wait(), 0);
}

TEST_F(proxy_whole_path, reloads_changed_settings_without_a_signal_or_cut_request) {
  auto answer =
      std::async(std::launch::async, [&] { return send_request("id-1", "/stream/slow-stream"); });
  ASSERT_TRUE(eventually([&] { return m_deployment.requests_executed_for("id-1").size() == 1; }));
  for (auto const* name : {"entry-1", "control"}) {
    m_deployment.change_log_level(name, "debug");
    EXPECT_TRUE(eventually([&] {
      return m_deployment.log(name).find("process reloaded seeds=1 log_level=debug") !=
             std::string::npos;
    }));
  }
  m_deployment.endpoint(0).release();
  m_deployment.endpoint(1).release();
  EXPECT_EQ(answer.get().body, all_events());
}

TEST_F(proxy_whole_path, rejects_request_smuggling) {
  std::string const smuggled =
      "POST /once/answer HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: hidden\r\n"
      "Authorization: Bearer key-ann\r\nContent-Length: 0\r\n\r\n";
  std::string const start =
      "POST /once/answer HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: outer\r\n"
      "Authorization: Bearer key-ann\r\n";
  std::vector<std::string> const framings{
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: identity\r\n\r\n",
      "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      "Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
      "Content-Length: +0\r\n\r\n",
  };
  for (auto const& framing : framings) {
    raw_connection const caller(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
    std::string bytes = start;
    bytes.append(framing).append(smuggled);
    caller.send(bytes);
    auto const answer = caller.read_until("\r\n\r\n", read_timeout);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << framing << answer;
  }
  EXPECT_TRUE(m_deployment.requests_executed_for("hidden").empty());
}

TEST_F(proxy_whole_path, survives_random_bytes_on_every_port) {
  std::mt19937_64 random(9917);
  for (int i = 0; i < 300; ++i) {
    std::string bytes(random() % 1400, '\0');
    std::ranges::generate(bytes, [&] { return static_cast<char>(random()); });
    for (auto const* name : {"control", "entry-1"}) {
      auto const& ip = m_deployment.ip_of(name);
      send_datagram(m_deployment.peer_port(), bytes, ip);
      raw_connection(m_deployment.peer_port(), ip).send(bytes);
    }
    raw_connection(m_deployment.caller_port(), m_deployment.ip_of("entry-1")).send(bytes);
    raw_connection(m_deployment.call_port(), proxy_deployment::control_ip)
        .send("POST /api/Config.Put HTTP/1.1\r\nHost: c\r\nContent-Length: " +
              std::to_string(bytes.size()) + "\r\n\r\n" + bytes);
  }
  EXPECT_EQ(send_request("id-1", "/once/answer").status, 200);
  EXPECT_EQ(m_deployment.call("GET", "/api/Config.Get").body, proxy_deployment::document(1));
}

} // namespace

} // namespace catkinlanding::testing
