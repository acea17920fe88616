#pragma once

#include <libraries/evacuations/order.h>
#include <libraries/proxy/departure_log.h>

#include <optional>

namespace catkinlanding::proxy {

/// Orders for availability zones as departures in the replicated log. Builds that know no orders
/// abort on an unknown command, but store such a departure like any other one.
[[nodiscard]] endpoint_departure encode_order(evacuations::order const& order);
/// The order that the departure stands for; nothing if it is that of an endpoint.
[[nodiscard]] std::optional<evacuations::order> decode_order(endpoint_departure const& departure);
/// Whether the identifier stands for a zone, so that no endpoint may use it.
[[nodiscard]] bool is_reserved(base::endpoint_id const& id);

} // namespace catkinlanding::proxy
