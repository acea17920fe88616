#pragma once

#include <libraries/base/bounded_input_archive.h>

// The types that the project's messages are made of.
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/memory.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <tl/expected.hpp>

#include <sstream>
#include <string>
#include <string_view>

/// Binary form of typed values. Include this in sources only: it is slow to compile.
namespace catkinlanding::base {

/// Why bytes could not be read back.
enum class decode_error {
  /// The bytes end early, name an unknown alternative or ask for more than they hold.
  malformed,
  /// The value was read, but bytes are left behind it.
  trailing_bytes,
};

template<class Value>
[[nodiscard]] std::string encode(Value const& value) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(value);
  return std::move(stream).str();
}

/// Reads a value from the front of the bytes and leaves the rest alone. What is allocated is
/// bounded by a small multiple of the bytes, whatever they say.
template<class Value>
[[nodiscard]] tl::expected<Value, decode_error> decode_prefix(std::string_view bytes,
                                                              std::size_t* left = nullptr) {
  Value value{};
  try {
    bounded_input_archive archive(bytes);
    archive(value);
    if (left != nullptr) {
      *left = archive.bytes_left();
    }
  } catch (std::exception const&) {
    return tl::unexpected(decode_error::malformed);
  }
  return value;
}

/// Reads a value that takes up all of the bytes.
template<class Value>
[[nodiscard]] tl::expected<Value, decode_error> decode(std::string_view bytes) {
  std::size_t left = 0;
  auto value = decode_prefix<Value>(bytes, &left);
  if (value && left != 0) {
    return tl::unexpected(decode_error::trailing_bytes);
  }
  return value;
}

} // namespace catkinlanding::base
