#include <libraries/endpoints/directory.h>
#include <tests/support/random_actions.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>

/// Simulates the entry instances of one zone and the endpoints that announce themselves to them.
/// Messages, including leaving announcements, are lost, duplicated and delayed, instances freeze
/// and restart, and endpoints are killed and return under the same address.
namespace catkinlanding::endpoints {

namespace {

using base::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(50);
constexpr duration announce_interval = milliseconds(500);
/// Required bounds: an endpoint that left, or that was killed, receives no new work after this.
constexpr duration after_leaving = seconds(3);
constexpr duration after_silence = seconds(5);
/// Maximum delay of a call to the entry's HTTP server. Its callers give up after one second.
constexpr std::uint64_t max_call_milliseconds = 400;

using action = testing::random_action;

struct entry {
  base::instance_id id;
  duration offset{};
  std::uint64_t incarnation = 0;
  bool is_frozen = false;
  std::optional<directory> known_endpoints;
  /// The latest incarnation and sequence seen of each endpoint.
  std::map<base::endpoint_id, std::pair<std::uint64_t, std::uint64_t>> latest;
};

struct endpoint {
  announcement announced;
  duration offset{};
  duration due{};
  bool is_running = true;
  /// When this incarnation left or was killed.
  duration ended_at{};
  bool has_left = false;
};

/// Either a call by an endpoint or a batch from another entry instance.
struct envelope {
  std::size_t to;
  /// The incarnation that the call is connected to; the call ends with it.
  std::uint64_t connected_to;
  std::optional<announcement> call;
  base::instance_id from;
  announcement_batch batch;
  duration due;
};

class zone {
public:
  explicit zone(std::uint64_t seed) : m_random(seed) {
    for (auto const* name : {"a1", "a2", "a3"}) {
      entry entry;
      entry.id = {name};
      entry.offset = seconds(1000 + pick(100'000));
      m_entries.push_back(std::move(entry));
    }
    std::ranges::for_each(m_entries, [&](entry& entry) { start(entry); });
    for (int i = 0; i < 4; ++i) {
      endpoint endpoint;
      endpoint.announced.endpoint = {"engine-" + std::to_string(i)};
      endpoint.announced.address = {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(i)};
      endpoint.announced.versions = {{.model = {"m"}, .version = {"1"}}};
      m_endpoints.push_back(std::move(endpoint));
      restart(m_endpoints.back());
    }
  }

  void perform(action const& action) {
    auto& entry = m_entries[action.parameter % m_entries.size()];
    auto& endpoint = m_endpoints[action.parameter % m_endpoints.size()];
    switch (action.kind % 10) {
    case 0:
    case 1:
      entry.is_frozen = true;
      break;
    case 2:
      entry.is_frozen = false;
      check(entry);
      break;
    case 3:
      start(entry);
      break;
    case 4:
      end(endpoint, false);
      break;
    case 5:
      end(endpoint, true);
      break;
    case 6:
      end(endpoint, false);
      restart(endpoint);
      break;
    case 7:
      if (!endpoint.is_running) {
        restart(endpoint);
      }
      break;
    default:
      m_loss_percent = action.parameter % 60;
      break;
    }
    for (int i = 0; i < action.steps % 64; ++i) {
      advance();
    }
  }

  void heal() {
    m_loss_percent = 0;
    m_is_fault_free = true;
    for (auto& entry : m_entries) {
      entry.is_frozen = false;
    }
    for (duration const until = m_now + seconds(40); m_now < until;) {
      advance();
    }
    for (auto const& entry : m_entries) {
      for (auto const& endpoint : m_endpoints) {
        RC_ASSERT(entry.known_endpoints->can_receive_work(
                      endpoint.announced.endpoint, local_time(entry)) == endpoint.is_running);
      }
    }
  }

private:
  std::uint64_t pick(std::uint64_t below) { return m_random() % below; }
  [[nodiscard]] base::monotonic_time local_time(entry const& entry) const {
    return base::monotonic_time(m_now + entry.offset);
  }

  void start(entry& entry) {
    entry.is_frozen = false;
    entry.incarnation += 1;
    entry.latest.clear();
    forwarder::options chosen{.self = entry.id, .zone_peers = {}, .incarnation = entry.incarnation};
    for (auto const& other : m_entries) {
      if (other.id != entry.id) {
        chosen.zone_peers.push_back(other.id);
      }
    }
    entry.known_endpoints.emplace(
        directory::options{.forwarding = chosen, .started_at = local_time(entry)});
  }

  void restart(endpoint& endpoint) {
    endpoint.is_running = true;
    endpoint.has_left = false;
    endpoint.announced.incarnation += 1;
    endpoint.announced.sequence = 0;
    endpoint.announced.is_leaving = false;
    endpoint.offset = seconds(pick(100'000));
    endpoint.due = m_now;
  }

  void end(endpoint& endpoint, bool is_leaving) {
    if (!endpoint.is_running) {
      return;
    }
    endpoint.is_running = false;
    endpoint.ended_at = m_now;
    endpoint.has_left = is_leaving;
    if (is_leaving && pick(2) == 0) {
      endpoint.announced.is_leaving = true;
      announce(endpoint);
    }
  }

  void announce(endpoint& endpoint) {
    endpoint.announced.sequence += 1;
    endpoint.announced.sent_at = m_now + endpoint.offset;
    auto const to = pick(m_entries.size());
    bool const is_slow = !m_is_fault_free && pick(4) == 0;
    auto const delay = is_slow ? milliseconds(pick(max_call_milliseconds)) : milliseconds(1);
    m_in_flight.push_back(
        {to, m_entries[to].incarnation, endpoint.announced, {}, {}, m_now + delay});
  }

  void advance() {
    m_now += step;
    for (auto& endpoint : m_endpoints) {
      if (endpoint.is_running && m_now >= endpoint.due) {
        endpoint.due = m_now + announce_interval;
        announce(endpoint);
      }
    }
    deliver();
    for (auto& entry : m_entries) {
      if (!entry.is_frozen) {
        effects out;
        entry.known_endpoints->tick(local_time(entry), out);
        send(entry, out);
        check(entry);
      }
    }
  }

  void deliver() {
    std::ranges::shuffle(m_in_flight, m_random);
    for (auto& envelope : std::exchange(m_in_flight, {})) {
      auto& to = m_entries[envelope.to];
      if (m_now < envelope.due || to.is_frozen) {
        m_in_flight.push_back(std::move(envelope));
        continue;
      }
      effects out;
      if (envelope.call && envelope.connected_to == to.incarnation) {
        to.known_endpoints->announce(*envelope.call, local_time(to), out);
      } else if (!envelope.call) {
        to.known_endpoints->receive(envelope.from, envelope.batch, local_time(to));
      }
      send(to, out);
    }
  }

  void send(entry const& from, effects const& out) {
    for (auto const& outgoing : out) {
      auto const to = static_cast<std::size_t>(
          std::ranges::find(m_entries, outgoing.to, &entry::id) - m_entries.begin());
      for (std::uint64_t copies = pick(10) == 0 ? 2 : 1; copies > 0; --copies) {
        if (pick(100) >= m_loss_percent) {
          bool const is_slow = !m_is_fault_free && pick(5) == 0;
          auto const delay = milliseconds(is_slow ? pick(20'000) : 1);
          m_in_flight.push_back({to, 0, std::nullopt, from.id, outgoing.message, m_now + delay});
        }
      }
    }
  }

  void check(entry& entry) const {
    for (auto const& endpoint : m_endpoints) {
      auto const* known = entry.known_endpoints->find(endpoint.announced.endpoint);
      if (known == nullptr) {
        // A forgotten endpoint may be learned again from a delayed announcement, which counts with
        // its true age and so brings no new work.
        entry.latest.erase(endpoint.announced.endpoint);
      } else {
        std::pair const position(known->announcement.incarnation, known->announcement.sequence);
        auto& latest = entry.latest[endpoint.announced.endpoint];
        RC_ASSERT(position >= latest);
        latest = position;
      }
      if (known == nullptr || !entry.known_endpoints->can_receive_work(endpoint.announced.endpoint,
                                                                       local_time(entry))) {
        continue;
      }
      bool const is_this_start = known->announcement.incarnation == endpoint.announced.incarnation;
      if (is_this_start && !endpoint.is_running) {
        RC_ASSERT(m_now <= endpoint.ended_at + (endpoint.has_left ? after_leaving : after_silence));
      }
    }
  }

  std::mt19937_64 m_random;
  duration m_now{};
  std::vector<entry> m_entries;
  std::vector<endpoint> m_endpoints;
  std::vector<envelope> m_in_flight;
  std::uint64_t m_loss_percent = 0;
  bool m_is_fault_free = false;
};

RC_GTEST_PROP(endpoints, get_no_new_work_after_leaving_or_falling_silent, ()) {
  testing::run_random_actions<zone>();
}

} // namespace

} // namespace catkinlanding::endpoints
