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
  /// The command was sent, and the connection ended without an answer.
  response_lost,
  malformed_response,
};

/// Sends one command to the instances in turn until one answers it. A command that came back
/// without a known outcome is sent again as it is, which is harmless: changes carry a change id.
[[nodiscard]] tl::expected<operators::reply, client_error>
send_request(std::vector<base::address> const& instances, operators::request const& request);

/// Sends one command to an instance and waits for its answer.
[[nodiscard]] tl::expected<operators::reply, client_error>
send_request(base::address const& instance, operators::request const& request);

} // namespace catkinlanding::ctl
