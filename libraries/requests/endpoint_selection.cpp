#include <libraries/base/verify.h>
#include <libraries/requests/endpoint_selection.h>
#include <libraries/sessions/usability.h>

namespace catkinlanding::requests {

namespace {

/// The session's pin, unless it is unknown, or the catalogue does not allow its version now or
/// has disallowed it at any time since the log confirmed it.
std::optional<sessions::pin> usable_pin(active_request const& request,
                                        environment const& environment, base::monotonic_time now) {
  if (!request.session) {
    return std::nullopt;
  }
  auto const& session = *request.session;
  auto const* known = environment.pins->find(session, now);
  if (known == nullptr || !sessions::is_usable(session, known->pin.version, environment.document)) {
    return std::nullopt;
  }
  // If the version was unusable for a while, the session may have moved in the meantime.
  auto const narrowed =
      environment.document.last_narrowed(session.customer, session.model, known->pin.version);
  return known->revision >= narrowed ? std::optional(known->pin) : std::nullopt;
}

} // namespace

tl::expected<base::endpoint_id, routing::choice_error>
choose_endpoint(active_request& request, environment const& environment, base::monotonic_time now) {
  routing::routing_context const routing_context{.document = environment.document,
                                                 .has_lease = environment.has_lease,
                                                 .without_lease = environment.without_lease,
                                                 .directory = environment.directory};
  if (auto const* target = std::get_if<service_target>(&request.incoming.target)) {
    return environment.chooser.choose_service_endpoint(target->service, request.excluded,
                                                       routing_context, now);
  }
  auto const pin = usable_pin(request, environment, now);
  request.needs_pin = request.session && !pin;
  auto bound_to = pin ? std::optional(pin->version) : std::nullopt;
  if (request.held) {
    bound_to = request.escalates_to;
  }
  routing::version_query const query{
      .customer = environment.document.find_customer(request.customer),
      .model = std::get<completion_target>(request.incoming.target).model,
      .version = bound_to,
      .quality_target = request.quality_target,
      .excluded = request.excluded,
      .request_class = request.request_class,
      .session = request.incoming.session,
      .binds_session = request.needs_pin,
      .can_escalate = environment.has_rating_service && !request.incoming.is_stream &&
                      !request.held && !request.session,
  };
  if (query.customer == nullptr) {
    return tl::unexpected(routing::choice_error::not_allowed);
  }
  auto choice = environment.chooser.choose(query, routing_context, now);
  if (!choice) {
    return tl::unexpected(choice.error());
  }
  // Safety checks at the point of dispatch: a version gets no work once it is withdrawn or the
  // lease has been gone for too long, and a customer only uses versions that it is allowed to use.
  auto const* version = environment.document.find_version(choice->model, choice->version);
  CATKINLANDING_VERIFY(
      version != nullptr &&
      routing::can_receive_work(*version, environment.has_lease, environment.without_lease));
  CATKINLANDING_VERIFY(catalogue::is_allowed(*query.customer, choice->model, choice->version));
  // A session stays on its version, also when an answer is poor.
  CATKINLANDING_VERIFY(!pin || choice->version == pin->version);
  CATKINLANDING_VERIFY(!request.session || choice->escalates_to.is_empty());
  request.session_moved_from = pin ? pin->moved_from : base::version_id{};
  request.model = choice->model;
  request.version = choice->version;
  if (!request.held) {
    // Escalated answers must not be sampled for rating more often than accepted first answers.
    request.wants_rating = choice->wants_rating;
    request.escalates_to = choice->escalates_to;
  }
  return choice->endpoint;
}

bool is_pin_unavailable(active_request const& request, environment const& environment,
                        base::monotonic_time now) {
  return request.session && !environment.can_pin && !usable_pin(request, environment, now);
}

} // namespace catkinlanding::requests
