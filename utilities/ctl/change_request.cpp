#include <utilities/ctl/change_request.h>
#include <utilities/ctl/operator_client.h>

#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

namespace catkinlanding::ctl {

std::optional<std::string> read_file(std::string const& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    std::fprintf(stderr, "%s: can't be read\n", path.c_str());
    return std::nullopt;
  }
  return std::move(text).str();
}

void print_errors(std::string const& path, std::vector<json::document_error> const& errors) {
  for (auto const& error : errors) {
    std::fprintf(stderr, "%s\n", json::describe(path, error).c_str());
  }
}

std::optional<catalogue::document> fetch_current_document(invocation const& invocation) {
  auto const reply = send_request(invocation.instances, operators::show_catalogue{});
  if (!reply || !std::holds_alternative<operators::catalogue_reply>(*reply)) {
    std::fputs("the current catalogue can't be had; nothing was sent\n", stderr);
    return std::nullopt;
  }
  return std::get<operators::catalogue_reply>(*reply).document;
}

base::change_id choose_change_id(invocation const& invocation) {
  if (!invocation.change_id.empty()) {
    return {invocation.change_id};
  }
  std::random_device device;
  return {std::to_string(device()) + std::to_string(device())};
}

operators::apply_change make_change_request(invocation const& invocation,
                                            catalogue::document const& document) {
  operators::apply_change request;
  request.change.id = choose_change_id(invocation);
  request.change.base_revision = invocation.base_revision.value_or(document.revision());
  request.change.author = invocation.author;
  request.waits_until_in_force = invocation.waits_until_in_force;
  return request;
}

} // namespace catkinlanding::ctl
