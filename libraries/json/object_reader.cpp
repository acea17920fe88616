#include <libraries/json/object_reader.h>
#include <libraries/json/position_index.h>

namespace catkinlanding::json {

std::vector<document_error> read_document(std::string_view text,
                                          std::function<void(object_reader&)> const& read) {
  std::vector<document_error> errors;
  nlohmann::json root;
  try {
    root = nlohmann::json::parse(text, nullptr, true, true);
  } catch (nlohmann::json::parse_error const& error) {
    auto const at = position_at(text, error.byte == 0 ? 0 : error.byte - 1);
    return {{.path = "", .problem = error.what(), .line = at.line, .column = at.column}};
  }
  if (!root.is_object()) {
    return {{.path = "", .problem = "must be an object"}};
  }
  object_reader reader(root, "", errors);
  read(reader);
  reader.refuse_unknown_fields();
  if (!errors.empty()) {
    position_index const index(text);
    for (auto& error : errors) {
      auto const at = index.find(error.path);
      error.line = at.line;
      error.column = at.column;
    }
  }
  return errors;
}

} // namespace catkinlanding::json
