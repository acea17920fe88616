#pragma once

#include <libraries/proxy/request.h>

#include <vector>

namespace catkinlanding::proxy {

/// The traits of one request under which endpoints may end, and which other requests may have too.
struct request_traits {
  /// The same for all repeats of the request, and different for others.
  std::uint64_t fingerprint = 0;
  std::vector<request_trait> traits;
};

/// Identifies a request by its method, host, path, caller and body. A caller's repeat has the same
/// fingerprint, though another id.
[[nodiscard]] std::uint64_t fingerprint_of(request_facts const& facts);

/// All traits of a request: the whole of it, the parts of its prompt that others may share, its
/// path, and its caller.
[[nodiscard]] request_traits traits_of(request_facts const& facts);

} // namespace catkinlanding::proxy
