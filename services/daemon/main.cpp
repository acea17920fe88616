#include <services/daemon/connections/process_limits.h>
#include <services/daemon/crash_log.h>
#include <services/daemon/daemon.h>

#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <popt.h>
#include <sstream>

namespace {

constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_data_folder = 4;
constexpr int exit_listener = 5;

std::optional<std::string> read_file(char const* path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

std::optional<std::string> settings_path(int argc, char const** argv) {
  char* path = nullptr;
  std::array<poptOption, 3> const options{{
      {"settings", 's', POPT_ARG_STRING, static_cast<void*>(&path), 0, "Settings of this instance",
       "FILE"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context = poptGetContext("catkinlandingd", argc, argv, options.data(), 0);
  int const result = poptGetNextOpt(context);
  bool const is_usable = result == -1 && path != nullptr;
  if (!is_usable) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  return is_usable ? std::optional<std::string>(path) : std::nullopt;
}

int report_error(catkinlanding::daemon::data_folder_error const& error) {
  spdlog::critical("disk: {} can't be used: {}", error.path.string(), name_of(error.kind));
  return exit_data_folder;
}

int report_error(catkinlanding::daemon::listener_error const& error) {
  spdlog::critical("daemon: can't listen on {}:{}, {}: {}", error.address.ip, error.address.port,
                   name_of(error.kind), error.reason);
  return exit_listener;
}

} // namespace

int main(int argc, char const** argv) {
  auto const path = settings_path(argc, argv);
  if (!path) {
    return exit_usage;
  }
  auto const text = read_file(path->c_str());
  if (!text) {
    std::fprintf(stderr, "%s: can't read the settings file\n", path->c_str());
    return exit_settings;
  }
  auto settings = catkinlanding::settings::parse(*text);
  if (!settings) {
    for (auto const& error : settings.error()) {
      std::fprintf(stderr, "%s\n", catkinlanding::json::describe(*path, error).c_str());
    }
    return exit_settings;
  }
  spdlog::set_level(spdlog::level::from_str(settings->log_level));
  // As the default pattern of spdlog has it.
  catkinlanding::daemon::install_crash_log(
      {.before_time = "[", .time_separator = ' ', .after_time = "] [critical] "});
  catkinlanding::daemon::connections::return_freed_buffers();
  auto daemon = catkinlanding::daemon::daemon::create(std::move(*settings));
  if (!daemon) {
    return std::visit([](auto const& error) { return report_error(error); }, daemon.error());
  }
  return (*daemon)->run();
}
