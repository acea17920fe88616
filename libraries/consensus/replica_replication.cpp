#include <libraries/base/verify.h>
#include <libraries/consensus/replica.h>

#include <algorithm>

namespace catkinlanding::consensus {

log_index replica::append_as_leader(log_entry entry, base::monotonic_time now, effects& out) {
  entry.index = last_index() + 1;
  auto const index = entry.index;
  auto& write = add_write(out);
  write.entries.push_back(entry);
  bool const has_configuration = entry.configuration.has_value();
  m_log.push_back(std::move(entry));
  if (has_configuration) {
    refresh_configuration();
    // A founder whose log is empty can store the first configuration at once, as nothing precedes
    // it.
    track_members(index, now);
  }
  send_when_durable(write, {}, false);
  replicate(now, out);
  return index;
}

void replica::track_members(log_index first_index, base::monotonic_time now) {
  auto const is_member = [this](voter const& v) {
    return v != m_options.self && v.has_disk() &&
           (m_configuration.is_voter(v) || m_configuration.is_learner(v));
  };
  std::erase_if(m_progress, [&](auto const& item) { return !is_member(item.first); });
  auto const track = [&](voter const& v) {
    if (is_member(v) && !m_progress.contains(v)) {
      progress fresh;
      fresh.next_index = first_index;
      fresh.last_contact = now;
      m_progress.emplace(v, fresh);
    }
  };
  std::ranges::for_each(m_configuration.voters, track);
  std::ranges::for_each(m_configuration.learners, track);
}

void replica::replicate(base::monotonic_time now, effects& out) {
  for (auto& [target, progress] : m_progress) {
    bool const has_new_entries =
        progress.next_index <= last_index() && !progress.is_receiving_snapshot;
    bool const is_due = now >= progress.last_sent + m_options.heartbeat_interval;
    if (has_new_entries || is_due) {
      replicate_to(target, progress, now, out);
    }
  }
}

void replica::replicate_to(voter const& target, progress& progress, base::monotonic_time now,
                           effects& out) {
  progress.last_sent = now;
  if (progress.next_index <= m_snapshot.index) {
    send_snapshot_chunk(target, progress, now, out);
    return;
  }
  progress.is_receiving_snapshot = false;
  auto entries = entries_from(progress.next_index);
  append_request request{
      .term = m_hard_state.term,
      .leader = m_options.self,
      .target = target,
      .previous_index = progress.next_index - 1,
      .previous_term = *term_at(progress.next_index - 1),
      .entries = std::move(entries),
      .commit_index = m_commit_index,
      .sent_at = now.time_since_epoch(),
  };
  // Entries are pipelined without waiting for the response. If a request is lost, the follower
  // rejects the next heartbeat, because it doesn't have the entry at its previous index.
  progress.next_index += request.entries.size();
  out.messages.push_back({target.instance, std::move(request)});
}

bool replica::is_part_under_way(progress const& progress, base::monotonic_time now) const {
  auto const& last = progress.last_part;
  return last && last->index == m_snapshot.index && last->offset == progress.snapshot_offset &&
         now < last->at + m_options.resend_interval;
}

void replica::send_snapshot_chunk(voter const& target, progress& progress, base::monotonic_time now,
                                  effects& out) {
  progress.is_receiving_snapshot = true;
  auto const& state = m_snapshot.state;
  auto const offset = std::min<std::uint64_t>(progress.snapshot_offset, state.size());
  bool const is_under_way = is_part_under_way(progress, now);
  auto part = is_under_way ? std::string{} : state.substr(offset, m_options.snapshot_chunk_bytes);
  bool const is_last = !is_under_way && offset + part.size() == state.size();
  auto const& last = progress.last_part;
  bool const was_lost =
      !is_under_way && last && last->index == m_snapshot.index && last->offset == offset;
  if (!is_under_way) {
    progress.last_part = sent_part{.index = m_snapshot.index, .offset = offset, .at = now};
  }
  out.messages.push_back({target.instance,
                          snapshot_request{
                              .term = m_hard_state.term,
                              .leader = m_options.self,
                              .target = target,
                              .index = m_snapshot.index,
                              .index_term = m_snapshot.term,
                              .configuration = m_snapshot.configuration,
                              .offset = offset,
                              .bytes = std::move(part),
                              .is_last = is_last,
                              .sent_at = now.time_since_epoch(),
                          },
                          was_lost});
}

void replica::handle(base::instance_id const& /*from*/, append_response const& response,
                     base::monotonic_time now, effects& out) {
  if (response.term > m_hard_state.term) {
    persist_later_term(response.term, now, out);
    return;
  }
  auto const it = m_progress.find(response.voter);
  if (m_role != role::leader || response.term != m_hard_state.term || it == m_progress.end()) {
    return;
  }
  auto& progress = it->second;
  progress.last_contact = now;
  progress.acknowledged_sent_at =
      std::max(progress.acknowledged_sent_at, base::monotonic_time(response.request_sent_at));
  if (response.is_success) {
    progress.match_index = std::max(progress.match_index, response.index);
    progress.next_index = std::max(progress.next_index, progress.match_index + 1);
    advance_commit(out);
    replicate(now, out);
    if (m_transfer_deadline) {
      transfer_leadership(now, out);
    }
    return;
  }
  auto const missing =
      std::max(progress.match_index + 1, std::min(progress.next_index, response.index + 1));
  resend(it->first, progress, missing, now, out);
}

void replica::resend(voter const& target, progress& progress, log_index from,
                     base::monotonic_time now, effects& out) {
  bool const was_just_resent =
      from >= progress.resent_from && now < progress.resent_at + m_options.resend_interval;
  if (was_just_resent && from < progress.next_index) {
    return;
  }
  bool const were_entries_sent = from < progress.next_index;
  progress.next_index = from;
  progress.resent_from = from;
  progress.resent_at = now;
  auto const first = out.messages.size();
  replicate_to(target, progress, now, out);
  for (auto i = first; i < out.messages.size(); ++i) {
    out.messages[i].needs_new_connection = were_entries_sent;
  }
}

void replica::handle(base::instance_id const& /*from*/, snapshot_response const& response,
                     base::monotonic_time now, effects& out) {
  if (response.term > m_hard_state.term) {
    persist_later_term(response.term, now, out);
    return;
  }
  auto const it = m_progress.find(response.voter);
  if (m_role != role::leader || response.term != m_hard_state.term || it == m_progress.end()) {
    return;
  }
  auto& progress = it->second;
  progress.last_contact = now;
  progress.acknowledged_sent_at =
      std::max(progress.acknowledged_sent_at, base::monotonic_time(response.request_sent_at));
  if (response.index != m_snapshot.index) {
    progress.snapshot_offset = 0;
  } else if (response.is_installed) {
    progress.is_receiving_snapshot = false;
    progress.snapshot_offset = 0;
    progress.match_index = std::max(progress.match_index, response.index);
    progress.next_index = std::max(progress.next_index, progress.match_index + 1);
  } else {
    progress.snapshot_offset = response.received;
  }
  if (!response.is_installed && is_part_under_way(progress, now)) {
    return;
  }
  replicate_to(it->first, progress, now, out);
}

void replica::advance_commit(effects& out) {
  std::vector<log_index> matches;
  for (auto const& v : m_configuration.voters) {
    if (v == m_options.self) {
      matches.push_back(m_durable_index);
    } else if (auto const it = m_progress.find(v); it != m_progress.end()) {
      matches.push_back(it->second.match_index);
    }
  }
  if (matches.size() < m_configuration.quorum()) {
    return;
  }
  std::ranges::sort(matches, std::greater{});
  auto const index = matches[m_configuration.quorum() - 1];
  // Entries of earlier terms are committed only together with an entry of the current term.
  if (index > m_commit_index && term_at(index) == m_hard_state.term) {
    commit_to(index, out);
  }
}

void replica::commit_to(log_index index, effects& out) {
  CATKINLANDING_VERIFY(index <= last_index());
  while (m_commit_index < index) {
    ++m_commit_index;
    out.committed.push_back(entry_at(m_commit_index));
  }
}

// At a follower.

void replica::handle(base::instance_id const& from, append_request const& request,
                     base::monotonic_time now, effects& out) {
  if (request.target != m_options.self) {
    return;
  }
  append_response response{.term = m_hard_state.term,
                           .voter = m_options.self,
                           .is_success = false,
                           .index = last_index(),
                           .request_sent_at = request.sent_at};
  if (request.term < m_hard_state.term) {
    out.messages.push_back({from, response});
    return;
  }
  bool is_term_new = false;
  if (request.term > m_hard_state.term) {
    adopt_term(request.term, now);
    is_term_new = true;
  }
  follow(request.leader, now);
  response.term = m_hard_state.term;

  auto const known_term = term_at(request.previous_index);
  bool const is_matching =
      request.previous_index < m_snapshot.index || known_term == request.previous_term;
  std::vector<log_entry> appended;
  std::optional<log_index> truncated;
  if (is_matching) {
    for (auto const& entry : request.entries) {
      if (entry.index <= m_snapshot.index) {
        continue;
      }
      auto const present = term_at(entry.index);
      if (present == entry.term) {
        continue;
      }
      if (present) {
        CATKINLANDING_VERIFY(entry.index > m_commit_index);
        truncate_from(entry.index);
        truncated = truncated.value_or(entry.index);
      }
      CATKINLANDING_VERIFY(entry.index == last_index() + 1 && entry.term >= last_term());
      m_log.push_back(entry);
      appended.push_back(entry);
    }
    auto const last_matching = request.previous_index + request.entries.size();
    response.is_success = true;
    response.index = last_matching;
    if (!appended.empty()) {
      refresh_configuration();
    }
    auto const commit = std::min(request.commit_index, last_matching);
    if (commit > m_commit_index) {
      commit_to(commit, out);
    }
  } else if (request.previous_index > 0) {
    response.index = last_index_before_conflict(request.previous_index);
  }
  if (appended.empty() && !truncated && !is_term_new && m_durable_index >= response.index) {
    out.messages.push_back({from, response});
    return;
  }
  auto& write = add_write(out);
  if (is_term_new) {
    write.hard_state = m_hard_state;
  }
  write.truncate_from = truncated;
  write.entries = std::move(appended);
  send_when_durable(write, {{from, response}}, false);
}

void replica::handle(base::instance_id const& from, snapshot_request const& request,
                     base::monotonic_time now, effects& out) {
  if (request.target != m_options.self) {
    return;
  }
  if (request.term < m_hard_state.term) {
    // Without a response, a leader that only sends snapshots would never learn the later term.
    out.messages.push_back({from, snapshot_response{.term = m_hard_state.term,
                                                    .voter = m_options.self,
                                                    .index = request.index,
                                                    .received = 0,
                                                    .is_installed = false,
                                                    .request_sent_at = request.sent_at}});
    return;
  }
  bool const is_term_new = request.term > m_hard_state.term;
  if (is_term_new) {
    adopt_term(request.term, now);
  }
  follow(request.leader, now);
  bool const is_continued = m_partial_snapshot && m_partial_snapshot->index == request.index &&
                            m_partial_snapshot->leader_term == request.term;
  if (!is_continued) {
    m_partial_snapshot = {.index = request.index, .leader_term = request.term, .bytes = {}};
  }
  auto& partial = *m_partial_snapshot;
  if (request.offset == partial.bytes.size()) {
    partial.bytes += request.bytes;
  }
  bool const is_complete =
      request.is_last && request.offset + request.bytes.size() == partial.bytes.size();
  snapshot_response response{.term = m_hard_state.term,
                             .voter = m_options.self,
                             .index = request.index,
                             .received = partial.bytes.size(),
                             .is_installed = is_complete,
                             .request_sent_at = request.sent_at};
  auto& write = add_write(out);
  if (is_term_new) {
    write.hard_state = m_hard_state;
  }
  if (is_complete && term_at(request.index) == request.index_term) {
    // The log already covers the snapshot. Entries after it may have been acknowledged, so they
    // stay.
    commit_to(request.index, out);
  } else if (is_complete && request.index > m_commit_index) {
    install(request, std::move(partial.bytes));
    write.snapshot = m_snapshot;
    write.truncate_from = request.index + 1;
    out.restored_snapshot = m_snapshot;
  }
  if (is_complete) {
    m_partial_snapshot.reset();
  }
  send_when_durable(write, {{from, response}}, false);
}

void replica::install(snapshot_request const& request, std::string state) {
  invalidate_writes_after(m_commit_index);
  m_log.clear();
  m_snapshot = {.index = request.index,
                .term = request.index_term,
                .configuration = request.configuration,
                .state = std::move(state)};
  m_commit_index = request.index;
  refresh_configuration();
}

} // namespace catkinlanding::consensus
