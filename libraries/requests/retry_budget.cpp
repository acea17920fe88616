#include <libraries/requests/retry_budget.h>

#include <algorithm>

namespace catkinlanding::requests {

namespace {

constexpr std::int64_t one_retry = 1000;

} // namespace

void retry_budget::record_success() {
  add(m_options.per_success);
}

bool retry_budget::try_spend(base::monotonic_time now) {
  auto const passed = std::chrono::floor<std::chrono::seconds>(now - m_refilled_at);
  if (passed.count() > 0) {
    m_refilled_at += passed;
    add(std::min(passed.count(), m_options.max_balance) * m_options.per_second);
  }
  if (m_balance < one_retry) {
    return false;
  }
  m_balance -= one_retry;
  return true;
}

void retry_budget::add(std::int64_t amount) {
  m_balance = std::min(m_balance + amount, m_options.max_balance);
}

} // namespace catkinlanding::requests
