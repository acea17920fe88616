#pragma once

#include <utilities/ctl/log_line.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::ctl {

/// How a process ended, by its own lines.
enum class process_end_kind : std::uint8_t {
  /// It was told to stop, and ended in order.
  stopped,
  /// A line of the level `critical` says why it ended by itself.
  failed,
  /// No line says that it ends, and the instance started again later.
  killed,
  /// No line says that it ends: it was killed, or still runs.
  log_ends,
};

/// The line that a cut request is known by.
enum class cut_evidence : std::uint8_t {
  /// The process named it when it ended.
  named_at_end,
  /// It has lines, and none says that it ended.
  not_ended,
  /// `catkinlandingd` waited for it when it was told to stop. A request that ends well has no line
  /// there, so it may have ended before the process did.
  open_at_stop,
};

/// A request that was open when its process ended.
struct cut_request {
  /// Empty if the process had not read it yet.
  std::string id;
  std::string route;
  /// The endpoint, or the entry instance it was passed on to.
  std::string endpoint;
  /// As `entry cut_by_stop` names it; "sent" if it was sent and no line tells whether a part of the
  /// answer came.
  std::string state;
  std::string attempt;
  cut_evidence evidence = cut_evidence::not_ended;
  /// From the end of the process to the arrival of its header, or to its first line: negative.
  std::optional<std::chrono::milliseconds> arrival;
  /// The time that its caller would still have waited when the process ended.
  std::optional<std::chrono::milliseconds> left;
};

/// The end of a process, with the requests that it cut.
struct process_end {
  std::string instance;
  process_end_kind kind = process_end_kind::log_ends;
  /// The process's own words; empty if it had none.
  std::string reason;
  /// The line that says so, or else its last one; milliseconds since 1970 by its clock.
  std::chrono::milliseconds time{};
  std::optional<std::chrono::milliseconds> next_start;
  /// Lines that the process dropped: a request may have ended with one of them.
  std::uint64_t lines_lost = 0;
  /// Requests that it cut without naming them, as there were too many.
  std::uint64_t unnamed = 0;
  std::vector<cut_request> requests;
};

[[nodiscard]] char const* name_of(process_end_kind kind);
[[nodiscard]] char const* name_of(cut_evidence evidence);

/// Finds the ends of processes in their log lines. Holds the requests that are open at the line
/// reached, and those that were cut. The lines of one instance come in the order in which they were
/// written.
class process_ends {
public:
  void add(log_line const& line);
  /// Ends the reading. Returns the ends in the order of time: all that say why, and of the others
  /// those that an instance's next start or open requests show.
  [[nodiscard]] std::vector<process_end> take();

private:
  struct open_request {
    std::string route;
    std::string endpoint;
    std::string state;
    std::string attempt;
    cut_evidence evidence = cut_evidence::not_ended;
    std::chrono::milliseconds first_line{};
    /// When its caller stops waiting.
    std::optional<std::chrono::milliseconds> deadline;
  };

  struct process {
    std::chrono::milliseconds last_line{};
    std::chrono::milliseconds signal{};
    std::optional<std::chrono::milliseconds> stopped;
    std::string stop;
    std::string fault;
    std::uint64_t lines_lost = 0;
    std::uint64_t unnamed = 0;
    std::map<std::string, open_request> open;
    std::vector<cut_request> named;
  };

  static void note_request(process& process, log_line const& line);
  static void note_cut(process& process, log_line const& line);
  static void note_process(process& process, log_line const& line);
  void end(std::string const& instance, process& process,
           std::optional<std::chrono::milliseconds> next_start);

  std::map<std::string, process> m_processes;
  std::vector<process_end> m_ends;
};

} // namespace catkinlanding::ctl
