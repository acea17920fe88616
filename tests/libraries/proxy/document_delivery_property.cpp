#include <libraries/base/random.h>
#include <libraries/base/verify.h>
#include <libraries/consensus/disk_identity.h>
#include <libraries/proxy/control.h>
#include <libraries/proxy/router.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// Larger messages travel over a connection, the others as datagrams.
constexpr std::size_t max_datagram_size = 1200;
/// A change is in force within this time of its acknowledgement.
constexpr base::duration max_delivery_time = 2s;
/// After a disruption of its connections an instance counts as disrupted for this long.
constexpr base::duration contact_time = 3s;
constexpr base::duration step = 10ms;

/// A control instance and entry instances on a network that loses datagrams, delays connections,
/// and has connections that take messages and deliver none. The messages of one connection keep
/// their order; all others may overtake each other.
class lossy_deployment {
public:
  explicit lossy_deployment(std::uint64_t seed) : m_random(seed), m_control(make_control()) {
    for (auto const* name : {"entry-1", "entry-2", "entry-3"}) {
      router::options options;
      options.subscriber = {.self = {name}, .seeds = {{"control"}}, .seed = m_random()};
      m_entries.emplace(base::instance_id{name}, router(std::move(options)));
    }
    m_max_delay = draw(300) * 1ms;
    m_loss_percent = draw(40);
    m_endpoint_gap = (20 + draw(200)) * 1ms;
  }

  /// Documents of drawn sizes are applied while the network is disrupted.
  void run() {
    advance(1s);
    auto const documents = 1 + draw(4);
    for (std::uint64_t i = 0; i < documents; ++i) {
      apply_document();
      m_kills_connections = draw(2) == 0;
      advance(draw(1500) * 1ms);
    }
    m_loss_percent = 0;
    m_kills_connections = false;
    bool const kills_connections_last = draw(2) == 0;
    if (kills_connections_last) {
      kill_connections();
    } else {
      advance(contact_time);
    }
    apply_document();
    advance(kills_connections_last ? contact_time : max_delivery_time);
    for (auto const& [id, entry] : m_entries) {
      RC_ASSERT(entry.document_revision() == m_document.revision);
      RC_ASSERT(entry.status_of_document(m_now).fingerprint == fingerprint_of(m_document));
    }
  }

private:
  struct in_flight_message {
    base::instance_id from;
    base::instance_id to;
    proxy::message message;
    base::monotonic_time arrives_at{};
  };

  struct connection {
    bool is_dead = false;
    bool has_sent = false;
    base::monotonic_time last_arrival{};
  };

  [[nodiscard]] std::uint64_t draw(std::uint64_t bound) { return m_random() % bound; }

  [[nodiscard]] control make_control() const {
    control::options options;
    options.replica.self = {.instance = {"control"},
                            .disk_id = consensus::make_disk_id(2, true, {{"control"}})};
    options.replica.founders = {{"control"}};
    return control::create(std::move(options), {}, m_now);
  }

  void apply_document() {
    m_document.revision += 1 + draw(3);
    m_document.services = {{.id = {"s"}}};
    constexpr std::array<std::size_t, 3> sizes{1, 30, 900};
    m_document.routes.clear();
    auto const size = sizes.at(draw(sizes.size()));
    for (std::size_t i = 0; i < size; ++i) {
      route added;
      added.name = "route-" + std::to_string(m_document.revision) + "-" + std::to_string(i);
      added.host = "example";
      added.path_prefix = "/" + added.name + "/";
      added.shares = {{.service = {"s"}, .weight = 1}};
      m_document.routes.push_back(std::move(added));
    }
    call(replace_document{.document = m_document, .source = "text"});
  }

  void change_endpoint() {
    ++m_announcements;
    call(announce_endpoint{{.id = {"e"},
                            .service = {"s"},
                            .address = {.ip = "10.0.0.1", .port = 80},
                            .slots = static_cast<std::uint32_t>(1 + m_announcements % 2),
                            .number = {.incarnation = 1, .sequence = m_announcements}}});
  }

  void call(call_request const& request) {
    control_effects effects;
    m_control.receive(++m_calls, request, m_now, effects);
    carry_out(effects);
  }

  void advance(base::duration time) {
    for (auto const end = m_now + time; m_now < end; m_now += step) {
      if (m_now >= m_next_endpoint_change) {
        m_next_endpoint_change = m_now + m_endpoint_gap;
        change_endpoint();
      }
      if (m_kills_connections && draw(50) == 0) {
        kill_connections();
      }
      control_effects effects;
      m_control.tick(m_now, effects);
      carry_out(effects);
      for (auto& [id, entry] : m_entries) {
        send(id, entry.tick(m_now));
      }
      deliver();
    }
  }

  void kill_connections() {
    for (auto& [ends, one] : m_connections) {
      one.is_dead = true;
    }
  }

  void carry_out(control_effects& effects) {
    for (auto const& write : effects.log.writes) {
      control_effects more;
      m_control.complete_write(write.id, m_now, more);
      carry_out(more);
    }
    send({"control"}, std::move(effects.messages));
  }

  void send(base::instance_id const& from, std::vector<outgoing> messages) {
    for (auto& one : messages) {
      envelope sized;
      sized.message = one.message;
      auto& used = m_connections[{from, one.to}];
      if (one.needs_new_connection && used.has_sent) {
        used = {};
      }
      bool const is_datagram = encode(sized).size() <= max_datagram_size;
      base::monotonic_time arrives_at = m_now + draw(3) * step;
      if (is_datagram ? draw(100) < m_loss_percent : !use_connection(used, arrives_at)) {
        continue;
      }
      m_in_flight.push_back({from, one.to, std::move(one.message), arrives_at});
    }
  }

  /// Returns whether the connection delivers the message, and when.
  [[nodiscard]] bool use_connection(connection& used, base::monotonic_time& arrives_at) const {
    used.has_sent = true;
    used.last_arrival = std::max(used.last_arrival, m_now + m_max_delay);
    arrives_at = used.last_arrival;
    return !used.is_dead;
  }

  void deliver() {
    auto waiting = std::exchange(m_in_flight, {});
    for (auto& one : waiting) {
      if (one.arrives_at > m_now) {
        m_in_flight.push_back(std::move(one));
      } else if (one.to == base::instance_id{"control"}) {
        control_effects effects;
        m_control.receive(one.from, one.message, m_now, effects);
        carry_out(effects);
      } else {
        deliver_to_entry(one);
      }
    }
  }

  void deliver_to_entry(in_flight_message const& one) {
    auto& entry = m_entries.at(one.to);
    auto const before = entry.document_revision();
    auto received = entry.receive(one.from, one.message, m_now);
    RC_ASSERT(entry.document_revision() >= before);
    RC_ASSERT(entry.known().document_revision == entry.document_revision());
    send(one.to, std::move(received.messages));
  }

  base::random_generator m_random;
  base::monotonic_time m_now{1h};
  control m_control;
  std::map<base::instance_id, router> m_entries;
  std::map<std::pair<base::instance_id, base::instance_id>, connection> m_connections;
  std::vector<in_flight_message> m_in_flight;
  document m_document;
  base::duration m_max_delay{};
  std::uint64_t m_loss_percent = 0;
  base::duration m_endpoint_gap{};
  base::monotonic_time m_next_endpoint_change{};
  bool m_kills_connections = false;
  std::uint64_t m_announcements = 0;
  call_number m_calls = 0;
};

// Guards against an acknowledged document that is not in force in time, or goes back, whatever the
// delays, losses and orders of messages were before (CONFIG).
RC_GTEST_PROP(document_deliveries, are_in_time_whatever_overtakes_or_loses_them,
              (std::uint64_t seed)) {
  lossy_deployment deployment(seed);
  deployment.run();
}

} // namespace

} // namespace catkinlanding::proxy
