#include <libraries/json/document_error.h>

namespace catkinlanding::json {

std::string describe(std::string_view file, document_error const& error) {
  std::string text(file);
  text += ":" + std::to_string(error.line) + ":" + std::to_string(error.column) + ": ";
  if (!error.path.empty()) {
    text += error.path + ": ";
  }
  return text + error.problem;
}

} // namespace catkinlanding::json
