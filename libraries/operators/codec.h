#pragma once

#include <libraries/operators/reply.h>
#include <libraries/operators/request.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>

/// Encodes the requests and replies that `catkinctl` and instances exchange as HTTP bodies.
namespace catkinlanding::operators {

/// The HTTP path for operator requests. Requests to other paths are answered with 404.
constexpr std::string_view command_path = "/operate";

enum class codec_error : std::uint8_t { malformed };

[[nodiscard]] std::string encode(request const& request);
[[nodiscard]] std::string encode(reply const& reply);
[[nodiscard]] tl::expected<request, codec_error> decode_request(std::string_view bytes);
[[nodiscard]] tl::expected<reply, codec_error> decode_reply(std::string_view bytes);

} // namespace catkinlanding::operators
