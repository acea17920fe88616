#include <libraries/catalogue/json.h>
#include <libraries/settings/settings.h>
#include <utilities/ctl/catalogue_difference.h>
#include <utilities/ctl/change_request.h>
#include <utilities/ctl/commands.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/report.h>

#include <cstdio>

namespace catkinlanding::ctl {

namespace {

std::optional<std::vector<catalogue::entry>> read_entries(std::string const& path) {
  auto const text = read_file(path);
  if (!text) {
    return std::nullopt;
  }
  auto entries = catalogue::parse_entries(*text);
  if (!entries) {
    print_errors(path, entries.error());
    return std::nullopt;
  }
  return std::move(*entries);
}

} // namespace

int run_settings_check(invocation const& invocation) {
  auto const& path = invocation.positional_arguments[2];
  auto const text = read_file(path);
  if (!text) {
    return to_exit_status(exit_code::invalid_file);
  }
  auto const parsed = settings::parse(*text);
  if (!parsed) {
    print_errors(path, parsed.error());
    return to_exit_status(exit_code::invalid_file);
  }
  std::printf("%s: ok\n", path.c_str());
  return to_exit_status(exit_code::success);
}

int run_catalogue_diff(invocation const& invocation) {
  auto const entries = read_entries(invocation.positional_arguments[2]);
  if (!entries) {
    return to_exit_status(exit_code::invalid_file);
  }
  auto const document = fetch_current_document(invocation);
  if (!document) {
    return to_exit_status(exit_code::unreachable);
  }
  auto const text =
      difference_text(difference(*document, *entries), document->revision(), invocation.is_json);
  std::fputs(text.c_str(), stdout);
  return to_exit_status(exit_code::success);
}

int run_catalogue_apply(invocation const& invocation) {
  auto entries = read_entries(invocation.positional_arguments[2]);
  if (!entries) {
    return to_exit_status(exit_code::invalid_file);
  }
  auto const document = fetch_current_document(invocation);
  if (!document) {
    return to_exit_status(exit_code::unreachable);
  }
  auto changes = difference(*document, *entries);
  auto request = make_change_request(invocation, *document);
  if (!invocation.change_id.empty()) {
    // A resent change must equal the original, so it holds every entry of the file rather than
    // the difference to the current catalogue.
    request.change.upserts = std::move(*entries);
  } else if (changes.is_empty(invocation.prunes)) {
    auto const text = difference_text(changes, document->revision(), invocation.is_json);
    std::fputs(text.c_str(), stdout);
    return to_exit_status(exit_code::success);
  } else {
    request.change.upserts = std::move(changes.added);
    request.change.upserts.insert(request.change.upserts.end(), changes.changed.begin(),
                                  changes.changed.end());
  }
  if (invocation.prunes) {
    request.change.removals = std::move(changes.missing);
  }
  return send_and_print(invocation, request);
}

int run_withdraw(invocation const& invocation) {
  auto const document = fetch_current_document(invocation);
  if (!document) {
    return to_exit_status(exit_code::unreachable);
  }
  auto const* version = document->find_version({invocation.positional_arguments[1]},
                                               {invocation.positional_arguments[2]});
  if (version == nullptr) {
    std::fprintf(stderr, "the catalogue has no version %s of %s\n",
                 invocation.positional_arguments[2].c_str(),
                 invocation.positional_arguments[1].c_str());
    return to_exit_status(exit_code::refused);
  }
  auto withdrawn = *version;
  withdrawn.standing = catalogue::standing::withdrawn;
  auto request = make_change_request(invocation, *document);
  request.change.upserts.emplace_back(std::move(withdrawn));
  return send_and_print(invocation, request);
}

} // namespace catkinlanding::ctl
