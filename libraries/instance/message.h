#pragma once

#include <libraries/base/envelope.h>
#include <libraries/billing/message.h>
#include <libraries/claims/message.h>
#include <libraries/consensus/message.h>
#include <libraries/distribution/message.h>
#include <libraries/endpoints/announcement.h>
#include <libraries/limits/message.h>
#include <libraries/membership/member.h>
#include <libraries/operators/message.h>
#include <libraries/rollouts/message.h>
#include <libraries/routing/message.h>
#include <libraries/sessions/message.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <variant>

/// One instance of the system: combines its parts behind a single reducer.
namespace catkinlanding::instance {

/// All messages between instances, grouped by part.
using message =
    std::variant<consensus::message, distribution::message, endpoints::message, billing::message,
                 operators::message, membership::message, routing::message, claims::message,
                 limits::message, rollouts::message, sessions::message>;

/// A message as sent on the wire, with the version of the wire format.
using envelope = base::envelope<message, 3>;

[[nodiscard]] std::string encode(envelope const& envelope);
[[nodiscard]] tl::expected<envelope, base::envelope_error> decode(std::string_view bytes);

} // namespace catkinlanding::instance
