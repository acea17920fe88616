#pragma once

#include <libraries/instance/effect.h>

#include <utility>

namespace catkinlanding::instance {

/// Converts the messages of one part to effects.
void send_all(auto&& messages, effects& out) {
  for (auto& outgoing : messages) {
    send effect{.to = std::move(outgoing.to), .message = std::move(outgoing.message)};
    if constexpr (requires { outgoing.needs_new_connection; }) {
      effect.needs_new_connection = outgoing.needs_new_connection;
    }
    out.emplace_back(std::move(effect));
  }
}

} // namespace catkinlanding::instance
