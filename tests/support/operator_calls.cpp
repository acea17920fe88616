#include <libraries/operators/codec.h>
#include <tests/support/operator_calls.h>

#include <nlohmann/json.hpp>

#include <fstream>

namespace catkinlanding::testing {

std::optional<operators::reply> send_command(deployment const& deployment, std::string const& id,
                                             operators::request const& request) {
  std::ifstream file(deployment.folder() / (id + ".json"));
  auto const settings = nlohmann::json::parse(file);
  auto const answer =
      exchange(settings["operators"]["port"], {.path = std::string(operators::command_path),
                                               .body = operators::encode(request),
                                               .headers = {}});
  if (answer.status != 200) {
    return std::nullopt;
  }
  auto reply = operators::decode_reply(answer.body);
  return reply ? std::optional(std::move(*reply)) : std::nullopt;
}

std::optional<catalogue::change_outcome>
try_apply(deployment const& deployment, std::string const& id, catalogue::change const& change) {
  operators::apply_change request;
  request.change = change;
  auto const reply = send_command(deployment, id, request);
  auto const* done = reply ? std::get_if<operators::change_reply>(&*reply) : nullptr;
  return done != nullptr ? std::optional(done->outcome) : std::nullopt;
}

catalogue::change model_change(std::string const& id, catalogue::revision base) {
  catalogue::model model;
  model.id = {"model-" + id};
  catalogue::change change;
  change.id = {id};
  change.base_revision = base;
  change.author = "tester";
  change.upserts.emplace_back(std::move(model));
  return change;
}

std::optional<std::string> leader_of(deployment const& deployment,
                                     std::vector<std::string> const& ids) {
  for (auto const& id : ids) {
    auto const reply = send_command(deployment, id, operators::show_status{});
    auto const* status = reply ? std::get_if<operators::status_reply>(&*reply) : nullptr;
    if (status != nullptr && status->role == consensus::role::leader && status->has_lease) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace catkinlanding::testing
