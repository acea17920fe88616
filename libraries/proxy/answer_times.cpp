#include <libraries/proxy/answer_times.h>

#include <algorithm>

namespace catkinlanding::proxy {

void answer_times::note_answer(active_request const& request, base::monotonic_time now) {
  update(request, now).first.add(now - request.current.began_at);
}

void answer_times::note_pause(active_request const& request, base::duration pause) {
  m_records[key_of(request)].pause.add(pause);
}

void answer_times::note_completed(active_request const& request, base::monotonic_time now) {
  if (!request.current.has_answer || request.has_delivered) {
    // Not answered by an endpoint, or only the rest of the answer came with this attempt.
    return;
  }
  auto& record = update(request, now);
  record.whole.add(now - request.current.began_at);
  if (request.route->is_stream()) {
    record.pause.add(request.current.longest_pause);
  }
}

void answer_times::note_stalled(active_request const& request) {
  if (!request.current.has_answer) {
    m_records[key_of(request)].first.back_off();
  }
}

void answer_times::note_expired(active_request const& request, base::monotonic_time now) {
  note_stalled(request);
  if (!request.has_delivered) {
    // The answer would have taken at least that long.
    update(request, now).whole.add_unfinished(now - request.current.began_at);
  }
}

answer_times::record const& answer_times::of(active_request const& request) const {
  return find(key_of(request));
}

answer_times::record const& answer_times::of(active_request const& request,
                                             std::optional<base::model_id> const& model) const {
  auto key = key_of(request);
  key.model = model.value_or(base::model_id{});
  return find(key);
}

answer_times::record const& answer_times::of_largest_model(active_request const& request) const {
  auto const& models = request.route->models;
  return of(request, models.empty() ? std::nullopt : std::optional(models.back()));
}

double answer_times::relative_work(active_request const& request) const {
  auto const& models = request.route->models;
  auto const smallest = models.empty() ? std::nullopt : std::optional(models.front());
  auto const own_time = of(request).first.usual();
  auto const smallest_time = of(request, smallest).first.usual();
  if (!own_time || !smallest_time || *smallest_time <= base::duration::zero()) {
    return 1.0;
  }
  using seconds = std::chrono::duration<double>;
  return std::max(1.0, seconds(*own_time) / seconds(*smallest_time));
}

void answer_times::keep_only(route_table const& routes) {
  auto const& kept = routes.document().routes;
  std::erase_if(m_records, [&](auto const& item) {
    return std::ranges::find(kept, item.first.route, &route::name) == kept.end();
  });
}

answer_times::key answer_times::key_of(active_request const& request) {
  return {.route = request.route->name,
          .service = request.service,
          .model = request.current.model.value_or(base::model_id{})};
}

answer_times::record& answer_times::update(active_request const& request,
                                           base::monotonic_time now) {
  auto& record = m_records[key_of(request)];
  record.updated_at = now;
  return record;
}

answer_times::record const& answer_times::find(key const& key) const {
  static record const unknown;
  auto const found = m_records.find(key);
  return found == m_records.end() ? unknown : found->second;
}

} // namespace catkinlanding::proxy
