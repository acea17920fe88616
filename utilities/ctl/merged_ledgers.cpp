#include <utilities/ctl/merged_ledgers.h>

#include <algorithm>
#include <map>
#include <set>

namespace catkinlanding::ctl {

namespace {

/// Returns the voters reported by the answer with the highest commit index.
std::set<base::instance_id> newest_voters(std::vector<ledger_response> const& answers) {
  std::set<base::instance_id> voters;
  auto const newest = std::ranges::max_element(
      answers, {}, [](ledger_response const& answer) { return answer.status.commit_index; });
  if (newest != answers.end()) {
    for (auto const& voter : newest->status.configuration.voters) {
      voters.insert(voter.instance);
    }
  }
  return voters;
}

} // namespace

merged_ledgers merge(std::vector<ledger_response> const& answers) {
  auto const voters = newest_voters(answers);
  std::map<base::request_id, billing::bill> bills;
  std::set<base::instance_id> answered_voters;
  for (auto const& answer : answers) {
    if (voters.contains(answer.status.instance)) {
      answered_voters.insert(answer.status.instance);
    }
    for (auto const& bill : answer.bills) {
      bills.try_emplace(bill.request, bill);
    }
  }
  merged_ledgers merged{.bills = {},
                        .answered_voters = {answered_voters.begin(), answered_voters.end()},
                        .voter_count = voters.size()};
  for (auto& [request, bill] : bills) {
    merged.bills.push_back(std::move(bill));
  }
  return merged;
}

} // namespace catkinlanding::ctl
