#include <libraries/proxy/evacuation_codec.h>

#include <string_view>

namespace catkinlanding::proxy {

namespace {

/// Begins with a control character, which the path of a call can't contain.
constexpr std::string_view reserved_prefix = "\x01zone/";

} // namespace

endpoint_departure encode_order(evacuations::order const& order) {
  return {.source = {{std::string(reserved_prefix) + order.zone.value}, order.number},
          .state = endpoint_state::leaving};
}

std::optional<evacuations::order> decode_order(endpoint_departure const& departure) {
  if (!is_reserved(departure.source.endpoint)) {
    return std::nullopt;
  }
  return evacuations::order{
      .zone = {departure.source.endpoint.value.substr(reserved_prefix.size())},
      .number = departure.source.incarnation};
}

bool is_reserved(base::endpoint_id const& id) {
  return id.value.starts_with(reserved_prefix);
}

} // namespace catkinlanding::proxy
