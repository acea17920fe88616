#include <utilities/ctl/commands.h>
#include <utilities/ctl/cut_report.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/log_reader.h>

#include <cstdio>

namespace catkinlanding::ctl {

int run_cut(invocation const& invocation) {
  auto const& arguments = invocation.positional_arguments;
  std::vector<std::string> const files(arguments.begin() + 1, arguments.end());
  process_ends ends;
  bool is_request_known = false;
  bool const is_read = read_logs(files, [&](log_line const& line) {
    is_request_known = is_request_known || line.field("request") == invocation.request;
    ends.add(line);
  });
  if (!is_read) {
    return to_exit_status(exit_code::invalid_file);
  }
  if (!invocation.request.empty() && !is_request_known) {
    std::fprintf(stderr, "no line of these files names the request %s\n",
                 invocation.request.c_str());
    return to_exit_status(exit_code::invalid_file);
  }
  auto const text = cut_report(ends.take(), {.request = invocation.request,
                                             .max_lines = invocation.max_lines,
                                             .is_json = invocation.is_json});
  std::fputs(text.c_str(), stdout);
  return to_exit_status(exit_code::success);
}

} // namespace catkinlanding::ctl
