#pragma once

#include <tests/support/control_group.h>

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace catkinlanding::proxy {

/// A group of three control instances with an endpoint in each of two zones. The endpoints announce
/// themselves when the test says so.
class evacuations_of_zones : public ::testing::Test {
protected:
  void SetUp() override {
    m_group.start("a", 1, true);
    m_group.start("b", 2);
    m_group.start("c", 3);
    m_group.run(std::chrono::seconds(8));
    call(document(1));
    announce_all(1);
    m_group.run(std::chrono::milliseconds(500));
  }

  static replace_document document(std::uint64_t revision, std::string source = {}) {
    route made;
    made.name = "r";
    made.host = "h";
    made.path_prefix = "/";
    made.kind = route_kind::idempotent;
    made.shares = {{.service = {"s"}, .weight = 1}};
    made.timeout = std::chrono::seconds(30);
    made.max_attempts = 2;
    replace_document replacement;
    replacement.document = {.revision = revision,
                            .routes = {std::move(made)},
                            .services = {{.id = {"s"}}},
                            .customers = {{.id = {"ann"}, .keys = {"key"}}}};
    replacement.source = std::move(source);
    return replacement;
  }

  static announce_endpoint announcement(std::string const& id, std::string const& zone,
                                        std::uint64_t sequence, std::uint16_t port) {
    return {{.id = {id},
             .service = {"s"},
             .address = {.ip = "10.0.0.1", .port = port},
             .zone = {zone},
             .number = {.incarnation = 1, .sequence = sequence}}};
  }

  void announce_all(std::uint64_t sequence) {
    call(announcement("ex", "x", sequence, 1));
    call(announcement("ey", "y", sequence, 2));
  }

  /// Makes a call to the leader, and returns its number.
  call_number call(call_request const& request) {
    m_group.call(m_group.leader(), ++m_last_call, request);
    return m_last_call;
  }

  /// The reply to a call; nothing if it has not been answered.
  [[nodiscard]] std::optional<reply_kind> reply(call_number number) const {
    auto const found = m_group.reply(number);
    return found ? std::optional(found->kind) : std::nullopt;
  }

  /// Makes a call to the leader, and returns its reply within a second.
  [[nodiscard]] std::optional<reply_kind> reply_to(call_request const& request) {
    auto const number = call(request);
    m_group.run(std::chrono::seconds(1));
    return reply(number);
  }

  /// Loses the leader, and waits for the next one.
  void replace_leader() {
    m_group.stop(m_group.leader());
    while (m_group.leader().empty()) {
      m_group.run(std::chrono::milliseconds(20));
    }
  }

  [[nodiscard]] bool is_out_of_use(std::string const& zone) const {
    return m_group.node(m_group.leader()).state().zones().is_out_of_use({zone});
  }

  /// The state of the endpoint in the last update for an instance, which never started; nothing if
  /// the update does not contain it.
  [[nodiscard]] std::optional<endpoint_state> state_sent(std::string const& to,
                                                         std::string const& endpoint) {
    for (auto const& record : m_group.updates(to).back().endpoints) {
      if (record.announcement.id.value == endpoint) {
        return record.state;
      }
    }
    return std::nullopt;
  }

  void subscribe(std::string const& from, bool is_entry = true) {
    m_group.send(from, m_group.leader(), subscription{.is_entry = is_entry});
  }

  /// The endpoints that an entry instance sends requests to.
  [[nodiscard]] std::set<std::string> used_by(std::string const& entry) {
    std::set<std::string> used;
    for (request_number number = 1; number <= 30; ++number) {
      request_facts facts;
      facts.host = "h";
      facts.path = "/x";
      facts.key = "key";
      facts.caller_timeout = std::chrono::seconds(1);
      auto const made = m_group.entry(entry).begin(number, facts, m_group.now());
      if (auto const* sent = std::get_if<attempt>(&made)) {
        used.insert(sent->endpoint.value);
      }
      m_group.entry(entry).end(number, m_group.now());
    }
    return used;
  }

  testing::control_group m_group{{"a", "b", "c"}};

private:
  call_number m_last_call = 0;
};

} // namespace catkinlanding::proxy
