#include <libraries/catalogue/rollout_json.h>
#include <libraries/json/object_reader.h>

#include <array>

namespace catkinlanding::catalogue {

namespace {

using catkinlanding::json::document_error;
using catkinlanding::json::object_reader;
using nlohmann_json = nlohmann::json;

constexpr std::array<char const*, 4> state_names{"running", "paused", "aborted", "done"};
constexpr std::array<char const*, 4> reason_names{"none", "operator_request", "turned_worse",
                                                  "overridden"};

rollout_step read_step(object_reader& reader) {
  rollout_step step;
  reader.required("exposure_permille", step.exposure_permille);
  auto milliseconds = step.least_duration.count();
  reader.required("least_ms", milliseconds);
  step.least_duration = std::chrono::milliseconds(milliseconds);
  return step;
}

void read_bounds(object_reader& reader, rollout_bounds& bounds) {
  reader.optional("least_answers", bounds.least_answers);
  reader.optional("step_excess_permille", bounds.step_excess_permille);
  reader.optional("abort_excess_permille", bounds.abort_excess_permille);
  reader.optional("least_bad_answers", bounds.least_bad_answers);
}

rollout read_plan(object_reader& reader) {
  rollout plan;
  reader.required("model", plan.model.value);
  reader.required("version", plan.version.value);
  std::string old_version;
  reader.optional("old_version", old_version);
  if (!old_version.empty()) {
    plan.old_version = base::version_id{old_version};
  }
  reader.each("steps", [&](object_reader& nested) { plan.steps.push_back(read_step(nested)); });
  reader.object("bounds", [&](object_reader& nested) { read_bounds(nested, plan.bounds); });
  reader.optional("withdraws_on_abort", plan.withdraws_on_abort);
  return plan;
}

nlohmann_json rollout_json(rollout const& value) {
  auto steps = nlohmann_json::array();
  for (auto const& step : value.steps) {
    steps.push_back(
        {{"exposure_permille", step.exposure_permille}, {"least_ms", step.least_duration.count()}});
  }
  return {{"model", value.model.value},
          {"id", value.id},
          {"version", value.version.value},
          {"old_version", value.old_version.value_or(base::version_id{}).value},
          {"steps", std::move(steps)},
          {"bounds",
           {{"least_answers", value.bounds.least_answers},
            {"step_excess_permille", value.bounds.step_excess_permille},
            {"abort_excess_permille", value.bounds.abort_excess_permille},
            {"least_bad_answers", value.bounds.least_bad_answers}}},
          {"withdraws_on_abort", value.withdraws_on_abort},
          {"state", name_of(value.state)},
          {"reason", name_of(value.reason)},
          {"steps_taken", value.steps_taken},
          {"exposure_permille", value.state == rollout_state::aborted ? 0 : exposure_of(value)}};
}

} // namespace

tl::expected<rollout, std::vector<json::document_error>> parse_rollout_plan(std::string_view text) {
  rollout plan;
  auto errors = json::read_document(text, [&](object_reader& reader) { plan = read_plan(reader); });
  // The id is given at the start, and is not for the plan to say.
  auto named = plan;
  named.id = "plan";
  if (errors.empty() && !is_valid_plan(named)) {
    errors.push_back({.path = "/steps",
                      .problem = "must be steps of growing exposure up to 1000, and bounds of "
                                 "which that of a step is below that of an abort"});
  }
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return plan;
}

std::string rollouts_to_json(document const& document) {
  auto array = nlohmann_json::array();
  for (auto const& [model, rollout] : document.rollouts()) {
    array.push_back(rollout_json(rollout));
  }
  nlohmann_json const root = {{"revision", document.revision()}, {"rollouts", std::move(array)}};
  return root.dump();
}

char const* name_of(rollout_state state) {
  return state_names.at(static_cast<std::size_t>(state));
}

char const* name_of(rollout_reason reason) {
  return reason_names.at(static_cast<std::size_t>(reason));
}

} // namespace catkinlanding::catalogue
