#pragma once

#include <string>
#include <string_view>

namespace catkinlanding::base {

/// The SHA-256 digest of the text, as 64 hexadecimal digits.
[[nodiscard]] std::string sha256(std::string_view text);

} // namespace catkinlanding::base
