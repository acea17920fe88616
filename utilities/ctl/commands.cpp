#include <utilities/ctl/commands.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/merged_ledgers.h>
#include <utilities/ctl/operator_client.h>
#include <utilities/ctl/report.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace catkinlanding::ctl {

namespace {

std::vector<base::instance_id> instance_ids(invocation const& invocation) {
  constexpr std::size_t first = 2;
  std::vector<base::instance_id> ids;
  for (auto i = first; i < invocation.positional_arguments.size(); ++i) {
    ids.push_back({invocation.positional_arguments[i]});
  }
  return ids;
}

/// Sends a command that concerns a single instance; fails unless exactly one is given.
int send_to_single_instance(invocation const& invocation, operators::request const& request) {
  if (invocation.instances.size() != 1) {
    std::fputs("this command needs exactly one --instance\n", stderr);
    return to_exit_status(exit_code::usage);
  }
  return send_and_print(invocation, request);
}

int run_found_deployment(invocation const& invocation) {
  return send_to_single_instance(invocation, operators::found_deployment{instance_ids(invocation)});
}

int run_drain(invocation const& invocation) {
  return send_to_single_instance(invocation, operators::drain{});
}

int run_set_voters(invocation const& invocation) {
  return send_and_print(invocation, operators::set_voters{instance_ids(invocation)});
}

template<class Request>
int run_without_arguments(invocation const& invocation) {
  return send_and_print(invocation, Request{});
}

/// Returns the status and bills of one instance, or nothing if it can't be reached or isn't a
/// control instance.
std::optional<ledger_response> fetch_ledger(base::address const& instance) {
  auto const status = send_request(instance, operators::show_status{});
  auto const bills = send_request(instance, operators::export_bills{});
  if (!status || !bills) {
    return std::nullopt;
  }
  auto const* shown_status = std::get_if<operators::status_reply>(&*status);
  auto const* exported_bills = std::get_if<operators::bills_reply>(&*bills);
  if (shown_status == nullptr || exported_bills == nullptr) {
    return std::nullopt;
  }
  return ledger_response{.status = *shown_status, .bills = exported_bills->bills};
}

int run_billing_export(invocation const& invocation) {
  std::vector<ledger_response> answers;
  for (auto const& instance : invocation.instances) {
    if (auto answer = fetch_ledger(instance)) {
      answers.push_back(std::move(*answer));
    }
  }
  if (answers.empty()) {
    std::fputs("no control instance can be reached\n", stderr);
    return to_exit_status(exit_code::unreachable);
  }
  auto const merged = merge(answers);
  auto const report = make_report(merged, invocation.is_json);
  std::fputs(report.text.c_str(), stdout);
  if (invocation.is_json || merged.has_majority()) {
    return to_exit_status(report.code);
  }
  std::fprintf(stderr, "only %zu of %zu ledgers answered; bills may be missing\n",
               merged.answered_voters.size(), merged.voter_count);
  return to_exit_status(report.code);
}

constexpr std::array<command, 18> commands{{
    {"settings check", "settings check FILE", 3, run_settings_check},
    {"catalogue diff", "catalogue diff FILE", 3, run_catalogue_diff},
    {"catalogue apply", "catalogue apply FILE", 3, run_catalogue_apply},
    {"catalogue show", "catalogue show", 2, run_without_arguments<operators::show_catalogue>},
    {"catalogue history", "catalogue history", 2, run_without_arguments<operators::show_history>},
    {"withdraw", "withdraw MODEL VERSION", 3, run_withdraw},
    {"rollout start", "rollout start FILE", 3, run_rollout_start},
    {"rollout pause", "rollout pause MODEL", 3, run_rollout_pause},
    {"rollout resume", "rollout resume MODEL", 3, run_rollout_resume},
    {"rollout abort", "rollout abort MODEL", 3, run_rollout_abort},
    {"rollout status", "rollout status", 2, run_rollout_status},
    {"status", "status", 1, run_without_arguments<operators::show_status>},
    {"billing export", "billing export", 2, run_billing_export},
    {"voters found", "voters found INSTANCE...", 3, run_found_deployment},
    {"voters set", "voters set INSTANCE...", 3, run_set_voters},
    {"drain", "drain", 1, run_drain},
    {"explain", "explain REQUEST-ID LOG-FILE...", 3, run_explain},
    {"cut", "cut LOG-FILE...", 2, run_cut},
}};

} // namespace

command const* find_command(std::vector<std::string> const& positional_arguments) {
  auto const is_named = [&](command const& command) {
    if (positional_arguments.empty() ||
        positional_arguments.size() < command.min_positional_arguments) {
      return false;
    }
    std::string const name = command.name;
    return name == positional_arguments[0] ||
           (positional_arguments.size() > 1 &&
            name == positional_arguments[0] + " " + positional_arguments[1]);
  };
  auto const* const found = std::ranges::find_if(commands, is_named);
  return found == commands.end() ? nullptr : found;
}

std::string command_help() {
  std::string text = "\nCommands:\n";
  for (auto const& command : commands) {
    text += std::string("  ") + command.usage + "\n";
  }
  text += "\nExit codes:\n";
  for (auto const& item : exit_code_texts) {
    text += "  " + std::to_string(to_exit_status(item.code)) + "  " + item.text + "\n";
  }
  return text;
}

int send_and_print(invocation const& invocation, operators::request const& request) {
  auto const reply = send_request(invocation.instances, request);
  if (!reply) {
    bool const is_outcome_unknown = reply.error() != client_error::unreachable;
    std::fputs(is_outcome_unknown ? "the answer was lost; the outcome is unknown\n"
                                  : "no instance can be reached; nothing was sent\n",
               stderr);
    return to_exit_status(is_outcome_unknown ? exit_code::outcome_unknown : exit_code::unreachable);
  }
  auto const report = make_report(*reply, invocation.is_json);
  std::fputs(report.text.c_str(), stdout);
  auto const* const change = std::get_if<operators::change_reply>(&*reply);
  bool const is_not_yet_in_force =
      invocation.waits_until_in_force && change != nullptr && !change->is_in_force_everywhere;
  if (report.code == exit_code::success && is_not_yet_in_force) {
    return to_exit_status(exit_code::not_in_force);
  }
  return to_exit_status(report.code);
}

} // namespace catkinlanding::ctl
