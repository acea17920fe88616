#include <libraries/proxy/active_request.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::proxy {

bool active_request::may_run() const {
  bool const can_have_run =
      may_have_run || is_attempting || is_relaying || held || current.has_answer;
  return !can_have_run || route->is_repeatable();
}

bool active_request::needs_model() const {
  return !current.model && !facts.model && !route->models.empty();
}

attempt active_request::begin_attempt(known_endpoint const& chosen, base::monotonic_time now) {
  auto const& announcement = chosen.announcement;
  tried.push_back(announcement.id);
  is_attempting = true;
  current = {.number = relayed_attempts + static_cast<std::uint32_t>(tried.size()),
             .endpoint = announcement.id,
             .version = announcement.version,
             .incarnation = announcement.number.incarnation,
             .model = std::move(current.model),
             .model_weight = current.model_weight,
             .began_at = now,
             .progress_at = now};
  current.pending_work = work_of(facts.prompt_tokens);
  return {.number = current.number,
          .endpoint = current.endpoint,
          .incarnation = current.incarnation,
          .address = announcement.address,
          .version = current.version,
          .model = current.model,
          .customer = customer,
          .priority = priority,
          .deadline = deadline,
          .is_stream = route->is_stream(),
          .is_resumable = route->kind == route_kind::resumable_stream,
          .route = route->name,
          .document_revision = routes->revision(),
          .load = chosen.load(),
          .prompt = names_of(facts.prompt),
          .fingerprint = traits.fingerprint,
          .held_endpoint = held ? held->state.endpoint : base::endpoint_id{}};
}

relay active_request::begin_relay(base::instance_id const& peer) {
  relays.push_back(peer);
  std::erase(interrupted_relays, peer);
  is_relaying = true;
  tally_before_relay = tally();
  tally_of_relay.reset();
  bool const has_begun = has_delivered || current.has_event;
  return {.peer = peer,
          .attempts_before = tally_before_relay.attempts,
          .endings_before = tally_before_relay.endings,
          .model = has_begun ? current.model : std::nullopt,
          .may_have_run = may_have_run,
          .deadline = deadline,
          .is_stream = route->is_stream(),
          .route = route->name,
          .customer = customer.value_or(base::customer_id{})};
}

void active_request::end_relay(attempt_failure failure) {
  is_relaying = false;
  if (!may_have_run_after(failure)) {
    return;
  }
  may_have_run = true;
  auto const& before = tally_before_relay;
  bool const is_known = tally_of_relay && tally_of_relay->attempts >= before.attempts &&
                        tally_of_relay->endings >= before.endings;
  if (!is_known) {
    is_relay_spent = true;
    return;
  }
  auto const used = tally_of_relay->attempts - before.attempts;
  relayed_attempts += std::min(used, route->max_attempts);
  endings += tally_of_relay->endings - before.endings;
  if (failure != attempt_failure::failed_answer) {
    interrupted_relays.push_back(relays.back());
  }
}

relay_tally active_request::hand_over() {
  auto const left = attempts_left();
  // Only this instance sees that an endpoint falls silent in the middle of a stream.
  std::uint32_t const kept =
      route->kind == route_kind::resumable_stream ? std::min<std::uint32_t>(left, 1) : 0;
  // Another model could not continue the answer of this one, and the other instance knows only the
  // smallest.
  bool const is_known_model =
      !current.model || route->models.empty() || *current.model == route->models.front();
  auto const used = tally();
  if (!is_known_model) {
    return {.attempts = used.attempts + left, .endings = used.endings + left};
  }
  handed_over += left - kept;
  return {.attempts = used.attempts + kept, .endings = used.endings + kept};
}

relay_tally active_request::tally() const {
  return {.attempts =
              facts.attempts_before + relayed_attempts + static_cast<std::uint32_t>(tried.size()),
          .endings = static_cast<std::uint32_t>(endings)};
}

attempt_state const& active_request::attempt_at(base::endpoint_id const& id) const {
  return held && held->state.endpoint == id ? held->state : current;
}

void active_request::note_unreached(base::endpoint_id const& id) {
  std::erase(tried, id);
  unreached.push_back(id);
}

bool active_request::has_been_sent_to(base::endpoint_id const& id) const {
  return std::ranges::find(tried, id) != tried.end() ||
         std::ranges::find(unreached, id) != unreached.end();
}

std::uint32_t active_request::attempts_left() const {
  auto const taken = tally().attempts + handed_over;
  return is_relay_spent ? 0 : route->max_attempts - std::min(route->max_attempts, taken);
}

std::uint32_t active_request::slots() const {
  auto const* known = routes->find(service);
  return known == nullptr ? 0 : known->slots;
}

std::uint64_t active_request::work_of(std::uint64_t tokens) const {
  return static_cast<std::uint64_t>(
      std::llround(current.model_weight * static_cast<double>(tokens)));
}

std::uint64_t active_request::shared_prompt_tokens() const {
  auto const own_tokens = facts.prompt.empty() ? 0 : facts.prompt.back().tokens;
  return facts.prompt_tokens - std::min(facts.prompt_tokens, own_tokens);
}

refusal active_request::describe(refusal made) const {
  made.route = route->name;
  made.customer = customer.value_or(base::customer_id{});
  return made;
}

refusal_kind active_request::final_refusal(bool is_over) const {
  if (may_have_run) {
    return is_over ? refusal_kind::expired : refusal_kind::outcome_unknown;
  }
  return is_over ? refusal_kind::expired_unsent : refusal_kind::not_run;
}

} // namespace catkinlanding::proxy
