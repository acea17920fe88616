#include <utilities/ctl/invocation.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace catkinlanding::ctl {

namespace {

base::address const default_instance{.ip = "127.0.0.1", .port = 7001};

/// Values that `poptGetNextOpt` returns for options that are handled at each occurrence; options
/// without a value are only stored.
enum option_value : int { no_value = 0, instance_value = 1, help_value = 2 };

struct context_deleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

template<class Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value = 0;
  auto const* const end = text.data() + text.size();
  auto const result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::optional<base::address> parse_address(std::string_view text) {
  auto const colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto const port = parse_number<std::uint16_t>(text.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  return base::address{.ip = std::string(text.substr(0, colon)), .port = *port};
}

std::optional<invocation> parse_command_line(int argc, char const** argv,
                                             std::string const& command_help) {
  char* instance = nullptr;
  char* change_id = nullptr;
  char* base_revision = nullptr;
  char* author = nullptr;
  char* request = nullptr;
  char* max_lines = nullptr;
  int is_json = 0;
  int waits_until_in_force = 0;
  int prunes = 0;
  std::array<poptOption, 11> const options{{
      {"instance", 'i', POPT_ARG_STRING, static_cast<void*>(&instance), instance_value,
       "Operators' listener of an instance; may be repeated, and each is tried in turn", "IP:PORT"},
      {"change-id", 'c', POPT_ARG_STRING, static_cast<void*>(&change_id), no_value,
       "Id of the change, for sending it again; the whole file is sent then", "ID"},
      {"base-revision", 'r', POPT_ARG_STRING, static_cast<void*>(&base_revision), no_value,
       "Revision that the change is made against, if not the current one", "N"},
      {"author", 'a', POPT_ARG_STRING, static_cast<void*>(&author), no_value,
       "Who makes the change", "NAME"},
      {"request", 'q', POPT_ARG_STRING, static_cast<void*>(&request), no_value,
       "cut: only the end of a process that cut this request", "ID"},
      {"max-lines", 'm', POPT_ARG_STRING, static_cast<void*>(&max_lines), no_value,
       "cut: the most lines; what is left out is counted", "N"},
      {"json", 'j', POPT_ARG_NONE, static_cast<void*>(&is_json), no_value, "Print JSON on one line",
       nullptr},
      {"wait", 'w', POPT_ARG_NONE, static_cast<void*>(&waits_until_in_force), no_value,
       "Answer once the change is in force everywhere", nullptr},
      {"prune", 'p', POPT_ARG_NONE, static_cast<void*>(&prunes), no_value,
       "Remove what the file lacks", nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, help_value, "Show this", nullptr},
      POPT_TABLEEND,
  }};
  std::unique_ptr<poptContext_s, context_deleter> const context(
      poptGetContext("catkinctl", argc, argv, options.data(), 0));
  poptSetOtherOptionHelp(context.get(), "[OPTIONS] COMMAND");
  invocation invocation;
  int result = poptGetNextOpt(context.get());
  for (; result > 0; result = poptGetNextOpt(context.get())) {
    if (result == help_value) {
      poptPrintHelp(context.get(), stdout, 0);
      std::fputs(command_help.c_str(), stdout);
      std::exit(EXIT_SUCCESS);
    }
    auto const address = parse_address(instance);
    std::free(instance);
    if (!address) {
      return std::nullopt;
    }
    invocation.instances.push_back(*address);
  }
  auto const take_option_value = [](char* text) {
    std::string value = text == nullptr ? "" : text;
    std::free(text);
    return value;
  };
  invocation.change_id = take_option_value(change_id);
  invocation.request = take_option_value(request);
  auto const revision = take_option_value(base_revision);
  if (auto const name = take_option_value(author); !name.empty()) {
    invocation.author = name;
  }
  if (!revision.empty()) {
    invocation.base_revision = parse_number<catalogue::revision>(revision);
    if (!invocation.base_revision) {
      return std::nullopt;
    }
  }
  if (auto const lines = take_option_value(max_lines); !lines.empty()) {
    auto const number = parse_number<std::size_t>(lines);
    if (!number) {
      return std::nullopt;
    }
    invocation.max_lines = *number;
  }
  if (result != -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(result));
    return std::nullopt;
  }
  for (char const* argument = poptGetArg(context.get()); argument != nullptr;
       argument = poptGetArg(context.get())) {
    invocation.positional_arguments.emplace_back(argument);
  }
  invocation.is_json = is_json != 0;
  invocation.waits_until_in_force = waits_until_in_force != 0;
  invocation.prunes = prunes != 0;
  if (invocation.instances.empty()) {
    invocation.instances.push_back(default_instance);
  }
  return invocation;
}

} // namespace catkinlanding::ctl
