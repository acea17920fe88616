#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Reading of JSON documents that people write, with every fault reported at once.
namespace catkinlanding::json {

/// One fault of a document: where it stands and what is wrong there.
struct document_error {
  /// Path of fields, such as `/customers/0/owner`; empty for the document itself.
  std::string path;
  std::string problem;
  /// Both count from 1. A field that is missing is reported where its object stands.
  std::size_t line = 1;
  std::size_t column = 1;
};

/// One line for people, in the form `FILE:LINE:COLUMN: FIELD: PROBLEM`.
[[nodiscard]] std::string describe(std::string_view file, document_error const& error);

} // namespace catkinlanding::json
