#include <libraries/proxy/pending_calls.h>

#include <algorithm>
#include <limits>

namespace catkinlanding::proxy {

void pending_calls::await_commit(consensus::log_index index, consensus::term_number term,
                                 call_number number, base::monotonic_time now) {
  m_uncommitted[index] = {
      .number = number, .term = term, .expires_at = now + m_options.commit_timeout};
}

std::optional<call_number> pending_calls::take_committed(consensus::log_index index,
                                                         consensus::term_number term) {
  auto const found = m_uncommitted.find(index);
  if (found == m_uncommitted.end() || found->second.term != term) {
    return std::nullopt;
  }
  auto const number = found->second.number;
  m_uncommitted.erase(found);
  return number;
}

void pending_calls::await_confirmation(call_number number, known_state const& state,
                                       base::monotonic_time now) {
  m_unconfirmed.push_back(
      {.number = number, .state = state, .expires_at = now + m_options.confirmation_timeout});
}

std::vector<call_number> pending_calls::take_confirmed(downstream_table const& downstreams,
                                                       base::monotonic_time now) {
  std::vector<call_number> taken;
  if (m_unconfirmed.empty()) {
    return taken;
  }
  // Calls of former terms have been taken as expired.
  auto const term = m_unconfirmed.back().state.registry_term;
  auto const confirmed = common_revision(term, downstreams, now);
  std::erase_if(m_unconfirmed, [&](unconfirmed_call const& call) {
    bool const is_confirmed =
        call.state.registry_term == term && call.state.registry_revision <= confirmed;
    bool const is_done = now >= call.expires_at || is_confirmed;
    if (is_done) {
      taken.push_back(call.number);
    }
    return is_done;
  });
  return taken;
}

std::vector<call_number> pending_calls::take_expired(consensus::term_number term,
                                                     base::monotonic_time now) {
  std::vector<call_number> taken;
  std::erase_if(m_uncommitted, [&](auto const& item) {
    auto const& call = item.second;
    bool const is_over = now >= call.expires_at || call.term != term;
    if (is_over) {
      taken.push_back(call.number);
    }
    return is_over;
  });
  std::erase_if(m_unconfirmed, [&](unconfirmed_call const& call) {
    bool const is_over = call.state.registry_term != term;
    if (is_over) {
      taken.push_back(call.number);
    }
    return is_over;
  });
  return taken;
}

std::uint64_t pending_calls::common_revision(consensus::term_number term,
                                             downstream_table const& downstreams,
                                             base::monotonic_time now) const {
  auto common = std::numeric_limits<std::uint64_t>::max();
  for (auto const& [id, downstream] : downstreams.all()) {
    bool const is_live = now < downstream.last_request_at + m_options.live_timeout;
    if (downstream.is_entry && is_live) {
      bool const is_same_term = downstream.known.registry_term == term;
      common = std::min(common, is_same_term ? downstream.known.registry_revision : 0);
    }
  }
  return common;
}

} // namespace catkinlanding::proxy
