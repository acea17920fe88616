#pragma once

#include <libraries/operators/request.h>
#include <utilities/ctl/invocation.h>

#include <string>

/// The commands of `catkinctl`, the command-line tool for operators.
namespace catkinlanding::ctl {

struct command {
  char const* name;
  char const* usage;
  /// The minimum number of positional arguments, including the words of the name.
  std::size_t min_positional_arguments;
  int (*run)(invocation const&);
};

/// Returns the command named by the first one or two arguments, or null if no command has that
/// name or there are too few arguments.
[[nodiscard]] command const* find_command(std::vector<std::string> const& positional_arguments);

/// Returns the help text listing the commands and exit codes.
[[nodiscard]] std::string command_help();

int run_settings_check(invocation const& invocation);
int run_catalogue_diff(invocation const& invocation);
int run_catalogue_apply(invocation const& invocation);
int run_withdraw(invocation const& invocation);
int run_rollout_start(invocation const& invocation);
int run_rollout_pause(invocation const& invocation);
int run_rollout_resume(invocation const& invocation);
int run_rollout_abort(invocation const& invocation);
int run_rollout_status(invocation const& invocation);
int run_explain(invocation const& invocation);
int run_cut(invocation const& invocation);

/// Sends the request, prints the reply and returns the exit status.
int send_and_print(invocation const& invocation, operators::request const& request);

} // namespace catkinlanding::ctl
