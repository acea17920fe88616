#include <libraries/proxy/pending_calls.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

bool knows(known_state const& known, known_state const& wanted) {
  return known.registry_term == wanted.registry_term &&
         known.registry_revision >= wanted.registry_revision;
}

} // namespace

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
  std::erase_if(m_unconfirmed, [&](unconfirmed_call const& call) {
    bool const is_done = now >= call.expires_at || is_confirmed(call.state, downstreams, now);
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

bool pending_calls::is_confirmed(known_state const& state, downstream_table const& downstreams,
                                 base::monotonic_time now) const {
  return std::ranges::all_of(downstreams.all(), [&](auto const& item) {
    auto const& downstream = item.second;
    bool const is_live = now < downstream.last_request_at + m_options.live_timeout;
    return !downstream.is_entry || !is_live || knows(downstream.known, state);
  });
}

} // namespace catkinlanding::proxy
