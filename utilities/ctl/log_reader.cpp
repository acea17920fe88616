#include <utilities/ctl/log_reader.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <ranges>

namespace catkinlanding::ctl {

namespace {

struct log_file {
  std::string path;
  /// The time of its first line; zero if it has none.
  std::chrono::milliseconds begin{};
};

/// Passes on the lines of a file while the callback returns true. Returns whether it could be read.
template<class Callback>
bool read_lines(std::string const& path, Callback const& on_line) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "%s: can't be read\n", path.c_str());
    return false;
  }
  for (std::string text; std::getline(file, text);) {
    auto line = parse_log_line(text);
    if (line && !on_line(std::move(*line))) {
      break;
    }
  }
  return true;
}

} // namespace

bool read_logs(std::vector<std::string> const& paths,
               std::function<void(log_line)> const& on_line) {
  std::vector<log_file> files;
  for (auto const& path : paths) {
    log_file file{.path = path};
    bool const is_read = read_lines(path, [&](log_line const& line) {
      file.begin = line.time;
      return false;
    });
    if (!is_read) {
      return false;
    }
    files.push_back(std::move(file));
  }
  std::ranges::stable_sort(files, {}, &log_file::begin);
  return std::ranges::all_of(files, [&](log_file const& file) {
    auto instance = file.path;
    return read_lines(file.path, [&](log_line line) {
      if (is_process_start(line)) {
        instance = line.instance;
      }
      if (line.instance.empty()) {
        line.instance = instance;
      }
      on_line(std::move(line));
      return true;
    });
  });
}

} // namespace catkinlanding::ctl
