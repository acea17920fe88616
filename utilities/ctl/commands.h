#pragma once

#include <libraries/operators/request.h>
#include <utilities/ctl/invocation.h>

#include <string>

/// What `catkinctl` can do.
namespace catkinlanding::ctl {

struct command {
  char const* name;
  char const* usage;
  /// Words of the command line, those of the name included.
  std::size_t min_positional_arguments;
  int (*run)(invocation const&);
};

/// The command that the words name, with enough arguments; nothing if there is none.
[[nodiscard]] command const* find_command(std::vector<std::string> const& positional_arguments);

/// The commands and the exit codes, for people.
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

/// Sends the command, prints the answer and returns the exit code.
int send_and_print(invocation const& invocation, operators::request const& request);

} // namespace catkinlanding::ctl
