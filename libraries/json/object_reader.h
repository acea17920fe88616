#pragma once

#include <libraries/json/document_error.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace catkinlanding::json {

/// Reads the fields of one object, and collects what is wrong with them. Include this in sources
/// only: it is slow to compile.
class object_reader {
public:
  object_reader(nlohmann::json const& object, std::string path, std::vector<document_error>& errors)
      : m_object(object), m_path(std::move(path)), m_errors(errors) {}

  /// Returns whether the field holds a sound value.
  template<class Value>
  bool required(char const* name, Value& value) {
    if (!m_object.contains(name)) {
      fail(name, "is missing");
      return false;
    }
    auto const faults = m_errors.size();
    optional(name, value);
    return m_errors.size() == faults;
  }

  template<class Value>
  void optional(char const* name, Value& value) {
    m_known.emplace_back(name);
    if (!m_object.contains(name)) {
      return;
    }
    auto const& field = m_object.at(name);
    if constexpr (std::is_integral_v<Value> && !std::is_same_v<Value, bool>) {
      read_integer(name, field, value);
    } else {
      try {
        field.get_to(value);
      } catch (nlohmann::json::exception const&) {
        fail(name, "has the wrong type");
      }
    }
  }

  /// Calls `read` for each object of the array field.
  void each(char const* name, std::function<void(object_reader&)> const& read) {
    m_known.emplace_back(name);
    if (!m_object.contains(name)) {
      return;
    }
    auto const& array = m_object.at(name);
    auto const path = m_path + "/" + name;
    if (!array.is_array()) {
      fail(name, "must be an array");
      return;
    }
    for (std::size_t i = 0; i < array.size(); ++i) {
      nested(array[i], path + "/" + std::to_string(i), read);
    }
  }

  void required_object(char const* name, std::function<void(object_reader&)> const& read) {
    if (!m_object.contains(name)) {
      fail(name, "is missing");
    }
    object(name, read);
  }

  /// Calls `read` for the object field, where it is there.
  void object(char const* name, std::function<void(object_reader&)> const& read) {
    m_known.emplace_back(name);
    if (m_object.contains(name)) {
      nested(m_object.at(name), m_path + "/" + name, read);
    }
  }

  void fail(char const* name, std::string problem) {
    m_errors.push_back({.path = m_path + "/" + name, .problem = std::move(problem)});
  }

  void refuse_unknown_fields() {
    for (auto const& item : m_object.items()) {
      if (std::ranges::find(m_known, item.key()) == m_known.end()) {
        fail(item.key().c_str(), "is not a known field");
      }
    }
  }

private:
  /// A number that the type can't hold is refused, in place of its wrapping around.
  template<class Integer>
  void read_integer(char const* name, nlohmann::json const& field, Integer& value) {
    bool const is_in_range =
        field.is_number_unsigned()
            ? std::in_range<Integer>(field.get<std::uint64_t>())
            : field.is_number_integer() && std::in_range<Integer>(field.get<std::int64_t>());
    if (!field.is_number_integer()) {
      fail(name, "must be a whole number");
    } else if (!is_in_range) {
      fail(name, "must be from " + std::to_string(std::numeric_limits<Integer>::min()) + " to " +
                     std::to_string(std::numeric_limits<Integer>::max()));
    } else {
      value = field.get<Integer>();
    }
  }

  void nested(nlohmann::json const& value, std::string path,
              std::function<void(object_reader&)> const& read) {
    if (!value.is_object()) {
      m_errors.push_back({.path = std::move(path), .problem = "must be an object"});
      return;
    }
    object_reader reader(value, std::move(path), m_errors);
    read(reader);
    reader.refuse_unknown_fields();
  }

  nlohmann::json const& m_object;
  std::string m_path;
  std::vector<document_error>& m_errors;
  std::vector<std::string> m_known;
};

/// Parses text with comments and hands its top object to `read`. Returns every fault found.
[[nodiscard]] std::vector<document_error>
read_document(std::string_view text, std::function<void(object_reader&)> const& read);

} // namespace catkinlanding::json
