#pragma once

#include <exception>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace catkinlanding::proxy {

/// Thrown while a message is decoded whose list can't be decoded.
struct malformed_list : std::exception {
  [[nodiscard]] char const* what() const noexcept override { return "a list can't be decoded"; }
};

/// Serialize the elements of a list; defined for each list that a message contains. Decoding throws
/// `malformed_list`.
template<class Element>
[[nodiscard]] std::string encode_list(std::vector<Element> const& elements);
template<class Element>
[[nodiscard]] std::vector<Element> decode_list(std::string_view bytes);

/// An immutable list that messages to many instances share. It is copied at the cost of a pointer,
/// and serialized once for all messages.
template<class Element>
class shared_list {
public:
  shared_list() : shared_list(std::vector<Element>{}) {}
  // Converts implicitly, so that messages are built from plain lists.
  // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions)
  shared_list(std::vector<Element> elements)
      : m_contents(std::make_shared<contents>(contents{std::move(elements), {}})) {}
  shared_list(std::initializer_list<Element> elements)
      : shared_list(std::vector<Element>(elements)) {}

  [[nodiscard]] std::vector<Element> const& elements() const { return m_contents->elements; }
  [[nodiscard]] auto begin() const { return elements().begin(); }
  [[nodiscard]] auto end() const { return elements().end(); }
  [[nodiscard]] bool empty() const { return elements().empty(); }
  [[nodiscard]] std::size_t size() const { return elements().size(); }
  [[nodiscard]] Element const& back() const { return elements().back(); }

  template<class Archive>
  void save(Archive& archive) const {
    archive(encoded());
  }

  template<class Archive>
  void load(Archive& archive) {
    std::string bytes;
    archive(bytes);
    *this = shared_list(bytes.empty() ? std::vector<Element>{} : decode_list<Element>(bytes));
  }

private:
  struct contents {
    std::vector<Element> elements;
    /// Empty until the list is first serialized.
    std::string encoded;
  };

  [[nodiscard]] std::string const& encoded() const {
    if (m_contents->encoded.empty() && !empty()) {
      m_contents->encoded = encode_list(elements());
    }
    return m_contents->encoded;
  }

  std::shared_ptr<contents> m_contents;
};

} // namespace catkinlanding::proxy
