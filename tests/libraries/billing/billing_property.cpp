#include <libraries/base/overloaded.h>
#include <libraries/base/random.h>
#include <libraries/billing/copy_holder.h>
#include <libraries/billing/ledger.h>
#include <libraries/billing/outbox.h>

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <rapidcheck.h>

namespace catkinlanding::billing {

namespace {

constexpr std::size_t entry_count = 3;
constexpr std::size_t ledger_count = 3;
constexpr int steps_per_run = 600;
/// The minimum time between two kills of entry instances, in which the copies of the first one's
/// bills reach the ledgers.
constexpr base::duration repair_time = std::chrono::seconds(6);

/// Simulates the entry instances and ledgers of one zone. Messages are dropped, duplicated and
/// reordered; a killed entry instance loses all its state, a killed ledger its unsynced writes.
class simulation {
public:
  explicit simulation(std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < entry_count; ++i) {
      start_entry(i);
    }
    for (auto& ledger : m_ledgers) {
      ledger.bills = std::make_unique<billing::ledger>(ledger.synced);
    }
  }

  void run() {
    for (int i = 0; i < steps_per_run; ++i) {
      step();
    }
    m_injects_faults = false;
    repair();
    // Each completely delivered answer is billed, even after the loss of one disk.
    auto const lost_ledger = random_below(ledger_count);
    std::set<base::request_id> exported;
    for (std::size_t i = 0; i < ledger_count; ++i) {
      if (i == lost_ledger && !m_is_disk_lost) {
        continue;
      }
      for (auto const& bill : m_ledgers.at(i).synced) {
        exported.insert(bill.request);
      }
    }
    for (auto const& request : m_answered) {
      RC_ASSERT(exported.contains(request));
    }
    for (auto const& entry : m_entries) {
      RC_ASSERT(entry.bills->size() == 0U);
      RC_ASSERT(entry.copies->size() == 0U);
    }
  }

private:
  struct entry {
    std::unique_ptr<outbox> bills;
    std::unique_ptr<copy_holder> copies;
  };

  struct control {
    std::unique_ptr<billing::ledger> bills;
    std::vector<bill> synced;
    std::vector<ledger_write> unsynced;
  };

  struct in_flight_message {
    base::instance_id from;
    outgoing message;
  };

  static base::instance_id entry_id(std::size_t index) {
    return {"entry-" + std::to_string(index)};
  }
  static base::instance_id ledger_id(std::size_t index) {
    return {"ledger-" + std::to_string(index)};
  }

  [[nodiscard]] std::size_t random_below(std::size_t bound) { return m_random() % bound; }
  [[nodiscard]] bool one_in(std::size_t bound) { return random_below(bound) == 0; }

  void start_entry(std::size_t index) {
    std::vector<base::instance_id> peers;
    for (std::size_t i = 0; i < entry_count; ++i) {
      if (i != index) {
        peers.push_back(entry_id(i));
      }
    }
    auto& entry = m_entries.at(index);
    entry.bills = std::make_unique<outbox>(
        outbox::options{.ledgers = {ledger_id(0), ledger_id(1), ledger_id(2)},
                        .zone_peers = std::move(peers),
                        .seed = index});
    entry.copies = std::make_unique<copy_holder>(copy_holder::options{});
  }

  void step() {
    switch (random_below(12)) {
    case 0:
    case 1:
      finish_request(random_below(entry_count));
      break;
    case 2:
      m_now += std::chrono::milliseconds(random_below(200));
      break;
    case 3:
    case 4:
      tick(random_below(entry_count));
      break;
    case 5:
      sync(random_below(ledger_count));
      break;
    case 6:
      inject_fault();
      break;
    default:
      deliver_random_message();
    }
  }

  void inject_fault() {
    auto const index = random_below(ledger_count);
    auto& ledger = m_ledgers.at(index);
    if (m_now >= m_next_kill && one_in(3)) {
      start_entry(random_below(entry_count));
      m_next_kill = m_now + repair_time;
      repair();
    } else if (one_in(3)) {
      ledger.unsynced.clear();
      ledger.bills = std::make_unique<billing::ledger>(ledger.synced);
    } else if (!m_is_disk_lost && one_in(40)) {
      m_is_disk_lost = true;
      ledger.unsynced.clear();
      ledger.synced.clear();
      ledger.bills = std::make_unique<billing::ledger>(ledger.synced);
    }
  }

  /// Finishes a new request, or an earlier one again under the same id, as after a caller's retry.
  void finish_request(std::size_t index) {
    billing::bill bill;
    bool const is_resend = m_last_request > 0 && one_in(5);
    auto const number = is_resend ? 1 + random_below(m_last_request) : ++m_last_request;
    bill.request = {"request-" + std::to_string(number)};
    bill.customer = {"guild"};
    std::vector<outgoing> messages;
    auto const request = bill.request;
    auto& sender = *m_entries.at(index).bills;
    sender.add(std::move(bill), m_now, messages);
    send(entry_id(index), messages);
    if (sender.is_replicated(request)) {
      m_answered.insert(request);
    }
  }

  void tick(std::size_t index) {
    auto& entry = m_entries.at(index);
    std::vector<outgoing> messages;
    for (auto& bill : entry.copies->take_overdue(m_now)) {
      entry.bills->adopt(std::move(bill));
    }
    entry.bills->tick(m_now, messages);
    send(entry_id(index), messages);
  }

  void sync(std::size_t index) {
    auto& ledger = m_ledgers.at(index);
    std::vector<outgoing> receipts;
    for (auto const& write : std::exchange(ledger.unsynced, {})) {
      ledger.synced.insert(ledger.synced.end(), write.bills.begin(), write.bills.end());
      ledger.bills->complete_write(write.id, receipts);
    }
    send(ledger_id(index), receipts);
  }

  void send(base::instance_id const& from, std::vector<outgoing> const& messages) {
    for (auto const& message : messages) {
      m_in_flight.push_back({from, message});
    }
  }

  void deliver_random_message() {
    if (m_in_flight.empty()) {
      return;
    }
    auto const index = random_below(m_in_flight.size());
    auto const in_flight_message = m_in_flight.at(index);
    if (!m_injects_faults || !one_in(8)) {
      m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (m_injects_faults && one_in(8)) {
      return;
    }
    for (std::size_t i = 0; i < entry_count; ++i) {
      if (in_flight_message.message.to == entry_id(i)) {
        deliver_to_entry(i, in_flight_message);
      }
    }
    for (std::size_t i = 0; i < ledger_count; ++i) {
      if (in_flight_message.message.to == ledger_id(i)) {
        deliver_to_ledger(i, in_flight_message);
      }
    }
  }

  void deliver_to_entry(std::size_t index, in_flight_message const& in_flight_message) {
    auto& entry = m_entries.at(index);
    std::vector<outgoing> replies;
    std::vector<base::request_id> replicated;
    std::visit(base::overloaded{
                   [](bill_batch const&) {},
                   [&](bill_receipt const& receipt) {
                     entry.bills->receive(in_flight_message.from, receipt, replicated);
                   },
                   [&](bill_copy const& copy) {
                     entry.copies->receive(in_flight_message.from, copy, m_now, replies);
                   },
                   [&](copy_receipt const& receipt) {
                     entry.bills->receive(in_flight_message.from, receipt, replicated);
                   },
                   [&](bills_settled const& settled) { entry.copies->receive(settled); },
               },
               in_flight_message.message.message);
    send(entry_id(index), replies);
    m_answered.insert(replicated.begin(), replicated.end());
  }

  void deliver_to_ledger(std::size_t index, in_flight_message const& in_flight_message) {
    auto& ledger = m_ledgers.at(index);
    std::vector<outgoing> receipts;
    auto const& batch = std::get<bill_batch>(in_flight_message.message.message);
    if (auto write = ledger.bills->receive(in_flight_message.from, batch, receipts)) {
      ledger.unsynced.push_back(std::move(*write));
    }
    send(ledger_id(index), receipts);
  }

  /// Advances the time without kills, so that copied bills reach the ledgers.
  void repair() {
    for (int i = 0; i < 80; ++i) {
      m_now += std::chrono::milliseconds(100);
      for (std::size_t index = 0; index < entry_count; ++index) {
        tick(index);
      }
      for (auto left = 2 * m_in_flight.size(); left > 0; --left) {
        deliver_random_message();
      }
      for (std::size_t index = 0; index < ledger_count; ++index) {
        sync(index);
      }
    }
  }

  base::random_generator m_random;
  base::monotonic_time m_now{std::chrono::hours(1)};
  base::monotonic_time m_next_kill = m_now;
  std::array<entry, entry_count> m_entries;
  std::array<control, ledger_count> m_ledgers;
  std::vector<in_flight_message> m_in_flight;
  std::set<base::request_id> m_answered;
  std::size_t m_last_request = 0;
  bool m_is_disk_lost = false;
  bool m_injects_faults = true;
};

TEST(billing_property, every_complete_answer_is_billed_if_any_single_instance_is_killed) {
  EXPECT_TRUE(rc::check("no bill is lost", [] {
    simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    simulation.run();
  }));
}

} // namespace

} // namespace catkinlanding::billing
