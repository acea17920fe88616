#include <utilities/ctl/commands.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/explanation.h>
#include <utilities/ctl/log_reader.h>

#include <cstdio>

namespace catkinlanding::ctl {

int run_explain(invocation const& invocation) {
  auto const& arguments = invocation.positional_arguments;
  explanation explanation(arguments[1]);
  constexpr std::size_t first_file = 2;
  std::vector<std::string> const files(arguments.begin() + first_file, arguments.end());
  if (!read_logs(files, [&](log_line line) { explanation.add(std::move(line)); })) {
    return to_exit_status(exit_code::invalid_file);
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
