#include <utilities/ctl/commands.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/explanation.h>

#include <cstdio>
#include <fstream>

namespace catkinlanding::ctl {

namespace {

/// Adds the lines of the file. Returns whether it could be read.
bool add_file(std::string const& path, explanation& explanation) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "%s: can't be read\n", path.c_str());
    return false;
  }
  for (std::string text; std::getline(file, text);) {
    if (auto line = parse_log_line(text)) {
      explanation.add(std::move(*line));
    }
  }
  return true;
}

} // namespace

int run_explain(invocation const& invocation) {
  auto const& arguments = invocation.positional_arguments;
  explanation explanation(arguments[1]);
  constexpr std::size_t first_file = 2;
  for (auto i = first_file; i < arguments.size(); ++i) {
    if (!add_file(arguments[i], explanation)) {
      return to_exit_status(exit_code::invalid_file);
    }
  }
  auto const text = explanation.text();
  if (text.empty()) {
    std::fprintf(stderr, "no line of these files names the request %s\n", arguments[1].c_str());
    return to_exit_status(exit_code::invalid_file);
  }
  std::fputs(text.c_str(), stdout);
  return to_exit_status(exit_code::success);
}

} // namespace catkinlanding::ctl
