#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace catkinlanding::json {

struct position {
  /// Both count from 1.
  std::size_t line = 1;
  std::size_t column = 1;
};

[[nodiscard]] position position_at(std::string_view text, std::size_t offset);

/// Where each field and array element of a JSON text stands. The text must parse.
class position_index {
public:
  explicit position_index(std::string_view text);

  /// The place of the field, or of the nearest enclosing one that the text has.
  [[nodiscard]] position find(std::string path) const;

private:
  std::string_view m_text;
  std::map<std::string, std::size_t> m_offsets;
};

} // namespace catkinlanding::json
