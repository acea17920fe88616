#include <libraries/catalogue/rollout_json.h>
#include <libraries/rollouts/controller.h>
#include <utilities/ctl/change_request.h>
#include <utilities/ctl/commands.h>
#include <utilities/ctl/exit_code.h>

#include <cstdio>

namespace catkinlanding::ctl {

namespace {

using catalogue::rollout;
using catalogue::rollout_reason;
using catalogue::rollout_state;

/// Returns the active roll-out of the model. If there is none, prints an error and returns null.
rollout const* active_rollout(catalogue::document const& document, std::string const& model) {
  auto const* found = document.find_rollout({model});
  if (found == nullptr || !catalogue::is_active(*found)) {
    std::fprintf(stderr, "no roll-out of %s is under way\n", model.c_str());
    return nullptr;
  }
  return found;
}

int send_rollout_change(invocation const& invocation, catalogue::document const& document,
                        rollout after) {
  auto request = make_change_request(invocation, document);
  request.change.upserts = rollouts::make_rollout_change(document, std::move(after)).upserts;
  return send_and_print(invocation, request);
}

int change_state(invocation const& invocation, rollout_state state, rollout_reason reason) {
  auto const document = fetch_current_document(invocation);
  if (!document) {
    return to_exit_status(exit_code::unreachable);
  }
  auto const* found = active_rollout(*document, invocation.positional_arguments[2]);
  if (found == nullptr) {
    return to_exit_status(exit_code::refused);
  }
  auto after = *found;
  after.state = state;
  after.reason = reason;
  return send_rollout_change(invocation, *document, std::move(after));
}

/// Checks that a roll-out of the version can start; prints the reason if it can't.
bool can_start(rollout const& plan, catalogue::document const& document) {
  auto const* version = document.find_version(plan.model, plan.version);
  if (version == nullptr || version->standing != catalogue::standing::trial) {
    std::fprintf(stderr, "the catalogue has no version %s of %s on trial\n",
                 plan.version.value.c_str(), plan.model.value.c_str());
    return false;
  }
  auto const* last = document.find_rollout(plan.model);
  if (last != nullptr && catalogue::is_active(*last)) {
    std::fprintf(stderr, "a roll-out of %s is under way\n", plan.model.value.c_str());
    return false;
  }
  return true;
}

std::string status_text(catalogue::document const& document) {
  std::string text;
  for (auto const& [model, rollout] : document.rollouts()) {
    text += model.value + "/" + rollout.version.value + ": " + catalogue::name_of(rollout.state);
    text += ", step " + std::to_string(rollout.steps_taken) + " of " +
            std::to_string(rollout.steps.size());
    text += rollout.reason == rollout_reason::none
                ? "\n"
                : std::string(", ") + catalogue::name_of(rollout.reason) + "\n";
  }
  return text.empty() ? "no roll-outs\n" : text;
}

} // namespace

int run_rollout_start(invocation const& invocation) {
  auto const& path = invocation.positional_arguments[2];
  auto const text = read_file(path);
  if (!text) {
    return to_exit_status(exit_code::invalid_file);
  }
  auto plan = catalogue::parse_rollout_plan(*text);
  if (!plan) {
    print_errors(path, plan.error());
    return to_exit_status(exit_code::invalid_file);
  }
  auto const document = fetch_current_document(invocation);
  if (!document) {
    return to_exit_status(exit_code::unreachable);
  }
  // A resent change returns the outcome of the original, so the current state of the roll-out
  // must not prevent it from being sent.
  bool const is_resend = !invocation.change_id.empty();
  if (!is_resend && !can_start(*plan, *document)) {
    return to_exit_status(exit_code::refused);
  }
  auto const* version = document->find_version(plan->model, plan->version);
  if (version == nullptr) {
    std::fputs("the version is not in the catalogue any more\n", stderr);
    return to_exit_status(exit_code::refused);
  }
  plan->stewardship = version->stewardship;
  plan->id = choose_change_id(invocation).value;
  return send_rollout_change(invocation, *document, std::move(*plan));
}

int run_rollout_pause(invocation const& invocation) {
  return change_state(invocation, rollout_state::paused, rollout_reason::operator_request);
}

int run_rollout_resume(invocation const& invocation) {
  return change_state(invocation, rollout_state::running, rollout_reason::none);
}

int run_rollout_abort(invocation const& invocation) {
  return change_state(invocation, rollout_state::aborted, rollout_reason::operator_request);
}

int run_rollout_status(invocation const& invocation) {
  auto const document = fetch_current_document(invocation);
  if (!document) {
    return to_exit_status(exit_code::unreachable);
  }
  auto const text =
      invocation.is_json ? catalogue::rollouts_to_json(*document) + "\n" : status_text(*document);
  std::fputs(text.c_str(), stdout);
  return to_exit_status(exit_code::success);
}

} // namespace catkinlanding::ctl
