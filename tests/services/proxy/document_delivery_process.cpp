#include <tests/support/deployment.h>
#include <tests/support/peer_relay.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr char const* relayed_entry = "entry-1";
/// With so many routes the document does not fit into a datagram, but into one update.
constexpr int some_routes = 20;
/// With so many it is transferred in parts.
constexpr int many_routes = 700;

/// A deployment in which the messages between one entry instance and the control instance go
/// through a relay.
class document_delivery : public ::testing::Test {
protected:
  document_delivery()
      : m_relay({.control_ip = proxy_deployment::control_ip,
                 .entry_ip = m_deployment.ip_of(relayed_entry),
                 .control_alias_ip = "127.0.1.2",
                 .entry_alias_ip = "127.0.1.3",
                 .peer_port = m_deployment.peer_port()}) {}

  void SetUp() override {
    m_deployment.use_seed(relayed_entry, "127.0.1.2");
    ASSERT_TRUE(m_deployment.start());
  }

  /// The document with this version, and further routes whose names contain it.
  static std::string document(int version, int routes) {
    auto whole = json::parse(proxy_deployment::document(version));
    for (int i = 0; i < routes; ++i) {
      auto added = whole.at("routes").at(1);
      auto const name = "added-" + std::to_string(version) + "-" + std::to_string(i);
      added["name"] = name;
      added["path_prefix"] = "/" + name + "/";
      whole["routes"].push_back(added);
    }
    return whole.dump();
  }

  void apply(int version, int routes) {
    ASSERT_EQ(m_deployment.call("POST", "/api/Config.Put", document(version, routes)).status, 200);
  }

  /// Whether the relayed entry instance serves a route that only this version has.
  [[nodiscard]] bool serves(int version) {
    auto const path = "/added-" + std::to_string(version) + "-0/answer";
    auto const id = "probe-" + std::to_string(++m_probes);
    return m_deployment
               .send_to_entry(relayed_entry,
                              {.path = path, .body = {}, .headers = {{"Attempt-Id", id}}})
               .status == 200;
  }

  /// An endpoint announces another number of slots, so that the entry instances are told.
  void change_endpoint() {
    json const heartbeat = {{"service", "lookup"},
                            {"address", "127.0.0.9:9"},
                            {"zone", "south"},
                            {"version", "v1"},
                            {"slots", 1 + (++m_announcements % 2)},
                            {"state", "ready"},
                            {"cold_left_ms", 0},
                            {"seq", m_announcements}};
    auto const path = "/api/Instances.Heartbeat/changing";
    EXPECT_EQ(m_deployment.call("POST", path, heartbeat.dump()).status, 200);
  }

  proxy_deployment m_deployment;
  peer_relay m_relay;
  int m_probes = 0;
  int m_announcements = 0;
};

// Guards against an acknowledged document that an entry instance ignores, since a later change of
// an endpoint, a datagram, has overtaken it on a slow connection (CONFIG).
TEST_F(document_delivery, is_not_prevented_by_changes_of_endpoints_that_overtake_the_document) {
  m_relay.delay_frames(300ms);
  apply(2, some_routes);
  bool const is_served = eventually([&] {
    change_endpoint();
    return serves(2);
  });
  EXPECT_TRUE(is_served) << m_deployment.log(relayed_entry);
}

// Guards against an acknowledged document that never arrives, since the connection to the entry
// instance takes whatever is sent and loses it, while datagrams arrive (CONFIG).
TEST_F(document_delivery, gives_up_a_connection_that_loses_the_document) {
  apply(2, some_routes);
  ASSERT_TRUE(eventually([&] { return serves(2); }));
  m_relay.blackhole_open_connections();
  apply(3, some_routes);
  EXPECT_TRUE(eventually([&] { return serves(3); })) << m_deployment.log("control");
  EXPECT_GT(m_relay.lost_frames(), 0);
}

// Guards against a document in parts that is never complete, since the connection takes one of its
// parts and loses it, each time it is sent (CONFIG).
TEST_F(document_delivery, gives_up_a_connection_that_loses_a_part_of_the_document) {
  apply(2, many_routes);
  ASSERT_TRUE(eventually([&] { return serves(2); }));
  m_relay.blackhole_open_connections();
  apply(3, many_routes);
  EXPECT_TRUE(eventually([&] { return serves(3); })) << m_deployment.log("control");
  EXPECT_GT(m_relay.lost_frames(), 0);
}

} // namespace

} // namespace catkinlanding::testing
