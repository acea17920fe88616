#include <libraries/base/codec.h>
#include <libraries/base/overloaded.h>
#include <libraries/instance/replicated_state.h>

namespace catkinlanding::instance {

command_outcome replicated_state::apply(command const& command) {
  return std::visit(
      base::overloaded{
          [this](catalogue::change const& change) -> command_outcome {
            return m_catalogue.apply(change);
          },
          [this](claims::command const& claim) -> command_outcome { return m_claims.apply(claim); },
          [this](sessions::command const& pin) -> command_outcome {
            return m_sessions.apply(pin, m_catalogue.document());
          },
      },
      command);
}

std::string replicated_state::encode() const {
  return base::encode(current_format) + base::encode(*this);
}

tl::expected<replicated_state, state_error> replicated_state::decode(std::string_view bytes) {
  auto const format = base::decode_prefix<std::uint32_t>(bytes);
  if (!format) {
    return tl::unexpected(state_error::malformed);
  }
  if (*format != current_format) {
    return tl::unexpected(state_error::unknown_format);
  }
  auto state = base::decode<replicated_state>(bytes.substr(base::encode(current_format).size()));
  if (!state) {
    return tl::unexpected(state_error::malformed);
  }
  return std::move(*state);
}

std::string encode(command const& command) {
  return base::encode(command);
}

tl::expected<command, state_error> decode_command(std::string_view bytes) {
  auto decoded = base::decode<command>(bytes);
  if (!decoded) {
    return tl::unexpected(state_error::malformed);
  }
  return std::move(*decoded);
}

} // namespace catkinlanding::instance
