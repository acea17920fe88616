#include <services/daemon/connections/process_limits.h>
#include <services/proxy/control_process.h>
#include <services/proxy/entry_process.h>
#include <services/proxy/log.h>

#include <platform/http_protocol_adapter.h>
#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <popt.h>
#include <sstream>

namespace {

namespace proxy = catkinlanding::proxy;
namespace daemon_parts = catkinlanding::daemon;

constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_data_folder = 4;
constexpr int exit_listener = 5;
/// The resolution of election and heartbeat timers in the replicated log.
constexpr std::chrono::milliseconds control_tick{40};
constexpr std::chrono::milliseconds entry_tick{100};

enum class role { entry, control };

struct invocation {
  role selected_role = role::entry;
  std::string settings_path;
};

std::optional<invocation> read_arguments(int argc, char const** argv) {
  char* role_name = nullptr;
  char* path = nullptr;
  std::array<poptOption, 4> const options{{
      {"role", 'r', POPT_ARG_STRING, static_cast<void*>(&role_name), 0, "Role of this instance",
       "entry|control"},
      {"settings", 's', POPT_ARG_STRING, static_cast<void*>(&path), 0,
       "Settings file of this instance; default: the value of CATKINLANDING_SETTINGS", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context = poptGetContext("catkinlanding-proxy", argc, argv, options.data(), 0);
  bool const is_read = poptGetNextOpt(context) == -1;
  std::string const name = role_name == nullptr ? "" : role_name;
  char const* const settings = path != nullptr ? path : std::getenv("CATKINLANDING_SETTINGS");
  bool const is_usable = is_read && settings != nullptr && (name == "entry" || name == "control");
  if (!is_usable) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  if (!is_usable) {
    return std::nullopt;
  }
  return invocation{.selected_role = name == "entry" ? role::entry : role::control,
                    .settings_path = settings};
}

std::optional<proxy::process_settings> read_settings(std::string const& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::fprintf(stderr, "%s: can't be read\n", path.c_str());
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto settings = proxy::parse_settings(text.str());
  if (!settings) {
    for (auto const& error : settings.error()) {
      std::fprintf(stderr, "%s\n", catkinlanding::json::describe(path, error).c_str());
    }
    return std::nullopt;
  }
  return std::move(*settings);
}

int log_open_error(daemon_parts::data_folder_error const& error) {
  spdlog::critical("process data_folder_unusable path={} fault={}", error.path.string(),
                   name_of(error.kind));
  return exit_data_folder;
}

int log_open_error(daemon_parts::listener_error const& error) {
  spdlog::critical("process listener_unusable address={}:{} fault={} detail=\"{}\"",
                   error.address.ip, error.address.port, name_of(error.kind), error.reason);
  return exit_listener;
}

int run_entry(proxy::process::options options, proxy::protocol_adapter const& protocol_adapter) {
  options.tick_interval = entry_tick;
  proxy::entry_process process(std::move(options), protocol_adapter);
  if (auto const opened = process.open(); !opened) {
    return log_open_error(opened.error());
  }
  process.run();
  return EXIT_SUCCESS;
}

int run_control(proxy::process::options options, proxy::protocol_adapter const& protocol_adapter) {
  options.tick_interval = control_tick;
  proxy::control_process process(std::move(options), protocol_adapter);
  if (auto const opened = process.open(); !opened) {
    return std::visit([](auto const& error) { return log_open_error(error); }, opened.error());
  }
  process.run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char const** argv) {
  auto const invocation = read_arguments(argc, argv);
  if (!invocation) {
    return exit_usage;
  }
  auto settings = read_settings(invocation->settings_path);
  if (!settings) {
    return exit_settings;
  }
  proxy::start_log(settings->name, settings->log_level);
  bool const is_entry = invocation->selected_role == role::entry;
  spdlog::info("process started role={} zone={} seeds={}", is_entry ? "entry" : "control",
               settings->zone.value, settings->seeds.size());
  daemon_parts::connections::return_freed_buffers();
  catkinlanding::platform::http_protocol_adapter const protocol_adapter;
  proxy::process::options options{.settings = std::move(*settings),
                                  .settings_path = invocation->settings_path};
  int const code = is_entry ? run_entry(std::move(options), protocol_adapter)
                            : run_control(std::move(options), protocol_adapter);
  proxy::stop_log();
  return code;
}
