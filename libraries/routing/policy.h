#pragma once

#include <libraries/base/time.h>
#include <libraries/catalogue/document.h>
#include <libraries/endpoints/directory.h>
#include <libraries/routing/message.h>

#include <tl/expected.hpp>

#include <optional>
#include <set>

/// Picks the version and the endpoint for one attempt.
namespace catkinlanding::routing {

enum class choice_error : std::uint8_t {
  unknown_model,
  not_allowed,
  /// Every allowed version is withdrawn, or on trial without a lease.
  no_version,
  no_endpoint,
  /// Endpoints exist, and all of them have as much work as they should get now.
  busy,
  /// The session is bound to a version whose breaker is open.
  version_suspended,
};

struct choice {
  base::model_id model;
  base::version_id version;
  base::endpoint_id endpoint;
  /// Who is asked next where the answer is judged poor; empty where the answer stands as it is.
  base::version_id escalates_to;
  /// Whether little is known of this way to answer, so that the answer should be rated.
  bool wants_rating = false;
};

/// What one attempt asks for.
struct version_query {
  catalogue::customer const* customer = nullptr;
  base::model_id model;
  /// Set where the caller or its session is bound to one version.
  std::optional<base::version_id> version;
  double quality_target = 0.0;
  /// Endpoints that failed this request already.
  std::set<base::endpoint_id> excluded;
  base::class_id request_class;
  /// Requests of one session share a prompt prefix.
  std::optional<base::session_id> session;
  /// Whether the choice binds the session for all its requests: no probes and no trials then.
  bool binds_session = false;
  /// Whether the answer can be held back, judged, and asked for again from another version.
  bool can_escalate = false;
};

/// The knowledge that a choice is made from.
struct routing_context {
  catalogue::document const& document;
  bool has_lease = false;
  /// Time since the lease ended.
  base::duration without_lease{};
  endpoints::directory const& directory;
};

enum class attempt_verdict : std::uint8_t {
  answered,
  /// The answer was whole and held no token.
  empty,
  /// The endpoint answered with an error of its own.
  failed,
  /// The endpoint could not be reached, refused or broke off; this says nothing of the version.
  endpoint_lost,
};

/// How one attempt ended.
struct attempt_result {
  base::model_id model;
  base::version_id version;
  base::endpoint_id endpoint;
  attempt_verdict verdict = attempt_verdict::answered;
  /// From the first byte of the answer to its last.
  base::duration generation{};
  std::uint64_t completion_tokens = 0;
};

/// What the rating service says of one answer, or the sum of what it says of several.
struct rating {
  base::model_id model;
  base::version_id version;
  /// Set where a poor answer of `version` would have been replaced by one of this version.
  base::version_id second;
  base::class_id request_class;
  std::uint32_t good = 0;
  std::uint32_t poor = 0;
};

/// How versions and endpoints are chosen. The strategies that the product is measured against
/// implement the same interface.
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

  /// What an inline judge said of a first answer: whether it was replaced.
  virtual void observe_judgement(base::model_id const& /*model*/,
                                 base::version_id const& /*version*/,
                                 base::class_id const& /*request_class*/, bool /*is_poor*/,
                                 base::monotonic_time /*now*/) {}

  virtual void receive(message const& /*message*/, base::monotonic_time /*now*/) {}
  virtual void tick(base::monotonic_time /*now*/, effects& /*out*/) {}
};

/// Whether the version may get new work from this instance.
[[nodiscard]] bool can_receive_work(catalogue::version const& version, bool has_lease,
                                    base::duration without_lease);

} // namespace catkinlanding::routing
