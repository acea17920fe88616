#include <libraries/base/envelope_codec.h>
#include <libraries/proxy/message.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool update::has_departure() const {
  return std::ranges::any_of(endpoints, [](endpoint_record const& record) {
    return record.state == endpoint_state::leaving || record.state == endpoint_state::gone;
  });
}

std::string encode(envelope const& envelope) {
  return base::encode(envelope);
}

tl::expected<envelope, base::envelope_error> decode(std::string_view bytes) {
  return base::decode_envelope<envelope>(bytes);
}

} // namespace catkinlanding::proxy
