#include <libraries/proxy/downstream_table.h>

namespace catkinlanding::proxy {

bool downstream_table::note(base::instance_id const& from, subscription const& subscription,
                            base::monotonic_time now) {
  auto const [entry, is_new] = m_downstreams.try_emplace(from);
  auto& downstream = entry->second;
  forget(downstream);
  downstream.known = subscription.known;
  downstream.is_entry = subscription.is_entry;
  downstream.is_cut_off = subscription.is_cut_off;
  downstream.last_request_at = now;
  downstream.loads = subscription.loads;
  // Each start counts its reports from 1.
  bool const has_restarted = subscription.report <= downstream.report;
  downstream.has_restarted |= has_restarted;
  if (has_restarted) {
    downstream.deliveries.reset();
  }
  downstream.deliveries.note_known(subscription.known);
  downstream.report = subscription.report;
  m_totals.add(downstream.loads);
  m_entries += downstream.is_entry ? 1 : 0;
  return is_new;
}

void downstream_table::note_known(base::instance_id const& from, known_state const& known) {
  auto const found = m_downstreams.find(from);
  if (found != m_downstreams.end()) {
    found->second.known = known;
    found->second.deliveries.note_known(known);
  }
}

std::vector<base::instance_id> downstream_table::drop_silent(base::monotonic_time now) {
  std::vector<base::instance_id> dropped;
  std::erase_if(m_downstreams, [&](auto const& item) {
    bool const is_silent = now >= item.second.last_request_at + m_options.timeout;
    if (is_silent) {
      forget(item.second);
      dropped.push_back(item.first);
    }
    return is_silent;
  });
  return dropped;
}

void downstream_table::clear() {
  m_downstreams.clear();
  m_entries = 0;
  m_totals.clear();
  m_summarized_at.reset();
  m_relays.clear();
  m_relays_listed_at.reset();
}

load_summary downstream_table::loads_for(downstream const& receiver, base::monotonic_time now) {
  if (!m_summarized_at || now >= *m_summarized_at + m_options.summary_lifetime) {
    summarize_loads(now);
  }
  return {.totals = m_summary, .counted_report = receiver.summarized_report};
}

std::vector<base::instance_id> downstream_table::relay_peers_for(base::instance_id const& receiver,
                                                                 base::monotonic_time now) {
  if (!m_relays_listed_at || now >= *m_relays_listed_at + m_options.relay_list_lifetime) {
    list_relays(now);
  }
  std::vector<base::instance_id> named;
  for (std::size_t step = 0; step < m_relays.size(); ++step) {
    auto const& candidate = m_relays[m_next_relay++ % m_relays.size()];
    if (candidate != receiver) {
      named.push_back(candidate);
    }
    if (named.size() == m_options.relay_peers) {
      break;
    }
  }
  return named;
}

void downstream_table::list_relays(base::monotonic_time now) {
  m_relays_listed_at = now;
  m_relays = live_entries(now);
}

std::vector<base::instance_id> downstream_table::live_entries(base::monotonic_time now) const {
  std::vector<base::instance_id> live;
  for (auto const& [id, downstream] : m_downstreams) {
    bool const is_live = now < downstream.last_request_at + m_options.live_timeout;
    if (downstream.is_entry && !downstream.is_cut_off && is_live) {
      live.push_back(id);
    }
  }
  return live;
}

void downstream_table::forget(downstream const& lost) {
  m_totals.remove(lost.loads);
  m_entries -= lost.is_entry ? 1 : 0;
}

void downstream_table::summarize_loads(base::monotonic_time now) {
  m_summarized_at = now;
  m_summary = m_totals.all();
  for (auto& [id, downstream] : m_downstreams) {
    downstream.summarized_report = downstream.report;
  }
}

} // namespace catkinlanding::proxy
