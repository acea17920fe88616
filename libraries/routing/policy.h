#pragma once

#include <libraries/base/time.h>
#include <libraries/catalogue/document.h>
#include <libraries/endpoints/directory.h>
#include <libraries/routing/message.h>

#include <tl/expected.hpp>

#include <optional>
#include <set>

/// Selection of the version and the endpoint for each attempt.
namespace catkinlanding::routing {

enum class choice_error : std::uint8_t {
  unknown_model,
  not_allowed,
  /// Every allowed version is withdrawn, or is on trial while this instance has no lease.
  no_version,
  no_endpoint,
  /// Endpoints exist, but all of them are at capacity.
  busy,
  /// The session is bound to a version whose breaker is open.
  version_suspended,
};

struct choice {
  base::model_id model;
  base::version_id version;
  base::endpoint_id endpoint;
  /// The version that the request is retried with if the answer is judged poor. Empty if the answer
  /// is delivered unjudged.
  base::version_id escalates_to;
  /// Whether the answer should be rated after delivery: always for exploration and probes,
  /// otherwise for a random sample.
  bool wants_rating = false;
};

/// Requirements of one attempt.
struct version_query {
  catalogue::customer const* customer = nullptr;
  base::model_id model;
  /// Set where the caller or its session is bound to one version.
  std::optional<base::version_id> version;
  double quality_target = 0.0;
  /// Endpoints that already failed for this request.
  std::set<base::endpoint_id> excluded;
  base::class_id request_class;
  /// Requests of one session share a prompt prefix.
  std::optional<base::session_id> session;
  /// Whether the choice binds all requests of the session. Probes and exploration are skipped then.
  bool binds_session = false;
  /// Whether the answer can be held back, judged, and replaced by one from another version.
  bool can_escalate = false;
};

/// The state of the system on which a choice is based.
struct routing_context {
  catalogue::document const& document;
  /// Whether this instance holds a lease, under which its catalogue is known to be current.
  bool has_lease = false;
  /// Time since the lease expired.
  base::duration without_lease{};
  endpoints::directory const& directory;
};

enum class attempt_verdict : std::uint8_t {
  answered,
  /// The answer was complete but contained no token.
  empty,
  /// The endpoint answered with an error.
  failed,
  /// The endpoint was unreachable, refused the attempt or broke off. Not evidence on the version.
  endpoint_lost,
};

/// Outcome of one attempt.
struct attempt_result {
  base::model_id model;
  base::version_id version;
  base::endpoint_id endpoint;
  attempt_verdict verdict = attempt_verdict::answered;
  /// Time from the first to the last byte of the answer.
  base::duration generation{};
  std::uint64_t completion_tokens = 0;
};

/// The rating of one answer, or the sum of several.
struct rating {
  base::model_id model;
  base::version_id version;
  /// The version that would have replaced a poor answer of `version`, if any.
  base::version_id second;
  base::class_id request_class;
  std::uint32_t good = 0;
  std::uint32_t poor = 0;
};

/// Interface of the routing policies. The baselines of the experiments implement it as well.
class policy {
public:
  virtual ~policy() = default;

  [[nodiscard]] virtual tl::expected<choice, choice_error>
  choose(version_query const& query, routing_context const& routing_context,
         base::monotonic_time now) = 0;

  [[nodiscard]] virtual tl::expected<base::endpoint_id, choice_error>
  choose_service_endpoint(base::service_id const& service,
                          std::set<base::endpoint_id> const& excluded,
                          routing_context const& routing_context, base::monotonic_time now) = 0;

  virtual void observe(attempt_result const& /*result*/, base::monotonic_time /*now*/) {}
  virtual void observe(rating const& /*rating*/, base::monotonic_time /*now*/) {}

  /// Records a rating service's judgement of an answer that was held back for it. A poor answer is
  /// replaced where possible.
  virtual void observe_judgement(base::model_id const& /*model*/,
                                 base::version_id const& /*version*/,
                                 base::class_id const& /*request_class*/, bool /*is_poor*/,
                                 base::monotonic_time /*now*/) {}

  virtual void receive(message const& /*message*/, base::monotonic_time /*now*/) {}
  virtual void tick(base::monotonic_time /*now*/, effects& /*out*/) {}
};

/// Whether this instance may send new work to the version.
[[nodiscard]] bool can_receive_work(catalogue::version const& version, bool has_lease,
                                    base::duration without_lease);

} // namespace catkinlanding::routing
