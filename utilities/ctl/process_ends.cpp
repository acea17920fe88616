#include <utilities/ctl/process_ends.h>

#include <algorithm>
#include <charconv>

namespace catkinlanding::ctl {

namespace {

using std::chrono::milliseconds;

std::optional<std::int64_t> number_in(log_line const& line, std::string_view field) {
  auto const text = line.field(field);
  std::int64_t value = 0;
  auto const* const end = text.data() + text.size();
  auto const read = std::from_chars(text.data(), end, value);
  bool const is_number = read.ec == std::errc{} && read.ptr == end && !text.empty();
  return is_number ? std::optional(value) : std::nullopt;
}

std::optional<milliseconds> time_in(log_line const& line, std::string_view field) {
  auto const value = number_in(line, field);
  return value ? std::optional(milliseconds(*value)) : std::nullopt;
}

/// The value of the field; empty if the line says that there is none.
std::string text_in(log_line const& line, std::string_view field) {
  auto text = line.field(field);
  return text == "-" ? "" : text;
}

/// The line without the time, the level and the instance.
std::string content_of(log_line const& line) {
  auto const begin = line.text.find(line.event);
  return begin == std::string::npos ? line.text : line.text.substr(begin);
}

/// Whether no line about the request follows, as its caller has an answer or is gone.
bool ends_request(log_line const& line) {
  return line.event == "entry ended" || line.event == "entry refused" ||
         line.event == "requests lost";
}

} // namespace

char const* name_of(process_end_kind kind) {
  switch (kind) {
  case process_end_kind::stopped:
    return "stopped";
  case process_end_kind::failed:
    return "failed";
  case process_end_kind::killed:
    return "killed";
  case process_end_kind::log_ends:
    return "log_ends";
  }
  return "unknown";
}

char const* name_of(cut_evidence evidence) {
  switch (evidence) {
  case cut_evidence::named_at_end:
    return "named_at_end";
  case cut_evidence::not_ended:
    return "not_ended";
  case cut_evidence::open_at_stop:
    return "open_at_stop";
  }
  return "unknown";
}

void process_ends::add(log_line const& line) {
  if (is_process_start(line)) {
    if (auto const found = m_processes.find(line.instance); found != m_processes.end()) {
      end(line.instance, found->second, line.time);
      m_processes.erase(found);
    }
  }
  auto& process = m_processes[line.instance];
  process.last_line = line.time;
  note_process(process, line);
  if (line.event == "entry cut_by_stop") {
    note_cut(process, line);
  } else if (ends_request(line)) {
    process.open.erase(line.field("request"));
  } else {
    note_request(process, line);
  }
}

void process_ends::note_process(process& process, log_line const& line) {
  if (line.field("level") == "critical") {
    // What ends a process may make it abort too; the first line says why.
    process.fault = process.fault.empty() ? content_of(line) : process.fault;
  } else if (line.event == "process stopping" || line.event == "daemon: received") {
    process.stop = content_of(line);
    process.signal = line.time;
  } else if (line.event == "process stopped" || line.event == "daemon: stopped") {
    process.stopped = line.time;
  } else if (line.event == "log lines_lost") {
    process.lines_lost += static_cast<std::uint64_t>(number_in(line, "lines").value_or(0));
  } else if (line.event == "entry cut_by_stop_lines_left_out") {
    process.unnamed = static_cast<std::uint64_t>(number_in(line, "count").value_or(0));
  }
}

void process_ends::note_request(process& process, log_line const& line) {
  auto const id = line.field("request");
  bool const is_attempt = line.event == "entry attempt";
  bool const is_relayed = line.event == "entry relayed";
  bool const is_waiting = line.event == "entry awaiting_state";
  bool const is_listed = line.event == "daemon stopping" && !id.empty();
  bool const is_opening = is_attempt || is_relayed || is_waiting || is_listed;
  auto found = process.open.find(id);
  if (found == process.open.end()) {
    if (!is_opening) {
      return;
    }
    found = process.open.emplace(id, open_request{}).first;
    found->second.first_line = line.time;
  }
  auto& request = found->second;
  if (auto const left = time_in(line, "left_ms"); left && *left >= milliseconds::zero()) {
    request.deadline = line.time + *left;
  }
  if (is_waiting) {
    request.state = "awaiting_state";
  } else if (is_listed) {
    request.state = line.field("progress");
    request.evidence = cut_evidence::open_at_stop;
    request.endpoint = line.field("endpoint");
    request.attempt = line.field("attempts");
  } else if (is_relayed || (is_attempt && line.field("beside").empty())) {
    // An attempt beside another one is not the request's own until the endpoint accepts it.
    request.state = request.state == "answering" ? request.state : "sent";
    request.endpoint = line.field(is_relayed ? "peer" : "endpoint");
    request.route = line.field("route");
    request.attempt = line.field("number");
  } else if (line.event == "entry attempt_failed" && number_in(line, "events").value_or(0) > 0) {
    request.state = "answering";
  }
}

void process_ends::note_cut(process& process, log_line const& line) {
  cut_request request{.id = text_in(line, "request"),
                      .route = text_in(line, "route"),
                      .endpoint = text_in(line, "endpoint"),
                      .state = line.field("state"),
                      .attempt = line.field("attempt"),
                      .evidence = cut_evidence::named_at_end,
                      .left = time_in(line, "left_ms")};
  auto const header = time_in(line, "header_ms");
  if (header && process.stopped) {
    request.arrival = process.signal + *header - *process.stopped;
  }
  process.open.erase(request.id);
  process.named.push_back(std::move(request));
}

void process_ends::end(std::string const& instance, process& process,
                       std::optional<milliseconds> next_start) {
  process_end end{.instance = instance,
                  .time = process.stopped.value_or(process.last_line),
                  .next_start = next_start,
                  .lines_lost = process.lines_lost,
                  .requests = std::move(process.named)};
  if (!process.fault.empty()) {
    end.kind = process_end_kind::failed;
    end.reason = process.fault;
  } else {
    end.reason = process.stop;
    end.kind = process.stopped ? process_end_kind::stopped
               : next_start    ? process_end_kind::killed
                               : process_end_kind::log_ends;
  }
  for (auto& [id, request] : process.open) {
    std::optional<milliseconds> left;
    if (request.deadline) {
      left = *request.deadline - end.time;
    }
    end.requests.push_back({.id = id,
                            .route = std::move(request.route),
                            .endpoint = std::move(request.endpoint),
                            .state = std::move(request.state),
                            .attempt = std::move(request.attempt),
                            .evidence = request.evidence,
                            .arrival = request.first_line - end.time,
                            .left = left});
  }
  // Those without a line at the end of the process are among the ones that have earlier lines.
  auto const found_open = static_cast<std::uint64_t>(process.open.size());
  end.unnamed = process.unnamed > found_open ? process.unnamed - found_open : 0;
  m_ends.push_back(std::move(end));
}

std::vector<process_end> process_ends::take() {
  for (auto& [instance, process] : m_processes) {
    bool const has_ended = process.stopped || !process.fault.empty();
    if (has_ended || !process.open.empty()) {
      end(instance, process, std::nullopt);
    }
  }
  m_processes.clear();
  std::ranges::stable_sort(m_ends, {}, &process_end::time);
  return std::move(m_ends);
}

} // namespace catkinlanding::ctl
