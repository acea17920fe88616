#pragma once

#include <libraries/base/identifier.h>

#include <cstdint>

namespace catkinlanding::base {

/// A message as it travels between instances. `Format` grows when the messages of the protocol
/// change in a way that older instances can't read.
template<class Message, std::uint32_t Format>
struct envelope {
  static constexpr std::uint32_t current_format = Format;

  std::uint32_t format = current_format;
  instance_id from;
  /// Drawn anew at each start of the sender, so that receivers notice a restart.
  std::uint64_t incarnation = 0;
  Message message;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(format, from, incarnation, message);
  }
};

enum class envelope_error : std::uint8_t { malformed, unknown_format };

} // namespace catkinlanding::base
