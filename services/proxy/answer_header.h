#pragma once

#include <libraries/base/time.h>
#include <services/proxy/http.h>

/// What the status line and the standard headers of an endpoint's answer mean.
namespace catkinlanding::proxy {

/// Whether the final answer follows this one.
[[nodiscard]] bool is_interim(unsigned status);
[[nodiscard]] bool is_success(unsigned status);
[[nodiscard]] bool is_server_error(unsigned status);
/// Whether the status tells a caller that its request was not executed.
[[nodiscard]] bool implies_not_executed(unsigned status);
/// What the parsed header takes up in memory, in bytes, about.
[[nodiscard]] std::size_t memory_of(http_response_header const& header);
/// The idle timeout that the endpoint announces in the Keep-Alive header; zero if it announces
/// none.
[[nodiscard]] base::duration keep_alive_timeout(http_response_header const& header);

} // namespace catkinlanding::proxy
