#include <libraries/base/envelope_codec.h>
#include <libraries/proxy/message.h>

namespace catkinlanding::proxy {

std::string encode(envelope const& envelope) {
  return base::encode(envelope);
}

tl::expected<envelope, base::envelope_error> decode(std::string_view bytes) {
  return base::decode_envelope<envelope>(bytes);
}

} // namespace catkinlanding::proxy
