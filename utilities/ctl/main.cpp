#include <utilities/ctl/commands.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/invocation.h>

#include <cstdio>

int main(int argc, char const** argv) {
  using namespace catkinlanding::ctl;
  auto const invocation = parse_command_line(argc, argv, command_help());
  auto const* const found = invocation ? find_command(invocation->positional_arguments) : nullptr;
  if (found == nullptr) {
    std::fputs(command_help().c_str(), stderr);
    return to_exit_status(exit_code::usage);
  }
  return found->run(*invocation);
}
