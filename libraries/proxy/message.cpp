#include <libraries/base/codec.h>
#include <libraries/proxy/message.h>

namespace catkinlanding::proxy {

std::string encode(envelope const& envelope) {
  return base::encode(envelope);
}

tl::expected<envelope, envelope_error> decode(std::string_view bytes) {
  auto const format = base::decode_prefix<std::uint32_t>(bytes);
  if (!format) {
    return tl::unexpected(envelope_error::malformed);
  }
  if (*format != envelope::current_format) {
    return tl::unexpected(envelope_error::unknown_format);
  }
  auto decoded = base::decode<envelope>(bytes);
  if (!decoded) {
    return tl::unexpected(envelope_error::malformed);
  }
  return std::move(*decoded);
}

} // namespace catkinlanding::proxy
