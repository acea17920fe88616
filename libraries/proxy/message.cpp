#include <libraries/base/envelope_codec.h>
#include <libraries/proxy/message.h>

#include <algorithm>

namespace catkinlanding::proxy {

template<class Element>
std::string encode_list(std::vector<Element> const& elements) {
  return base::encode(elements);
}

template<class Element>
std::vector<Element> decode_list(std::string_view bytes) {
  auto elements = base::decode<std::vector<Element>>(bytes);
  if (!elements) {
    throw malformed_list();
  }
  return std::move(*elements);
}

template std::string encode_list(std::vector<endpoint_record> const& elements);
template std::vector<endpoint_record> decode_list(std::string_view bytes);
template std::string encode_list(std::vector<endpoint_load> const& elements);
template std::vector<endpoint_load> decode_list(std::string_view bytes);

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
