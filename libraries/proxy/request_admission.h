#pragma once

#include <libraries/proxy/active_request.h>
#include <libraries/proxy/request.h>
#include <libraries/proxy/route_table.h>

#include <tl/expected.hpp>

#include <memory>
#include <optional>

namespace catkinlanding::proxy {

/// What the document says about a request that it allows.
struct admission {
  proxy::route const* route = nullptr;
  /// Empty if the document defines no customers, or if the route is public.
  std::optional<base::customer_id> customer;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
};

/// Finds the route of a request and the customer who holds its key. Fails with the kind of the
/// refusal if there is no document, no route or no such key.
[[nodiscard]] tl::expected<admission, refusal_kind> admit(route_table const& routes,
                                                          request_facts const& facts);

/// How long a request may take from its arrival on: the shorter of its caller's time, or this
/// default where it states none, and its route's. `route` is nullptr while unknown.
[[nodiscard]] base::duration allowed_time(request_facts const& facts, route const* route,
                                          base::duration default_timeout);

/// What an admitted request is made of.
struct admitted_request {
  admission admitted;
  /// The table that has the request's route.
  std::shared_ptr<route_table const> routes;
  request_facts facts;
  /// The time of a caller that states none.
  base::duration default_timeout{};
};

/// The request as it begins. Its time runs since it arrived.
[[nodiscard]] active_request make_request(admitted_request made, base::monotonic_time now);

} // namespace catkinlanding::proxy
