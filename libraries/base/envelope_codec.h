#pragma once

#include <libraries/base/codec.h>
#include <libraries/base/envelope.h>

namespace catkinlanding::base {

/// Reads an envelope that takes up all of the bytes. Include this in sources only, as the codec.
template<class Envelope>
[[nodiscard]] tl::expected<Envelope, envelope_error> decode_envelope(std::string_view bytes) {
  auto const format = decode_prefix<std::uint32_t>(bytes);
  if (!format) {
    return tl::unexpected(envelope_error::malformed);
  }
  if (*format != Envelope::current_format) {
    return tl::unexpected(envelope_error::unknown_format);
  }
  auto decoded = decode<Envelope>(bytes);
  if (!decoded) {
    return tl::unexpected(envelope_error::malformed);
  }
  return std::move(*decoded);
}

} // namespace catkinlanding::base
