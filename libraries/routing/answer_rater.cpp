#include <libraries/routing/answer_rater.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::routing {

bool answer_rater::is_available(endpoints::directory const& directory,
                                base::monotonic_time now) const {
  return m_pending.size() < m_options.max_pending && !healthy_raters(directory, now).empty();
}

void answer_rater::request_judgement(std::uint64_t request, rated_answer subject,
                                     endpoints::directory const& directory,
                                     base::monotonic_time now, rater_effects& out) {
  auto const healthy = healthy_raters(directory, now);
  if (healthy.empty() || m_pending.size() >= m_options.max_pending) {
    ++m_unrated;
    out.judgements.push_back({.request = request, .judgement = judgement::unknown});
    return;
  }
  pending_rating pending;
  pending.due = now + m_options.judgement_timeout;
  pending.request = request;
  send(*healthy[m_last_number % healthy.size()], std::move(pending), std::move(subject), out);
}

void answer_rater::request_rating(rating arm, rated_answer subject,
                                  endpoints::directory const& directory, base::monotonic_time now,
                                  rater_effects& out) {
  auto const all_raters = directory.raters(now);
  auto const healthy = healthy_raters(directory, now);
  auto const* rater = rater_due_for_retry(all_raters, now);
  if (rater == nullptr && !healthy.empty()) {
    rater = healthy[m_last_number % healthy.size()];
  }
  if (rater == nullptr || m_pending.size() >= m_options.max_pending) {
    ++m_unrated;
    return;
  }
  if (auto const failed = m_failed.find(rater->announcement.endpoint); failed != m_failed.end()) {
    failed->second = now + m_options.retry_interval;
  }
  pending_rating pending;
  pending.due = now + m_options.sample_timeout;
  pending.arm = std::move(arm);
  send(*rater, std::move(pending), std::move(subject), out);
}

void answer_rater::send(endpoints::directory::record const& rater, pending_rating pending,
                        rated_answer subject, rater_effects& out) {
  auto const number = ++m_last_number;
  pending.rater = rater.announcement.endpoint;
  m_pending.emplace(number, std::move(pending));
  out.rating_requests.push_back(
      {.number = number, .address = rater.announcement.address, .subject = std::move(subject)});
}

void answer_rater::receive(rating_result const& result, base::monotonic_time now,
                           rater_effects& out) {
  auto const it = m_pending.find(result.number);
  if (it == m_pending.end()) {
    // The request timed out already.
    return;
  }
  auto const pending = std::move(it->second);
  m_pending.erase(it);
  if (result.judgement == judgement::unknown) {
    fail(pending, now, out);
    return;
  }
  m_failed.erase(pending.rater);
  if (pending.request) {
    out.judgements.push_back({.request = *pending.request, .judgement = result.judgement});
    return;
  }
  auto rating = pending.arm;
  rating.good = result.judgement == judgement::good ? 1 : 0;
  rating.poor = result.judgement == judgement::poor ? 1 : 0;
  out.ratings.push_back(std::move(rating));
}

void answer_rater::tick(base::monotonic_time now, rater_effects& out) {
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    fail(it->second, now, out);
    it = m_pending.erase(it);
  }
}

void answer_rater::fail(pending_rating const& failed, base::monotonic_time now,
                        rater_effects& out) {
  ++m_unrated;
  if (m_failed.size() >= m_options.max_failed_raters) {
    m_failed.erase(m_failed.begin());
  }
  m_failed[failed.rater] = now + m_options.retry_interval;
  if (failed.request) {
    out.judgements.push_back({.request = *failed.request, .judgement = judgement::unknown});
  }
}

answer_rater::raters answer_rater::healthy_raters(endpoints::directory const& directory,
                                                  base::monotonic_time now) const {
  auto all_raters = directory.raters(now);
  std::erase_if(all_raters,
                [&](auto const* rater) { return m_failed.contains(rater->announcement.endpoint); });
  return all_raters;
}

endpoints::directory::record const*
answer_rater::rater_due_for_retry(raters const& all_raters, base::monotonic_time now) const {
  auto const it = std::ranges::find_if(all_raters, [&](auto const* rater) {
    auto const failed = m_failed.find(rater->announcement.endpoint);
    return failed != m_failed.end() && now >= failed->second;
  });
  return it == all_raters.end() ? nullptr : *it;
}

} // namespace catkinlanding::routing
