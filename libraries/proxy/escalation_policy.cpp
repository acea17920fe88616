#include <libraries/proxy/escalation_policy.h>

#include <algorithm>
#include <map>

namespace catkinlanding::proxy {

bool may_be_escalated(active_request const& request) {
  auto const& models = request.route->models;
  bool const has_larger =
      request.current.model && !models.empty() && *request.current.model != models.back();
  return has_larger && request.may_run_again() && !request.has_delivered;
}

bool can_escalate(active_request const& request, answer_times const& times,
                  std::vector<known_endpoint const*> const& endpoints, base::monotonic_time now) {
  auto const& known = times.of_largest_model(request);
  auto const work = known.whole.usual();
  bool const has_time =
      !work || !known.is_current(*request.route, now) || now + *work <= request.deadline;
  auto const slots = request.slots();
  return has_time && std::ranges::any_of(endpoints, [&](known_endpoint const* one) {
           return !request.has_been_sent_to(one->announcement.id) && one->is_idle(slots);
         });
}

base::model_id const& model_for_single_attempt(active_request const& request,
                                               answer_times const& times,
                                               std::vector<known_endpoint const*> const& endpoints,
                                               base::monotonic_time now) {
  auto const& models = request.route->models;
  return can_escalate(request, times, endpoints, now) ? models.back() : models.front();
}

cascade::capacity capacity_of(std::vector<known_endpoint const*> const& endpoints,
                              std::uint32_t slots) {
  auto const idle = std::ranges::count_if(
      endpoints, [&](known_endpoint const* one) { return one->is_idle(slots); });
  return {.idle = static_cast<std::size_t>(idle), .ready = endpoints.size()};
}

std::uint32_t retries_after_zone_loss(std::vector<known_endpoint const*> const& endpoints) {
  std::map<base::availability_zone_id, std::uint32_t> by_zone;
  std::uint32_t most = 0;
  for (auto const* one : endpoints) {
    auto& requests = by_zone[one->announcement.zone];
    requests += one->own_outstanding;
    most = std::max(most, requests);
  }
  return most;
}

} // namespace catkinlanding::proxy
