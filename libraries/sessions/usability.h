#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/sessions/command.h>

namespace catkinlanding::sessions {

/// Whether the catalogue allows new work of the session's customer on the version. A missing lease
/// does not make a trial version unusable: the session waits for the lease instead of moving.
[[nodiscard]] bool is_usable(session_key const& key, base::version_id const& version,
                             catalogue::document const& document);

} // namespace catkinlanding::sessions
