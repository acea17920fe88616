#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Proof that a request was passed on by another instance of the deployment, and not sent by a
/// caller who claims so: both instances hold the same configuration, which callers don't know.
namespace catkinlanding::relays {

/// What an instance says of a request that it passes on.
struct statement {
  std::string_view request_id;
  /// Endpoints that the request was sent to before, and how many of these ended under it.
  std::uint32_t attempts = 0;
  std::uint32_t endings = 0;
};

/// The proof of a statement, as text. `secret` identifies the content of the configuration.
[[nodiscard]] std::string make_proof(std::uint64_t secret, statement const& statement);

/// Whether the text proves the statement. Takes the same time for any text of the same length.
[[nodiscard]] bool is_proof(std::string_view text, std::uint64_t secret,
                            statement const& statement);

} // namespace catkinlanding::relays
