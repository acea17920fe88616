#pragma once

#include <libraries/catalogue/replicated_catalogue.h>
#include <libraries/claims/registry.h>
#include <libraries/instance/command.h>
#include <libraries/sessions/registry.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace catkinlanding::instance {

enum class state_error : std::uint8_t { malformed, unknown_format };

/// The state machine of the replicated log. All instances that have applied the same commands hold
/// the same state.
class replicated_state {
public:
  /// Increased when snapshots change in a way that older versions can't read.
  static constexpr std::uint32_t current_format = 2;

  command_outcome apply(command const& command);

  [[nodiscard]] catalogue::replicated_catalogue const& catalogue() const { return m_catalogue; }
  [[nodiscard]] claims::registry const& claims() const { return m_claims; }

  [[nodiscard]] sessions::registry const& sessions() const { return m_sessions; }

  [[nodiscard]] std::string encode() const;
  [[nodiscard]] static tl::expected<replicated_state, state_error> decode(std::string_view bytes);

  template<class Archive>
  void serialize(Archive& archive) {
    archive(m_catalogue, m_claims, m_sessions);
  }

private:
  catalogue::replicated_catalogue m_catalogue;
  claims::registry m_claims;
  sessions::registry m_sessions;
};

[[nodiscard]] std::string encode(command const& command);
[[nodiscard]] tl::expected<command, state_error> decode_command(std::string_view bytes);

} // namespace catkinlanding::instance
