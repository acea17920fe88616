#pragma once

#include <libraries/catalogue/change.h>
#include <libraries/claims/command.h>
#include <libraries/sessions/command.h>

#include <variant>

namespace catkinlanding::instance {

/// A command for the state machine, as stored in the replicated log.
using command = std::variant<catalogue::change, claims::command, sessions::command>;

/// The result of applying a command. The alternatives are in the same order as in `command`.
using command_outcome = std::variant<catalogue::change_outcome, claims::verdict, sessions::verdict>;

} // namespace catkinlanding::instance
