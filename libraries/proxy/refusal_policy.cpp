#include <libraries/proxy/refusal_policy.h>

namespace catkinlanding::proxy {

namespace {

/// Whether the request was certainly not executed and another try may succeed.
bool may_retry_after(refusal_kind kind) {
  switch (kind) {
  case refusal_kind::no_document:
  case refusal_kind::no_endpoint:
  case refusal_kind::quarantined:
  case refusal_kind::deferred:
  case refusal_kind::not_run:
  case refusal_kind::expired_unsent:
    return true;
  case refusal_kind::unknown_route:
  case refusal_kind::unknown_key:
  case refusal_kind::expired:
  case refusal_kind::outcome_unknown:
    return false;
  }
  return false;
}

} // namespace

refusal refusal_policy::make(refusal_kind kind, base::random_generator& random) const {
  if (!may_retry_after(kind)) {
    return {.kind = kind};
  }
  // Randomized so that callers refused at the same time don't all retry at the same time.
  std::uniform_int_distribution<base::duration::rep> distribution(
      m_options.min_retry_after.count(), m_options.max_retry_after.count());
  auto const pause = base::duration(distribution(random));
  bool const is_recovering = kind == refusal_kind::no_document;
  return {.kind = kind,
          .retry_after = is_recovering ? pause + m_options.recovery_retry_delay : pause};
}

} // namespace catkinlanding::proxy
