#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

/// Reading of cereal's portable binary form from bytes that nobody vouches for. Include this in
/// sources only: it is slow to compile.
namespace catkinlanding::base {

/// Reads what `cereal::PortableBinaryOutputArchive` writes on a little-endian machine. A length
/// that exceeds the bytes left is refused before anything is allocated for it.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
public:
  /// The bytes must outlive the archive. Throws `cereal::Exception` where they name another byte
  /// order.
  explicit bounded_input_archive(std::string_view bytes)
      : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this),
        m_bytes(bytes) {
    std::uint8_t is_little_endian = 0;
    load(is_little_endian);
    if (is_little_endian != 1) {
      throw cereal::Exception("the bytes are of another format");
    }
  }

  [[nodiscard]] std::size_t bytes_left() const { return m_bytes.size(); }

  /// Throws `cereal::Exception` where fewer bytes are left.
  void load_bytes(void* target, std::size_t size) {
    require(size);
    if (size > 0) {
      std::memcpy(target, m_bytes.data(), size);
    }
    m_bytes.remove_prefix(size);
  }

  template<class Number>
  void load(Number& value) {
    std::array<unsigned char, sizeof(Number)> raw{};
    load_bytes(raw.data(), raw.size());
    if constexpr (std::endian::native == std::endian::big) {
      std::reverse(raw.begin(), raw.end());
    }
    value = std::bit_cast<Number>(raw);
  }

  /// Every element takes up at least one byte, so no honest length exceeds the bytes left.
  void load_size(cereal::size_type& size) {
    load(size);
    require(size);
  }

private:
  void require(cereal::size_type size) const {
    if (size > m_bytes.size()) {
      throw cereal::Exception("the bytes end early");
    }
  }

  std::string_view m_bytes;
};

/// Reads the elements one by one, so that a container grows only as far as its bytes go.
template<class Container>
void load_elements(bounded_input_archive& archive, Container& container) {
  cereal::size_type size = 0;
  archive.load_size(size);
  container.clear();
  for (cereal::size_type i = 0; i < size; ++i) {
    typename Container::value_type element{};
    archive(element);
    container.push_back(std::move(element));
  }
}

} // namespace catkinlanding::base

template<>
struct cereal::traits::detail::get_output_from_input<catkinlanding::base::bounded_input_archive> {
  using type = cereal::PortableBinaryOutputArchive;
};

// The library's own way to read enumerations takes any number.
template<class Enumeration>
requires std::is_enum_v<Enumeration>
struct cereal::specialize<catkinlanding::base::bounded_input_archive, Enumeration,
                          cereal::specialization::non_member_load_save> : std::true_type {
};

// The library finds these functions by the namespace of its own types.
namespace cereal {

template<class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(catkinlanding::base::bounded_input_archive& archive, Number& value) {
  if constexpr (std::is_same_v<Number, bool>) {
    std::uint8_t byte = 0;
    archive.load(byte);
    value = byte != 0;
  } else {
    archive.load(value);
  }
}

/// Refuses numbers that name no enumerator. Each enumeration that is read has a function
/// `last_enumerator` beside it, and its enumerators count up from zero.
template<class Enumeration>
requires std::is_enum_v<Enumeration>
void CEREAL_LOAD_FUNCTION_NAME(catkinlanding::base::bounded_input_archive& archive,
                               Enumeration& value) {
  std::underlying_type_t<Enumeration> number{};
  archive.load(number);
  if (number > static_cast<std::underlying_type_t<Enumeration>>(last_enumerator(Enumeration{}))) {
    throw Exception("the bytes name an unknown enumerator");
  }
  value = static_cast<Enumeration>(number);
}

template<class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(catkinlanding::base::bounded_input_archive& archive,
                                    NameValuePair<Value>& pair) {
  archive(pair.value);
}

template<class Value>
void CEREAL_LOAD_FUNCTION_NAME(catkinlanding::base::bounded_input_archive& archive,
                               SizeTag<Value>& tag) {
  size_type size = 0;
  archive.load_size(size);
  tag.size = size;
}

/// Only text and single bytes have this form here; wider numbers would need their order swapped
/// on a big-endian machine.
template<class Value>
void CEREAL_LOAD_FUNCTION_NAME(catkinlanding::base::bounded_input_archive& archive,
                               BinaryData<Value>& data) {
  archive.load_bytes(data.data, static_cast<std::size_t>(data.size));
}

template<class Value, class Allocator>
requires(!std::is_arithmetic_v<Value>) void CEREAL_LOAD_FUNCTION_NAME(
    catkinlanding::base::bounded_input_archive& archive, std::vector<Value, Allocator>& vector) {
  catkinlanding::base::load_elements(archive, vector);
}

template<class Value, class Allocator>
void CEREAL_LOAD_FUNCTION_NAME(catkinlanding::base::bounded_input_archive& archive,
                               std::deque<Value, Allocator>& deque) {
  catkinlanding::base::load_elements(archive, deque);
}

} // namespace cereal
