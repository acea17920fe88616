#include <libraries/base/hash.h>
#include <libraries/requests/active_request.h>

namespace catkinlanding::requests {

namespace {

constexpr std::uint64_t tokens_per_price_unit = 1000;
/// How long after the request's deadline the claim holder can still report the outcome.
constexpr base::duration claim_grace = std::chrono::seconds(5);
/// The last event of a complete stream, as clients expect it.
constexpr std::string_view stream_end_marker = "[DONE]";

/// Hashes the content of a request, to detect an idempotency key that is reused for another one.
std::uint64_t content_digest(caller_request const& incoming) {
  auto const& target = std::get<service_target>(incoming.target);
  std::uint64_t digest = base::stable_hash(target.service.value);
  digest = base::stable_hash(target.method, digest);
  digest = base::stable_hash(target.path, digest);
  digest = base::stable_hash(incoming.content_type, digest);
  return base::stable_hash(*incoming.body, digest);
}

/// Whether the end marker of a stream lies in `piece` or across the boundary to the pieces before
/// it, whose last bytes are kept in `tail`.
bool contains_stream_end(std::string& tail, std::string_view piece) {
  tail += piece;
  bool const is_found = tail.find(stream_end_marker) != std::string::npos;
  if (tail.size() >= stream_end_marker.size()) {
    tail.erase(0, tail.size() - (stream_end_marker.size() - 1));
  }
  return is_found;
}

} // namespace

limits::admission::work active_request::work() const {
  auto const* completion = std::get_if<completion_target>(&incoming.target);
  return {.number = incoming.number,
          .customer = customer,
          .model = completion == nullptr ? base::model_id{} : completion->model,
          .request_class = request_class,
          .priority = priority,
          .arrived_at = arrived_at,
          .due = expires_at};
}

bool active_request::is_claim_valid(base::duration claim_validity, base::monotonic_time now) const {
  // After that the log may have expired the key and granted it to another holder.
  return is_claim_granted && now < claimed_at + claim_validity;
}

bool active_request::is_rejected() const {
  constexpr std::uint32_t first_error_status = 400;
  return status >= first_error_status;
}

billing::bill_line active_request::bill_line(token_usage const& usage,
                                             catalogue::document const& document) const {
  billing::bill_line line{.model = model,
                          .version = version,
                          .service = {},
                          .prompt_tokens = usage.prompt_tokens,
                          .completion_tokens = usage.completion_tokens,
                          .price = 0};
  if (auto const* target = std::get_if<service_target>(&incoming.target)) {
    line.service = target->service;
    if (auto const* service = document.find_service(target->service)) {
      line.price = service->price_per_call;
    }
  } else if (auto const* known = document.find_version(model, version)) {
    line.price = (usage.prompt_tokens + usage.completion_tokens) *
                 known->price_per_thousand_tokens / tokens_per_price_unit;
  }
  return line;
}

routing::rated_answer active_request::answer_to_rate(std::string answer) const {
  return {.model = model,
          .version = version,
          .request_class = request_class,
          .request = incoming.body,
          .answer = std::move(answer)};
}

claims::claim active_request::claim(base::monotonic_time now) const {
  return {.request = id,
          .digest = content_digest(incoming),
          .holder = *holder,
          .max_run_time = expires_at - now + claim_grace};
}

bool active_request::is_stream_end(std::string_view piece) {
  return contains_stream_end(stream_tail, piece);
}

} // namespace catkinlanding::requests
