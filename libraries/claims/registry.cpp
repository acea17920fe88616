#include <libraries/base/verify.h>
#include <libraries/claims/registry.h>

#include <algorithm>

namespace catkinlanding::claims {

verdict registry::apply(command const& command) {
  // The clock of a new leader may start before the last command of its predecessor.
  m_clock = std::max(m_clock, command.at);
  expire_old_records();
  auto result = std::visit([this](auto const& action) { return apply(action); }, command.action);
  CATKINLANDING_VERIFY(m_records.size() <= max_claims);
  CATKINLANDING_VERIFY(m_answer_bytes <= max_total_answer_bytes);
  return result;
}

verdict registry::apply(claim const& claim) {
  auto const it = m_records.find(claim.request);
  if (it == m_records.end()) {
    if (m_records.size() >= max_claims) {
      return {.kind = verdict_kind::full};
    }
    grant(claim);
    return {.kind = verdict_kind::granted};
  }
  auto result = decide_existing(it->second, claim);
  if (result.kind == verdict_kind::granted && it->second.phase == phase::released) {
    grant(claim);
  }
  return result;
}

verdict registry::decide_existing(record const& record, claim const& claim) const {
  bool const is_same_holder = record.holder == claim.holder;
  if (record.phase == phase::released) {
    return {.kind = is_same_holder ? verdict_kind::already_released : verdict_kind::granted};
  }
  if (record.phase == phase::finished) {
    // Nothing else can run under this key any more, so the other content has certainly not run.
    if (record.digest != claim.digest) {
      return {.kind = verdict_kind::content_mismatch};
    }
    return {.kind = verdict_kind::finished, .result = record.result, .answer = record.answer};
  }
  if (is_same_holder) {
    return {.kind = verdict_kind::granted};
  }
  if (m_clock >= record.run_deadline) {
    return {.kind = verdict_kind::finished, .result = run_result::unknown};
  }
  return {.kind = verdict_kind::running_elsewhere};
}

verdict registry::apply(finish const& finish) {
  auto const it = m_records.find(finish.request);
  bool const is_running = it != m_records.end() && it->second.phase == phase::running;
  if (is_running && it->second.holder == finish.holder) {
    auto& record = it->second;
    record.phase = phase::finished;
    record.result = finish.result;
    touch(finish.request, record);
    if (finish.answer) {
      store_answer(finish.request, record, *finish.answer);
    }
  }
  return {.kind = verdict_kind::recorded};
}

verdict registry::apply(release const& release) {
  auto const it = m_records.find(release.request);
  if (it == m_records.end()) {
    // The release arrived before its claim, which must then not be granted.
    if (m_records.size() < max_claims) {
      auto& record = m_records[release.request];
      record.phase = phase::released;
      record.holder = release.holder;
      touch(release.request, record);
    }
  } else if (it->second.phase == phase::running && it->second.holder == release.holder) {
    it->second.phase = phase::released;
    touch(release.request, it->second);
  }
  return {.kind = verdict_kind::recorded};
}

void registry::grant(claim const& claim) {
  auto& record = m_records[claim.request];
  record.phase = phase::running;
  record.digest = claim.digest;
  record.holder = claim.holder;
  record.run_deadline = m_clock + claim.max_run_time;
  touch(claim.request, record);
}

void registry::touch(base::request_id const& request, record& record) {
  m_by_age.erase({record.touched_at, request});
  record.touched_at = m_clock;
  m_by_age.emplace(m_clock, request);
}

void registry::store_answer(base::request_id const& request, record& record,
                            stored_answer const& answer) {
  auto const size = answer.body.size() + answer.content_type.size();
  if (size > max_stored_answer_bytes) {
    return;
  }
  while (m_answer_bytes + size > max_total_answer_bytes) {
    auto const oldest = m_answers_by_age.begin()->second;
    drop_answer(oldest, m_records.at(oldest));
  }
  record.answer = answer;
  m_answer_bytes += size;
  m_answers_by_age.emplace(record.touched_at, request);
}

void registry::drop_answer(base::request_id const& request, record& record) {
  if (record.answer) {
    m_answer_bytes -= record.answer->body.size() + record.answer->content_type.size();
    m_answers_by_age.erase({record.touched_at, request});
    record.answer.reset();
  }
}

void registry::expire_old_records() {
  while (!m_answers_by_age.empty() &&
         m_answers_by_age.begin()->first + answer_retention <= m_clock) {
    auto const request = m_answers_by_age.begin()->second;
    drop_answer(request, m_records.at(request));
  }
  while (!m_by_age.empty() && m_by_age.begin()->first + retention <= m_clock) {
    auto const oldest = m_by_age.begin();
    m_records.erase(oldest->second);
    m_by_age.erase(oldest);
  }
}

} // namespace catkinlanding::claims
