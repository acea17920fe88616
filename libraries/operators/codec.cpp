#include <libraries/base/codec.h>
#include <libraries/operators/codec.h>

namespace catkinlanding::operators {

namespace {

template<class Value>
tl::expected<Value, codec_error> decode_as(std::string_view bytes) {
  auto value = base::decode<Value>(bytes);
  if (!value) {
    return tl::unexpected(codec_error::malformed);
  }
  return std::move(*value);
}

} // namespace

std::string encode(request const& request) {
  return base::encode(request);
}
std::string encode(reply const& reply) {
  return base::encode(reply);
}

tl::expected<request, codec_error> decode_request(std::string_view bytes) {
  return decode_as<request>(bytes);
}

tl::expected<reply, codec_error> decode_reply(std::string_view bytes) {
  return decode_as<reply>(bytes);
}

} // namespace catkinlanding::operators
