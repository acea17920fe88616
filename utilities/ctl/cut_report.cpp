#include <utilities/ctl/cut_report.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace catkinlanding::ctl {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Written for what is not known.
constexpr char const* absent = "-";

/// What the bound on lines leaves of the ends.
struct bounded_ends {
  std::vector<process_end> ends;
  std::size_t ends_left_out = 0;
  std::size_t requests_left_out = 0;
};

std::string time_text(milliseconds time) {
  auto const day = std::chrono::floor<std::chrono::days>(time);
  std::chrono::year_month_day const date{std::chrono::sys_days(day)};
  std::chrono::hh_mm_ss const clock(time - day);
  std::array<char, 40> text{};
  auto const size = std::snprintf(
      text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03d", static_cast<int>(date.year()),
      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
      static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()),
      static_cast<int>(clock.seconds().count()), static_cast<int>(clock.subseconds().count()));
  return {text.data(), static_cast<std::size_t>(size)};
}

std::string or_absent(std::string const& text) {
  return text.empty() ? absent : text;
}

std::string or_absent(std::optional<milliseconds> time) {
  return time ? std::to_string(time->count()) : absent;
}

/// The ends that cut the request, with it alone; all if the id is empty.
std::vector<process_end> ends_of(std::vector<process_end> const& ends, std::string const& id) {
  if (id.empty()) {
    return ends;
  }
  std::vector<process_end> found;
  for (auto end : ends) {
    std::erase_if(end.requests, [&](cut_request const& request) { return request.id != id; });
    if (!end.requests.empty()) {
      found.push_back(std::move(end));
    }
  }
  return found;
}

bounded_ends bound(std::vector<process_end> ends, std::size_t max_lines) {
  bounded_ends bounded;
  for (auto& end : ends) {
    auto const requests = end.requests.size();
    if (max_lines == 0) {
      ++bounded.ends_left_out;
      bounded.requests_left_out += requests;
      continue;
    }
    --max_lines;
    auto const kept = std::min(max_lines, requests);
    end.requests.resize(kept);
    max_lines -= kept;
    bounded.requests_left_out += requests - kept;
    bounded.ends.push_back(std::move(end));
  }
  return bounded;
}

std::string text_of(process_end const& end, std::size_t requests) {
  auto const next = end.next_start ? time_text(*end.next_start) : absent;
  return "end instance=" + end.instance + " kind=" + name_of(end.kind) +
         " time=" + time_text(end.time) + " next_start=" + next +
         " requests=" + std::to_string(requests) + " unnamed=" + std::to_string(end.unnamed) +
         " lines_lost=" + std::to_string(end.lines_lost) + " reason: " + or_absent(end.reason) +
         "\n";
}

std::string text_of(cut_request const& request) {
  return "  cut request=" + or_absent(request.id) + " route=" + or_absent(request.route) +
         " state=" + or_absent(request.state) + " endpoint=" + or_absent(request.endpoint) +
         " attempt=" + or_absent(request.attempt) + " arrival_ms=" + or_absent(request.arrival) +
         " left_ms=" + or_absent(request.left) + " evidence=" + name_of(request.evidence) + "\n";
}

json json_of(std::string const& text) {
  return text.empty() ? json() : json(text);
}

json json_of(std::optional<milliseconds> time) {
  return time ? json(time->count()) : json();
}

json json_of(cut_request const& request) {
  return {{"request", json_of(request.id)},      {"route", json_of(request.route)},
          {"state", json_of(request.state)},     {"endpoint", json_of(request.endpoint)},
          {"attempt", json_of(request.attempt)}, {"arrival_ms", json_of(request.arrival)},
          {"left_ms", json_of(request.left)},    {"evidence", name_of(request.evidence)}};
}

json json_of(process_end const& end) {
  auto requests = json::array();
  for (auto const& request : end.requests) {
    requests.push_back(json_of(request));
  }
  return {{"instance", end.instance},
          {"kind", name_of(end.kind)},
          {"time", time_text(end.time)},
          {"next_start", end.next_start ? json(time_text(*end.next_start)) : json()},
          {"reason", json_of(end.reason)},
          {"unnamed", end.unnamed},
          {"lines_lost", end.lines_lost},
          {"requests", std::move(requests)}};
}

std::string json_text(bounded_ends const& bounded) {
  auto ends = json::array();
  for (auto const& end : bounded.ends) {
    ends.push_back(json_of(end));
  }
  json const whole = {{"ends", std::move(ends)},
                      {"ends_left_out", bounded.ends_left_out},
                      {"requests_left_out", bounded.requests_left_out}};
  // A log may hold bytes that are no text.
  return whole.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

std::string cut_report(std::vector<process_end> const& ends, cut_report_options const& options) {
  auto const selected = ends_of(ends, options.request);
  auto const bounded = bound(selected, options.max_lines);
  if (options.is_json) {
    return json_text(bounded);
  }
  std::string text;
  for (std::size_t i = 0; i < bounded.ends.size(); ++i) {
    text += text_of(bounded.ends[i], selected[i].requests.size());
    for (auto const& request : bounded.ends[i].requests) {
      text += text_of(request);
    }
  }
  if (bounded.ends_left_out + bounded.requests_left_out > 0) {
    text += "left out: ends=" + std::to_string(bounded.ends_left_out) +
            " requests=" + std::to_string(bounded.requests_left_out) + "\n";
  }
  return text.empty() ? "No end of a process cut it, or none is in these files.\n" : text;
}

} // namespace catkinlanding::ctl
