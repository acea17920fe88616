#include <libraries/billing/outbox.h>

#include <gtest/gtest.h>

namespace catkinlanding::billing {

namespace {

using namespace std::chrono_literals;

constexpr base::duration tick{20ms};

/// Adds bills at a constant rate to an outbox whose ledger confirms each batch one tick later, and
/// returns how many bills are unsettled at the end.
std::size_t pending_after(std::size_t bills_per_tick, int ticks) {
  outbox outbox({.ledgers = {{"ledger"}}});
  base::monotonic_time now{1h};
  std::vector<outgoing> sent;
  std::size_t number = 0;
  for (int i = 0; i < ticks; ++i, now += tick) {
    for (auto const& message : std::exchange(sent, {})) {
      bill_receipt receipt;
      for (auto const& bill : std::get<bill_batch>(message.message).bills) {
        receipt.requests.push_back(bill.request);
      }
      std::vector<base::request_id> replicated;
      outbox.receive({"ledger"}, receipt, replicated);
    }
    for (std::size_t n = 0; n < bills_per_tick; ++n) {
      outbox.add({.request = {std::to_string(++number)}}, now, sent);
    }
    outbox.tick(now, sent);
  }
  return outbox.size();
}

TEST(outbox, keeps_up_with_the_request_rate_of_a_saturated_instance) {
  // 20,000 requests per second, more than one instance can serve.
  constexpr std::size_t bills_per_tick = 400;
  EXPECT_LE(pending_after(bills_per_tick, 500), 2 * bills_per_tick);
}

TEST(outbox, limits_the_size_of_batches) {
  outbox::options const options{.ledgers = {{"ledger"}}};
  outbox outbox(options);
  base::monotonic_time const now{1h};
  std::vector<outgoing> sent;
  for (std::size_t n = 0; n < 2 * options.max_batch_size + 1; ++n) {
    outbox.add({.request = {std::to_string(n)}}, now, sent);
  }
  outbox.tick(now, sent);
  ASSERT_EQ(sent.size(), 3U);
  for (auto const& message : sent) {
    EXPECT_LE(std::get<bill_batch>(message.message).bills.size(), options.max_batch_size);
  }
}

} // namespace

} // namespace catkinlanding::billing
