#pragma once

#include <libraries/base/address.h>
#include <libraries/operators/reply.h>
#include <libraries/operators/request.h>

#include <tl/expected.hpp>

#include <vector>

namespace catkinlanding::ctl {

enum class client_error {
  /// Nothing was sent.
  unreachable,
  /// The request may have been sent, but no response arrived, so its outcome is unknown.
  response_lost,
  malformed_response,
};

/// Sends a request to the instances in turn until one gives a definite reply, for up to three
/// rounds. A request with an unknown outcome is resent unchanged; this is safe because the change
/// id makes changes idempotent. Draining and founding are sent only once.
[[nodiscard]] tl::expected<operators::reply, client_error>
send_request(std::vector<base::address> const& instances, operators::request const& request);

/// Sends a request to one instance and waits for its reply.
[[nodiscard]] tl::expected<operators::reply, client_error>
send_request(base::address const& instance, operators::request const& request);

} // namespace catkinlanding::ctl
