#include <libraries/base/codec.h>
#include <libraries/endpoints/directory.h>

#include <gtest/gtest.h>

#include <random>

namespace catkinlanding::endpoints {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// 20 endpoints per entry instance: one of nine zones at the size projected for two years from now.
constexpr std::size_t entry_count = 24;
constexpr std::size_t endpoint_count = 480;
constexpr std::size_t warm_up_seconds = 120;
constexpr std::size_t measured_seconds = 16;

class zone {
public:
  zone() {
    std::vector<base::instance_id> ids;
    for (std::size_t i = 0; i < entry_count; ++i) {
      ids.push_back({"entry-" + std::to_string(i)});
    }
    for (auto const& id : ids) {
      forwarder::options chosen{.self = id, .zone_peers = {}, .incarnation = 1};
      std::ranges::copy_if(ids, std::back_inserter(chosen.zone_peers),
                           [&](auto const& other) { return other != id; });
      m_entries.emplace(id, directory({.forwarding = std::move(chosen)}));
    }
    m_ids = std::move(ids);
  }

  /// Every endpoint announces itself once to a random entry instance. Bytes are counted on arrival.
  void run_second(bool is_counted) {
    for (int part = 0; part < 20; ++part) {
      m_now += milliseconds(50);
      for (std::size_t i = static_cast<std::size_t>(part); i < endpoint_count; i += 20) {
        announce(i);
      }
      for (auto& [id, directory] : m_entries) {
        effects out;
        directory.tick(m_now, out);
        deliver(id, out, is_counted);
      }
    }
  }

  [[nodiscard]] std::size_t bytes() const { return m_bytes; }
  [[nodiscard]] std::size_t fresh_endpoints_at(base::instance_id const& id) const {
    return m_entries.at(id).serving(served_version{{"model-0"}, {"1"}}, m_now).size();
  }

private:
  void announce(std::size_t number) {
    announcement announced{
        .endpoint = {"engine-" + std::to_string(number)},
        .incarnation = 1'700'000'000'000,
        .sequence = ++m_sequence[number],
        .zone = {"zone-1"},
        .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(number)},
        .slots = 8};
    for (std::size_t j = 0; j < 2; ++j) {
      auto const model = "model-" + std::to_string((number + j) % 31);
      announced.versions.push_back({.model = {model}, .version = {"1"}});
    }
    auto const& id = m_ids[m_random() % m_ids.size()];
    effects out;
    m_entries.at(id).announce(announced, m_now, out);
    deliver(id, out, false);
  }

  void deliver(base::instance_id const& from, effects const& out, bool is_counted) {
    for (auto const& outgoing : out) {
      m_bytes += is_counted ? base::encode(outgoing.message).size() : 0;
      m_entries.at(outgoing.to).receive(from, outgoing.message, m_now);
    }
  }

  std::mt19937_64 m_random{20261203};
  base::monotonic_time m_now{};
  std::vector<base::instance_id> m_ids;
  std::map<base::instance_id, directory> m_entries;
  std::map<std::size_t, std::uint64_t> m_sequence;
  std::size_t m_bytes = 0;
};

TEST(endpoint_traffic, stays_bounded_in_a_large_zone) {
  zone zone;
  for (std::size_t i = 0; i < warm_up_seconds; ++i) {
    zone.run_second(false);
  }
  for (std::size_t i = 0; i < measured_seconds; ++i) {
    zone.run_second(true);
  }
  auto const bytes_per_second = zone.bytes() / measured_seconds / entry_count;
  RecordProperty("bytes_per_second", std::to_string(bytes_per_second));
  std::printf("%zu bytes a second arrive at one entry\n", bytes_per_second);
  EXPECT_LE(bytes_per_second, 12'000U);
  EXPECT_GT(zone.fresh_endpoints_at({"entry-0"}), 0U);
}

} // namespace

} // namespace catkinlanding::endpoints
