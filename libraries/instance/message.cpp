#include <libraries/base/envelope_codec.h>
#include <libraries/instance/message.h>

namespace catkinlanding::instance {

std::string encode(envelope const& envelope) {
  return base::encode(envelope);
}

tl::expected<envelope, base::envelope_error> decode(std::string_view bytes) {
  return base::decode_envelope<envelope>(bytes);
}

} // namespace catkinlanding::instance
