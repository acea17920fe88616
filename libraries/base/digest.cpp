#include <libraries/base/digest.h>

#include <openssl/sha.h>

#include <array>

namespace catkinlanding::base {

std::string sha256(std::string_view text) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data());
  std::string hexadecimal;
  hexadecimal.reserve(2 * digest.size());
  for (unsigned int const byte : digest) {
    hexadecimal += digits[byte >> 4U];
    hexadecimal += digits[byte & 0xfU];
  }
  return hexadecimal;
}

} // namespace catkinlanding::base
