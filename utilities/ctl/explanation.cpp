#include <utilities/ctl/explanation.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <tuple>

namespace catkinlanding::ctl {

namespace {

/// What an instance learns about an endpoint within this time after an attempt may explain how the
/// attempt ended.
constexpr std::chrono::seconds learning_time{10};

/// The events that tell what an instance knew.
constexpr std::array<std::string_view, 10> state_events{
    "control endpoint",  "control document", "control rollout", "control isolated",
    "control lost",      "control regained", "entry cut_off",   "entry endpoint_notice",
    "entry reconnected", "process started"};

struct meaning {
  std::string_view reason;
  std::string_view text;
};

/// What the reasons in `entry ended` mean.
constexpr std::array<meaning, 14> meanings{{
    {"whole", "The caller got the whole answer."},
    {"relayed", "Another entry instance answered; its lines on the request tell how."},
    {"endpoint_failed", "The endpoint's own error answer was passed on."},
    {"caller_left", "The caller closed its connection before the answer was complete."},
    {"unknown_route", "No route of the document in force matches the host and path."},
    {"unknown_key",
     "The route needs a key, and no customer of the document in force has this one."},
    {"no_document", "The instance had no document yet."},
    {"no_endpoint", "No endpoint of the service was known to accept requests, or all were tried."},
    {"deferred", "All endpoints of the service had said that they want requests later."},
    {"quarantined", "The request has a trait under which endpoints ended."},
    {"not_run", "No endpoint ran the request, and none was left to try."},
    {"expired_unsent", "The caller's time was over before any endpoint ran the request."},
    {"expired", "The caller's time was over; an endpoint may have run the request."},
    {"outcome_unknown", "An endpoint may have run the request, and it may not be sent again."},
}};

std::string meaning_of(std::string_view reason) {
  auto const* const found = std::ranges::find(meanings, reason, &meaning::reason);
  return found == meanings.end() ? "The log has no further word on this."
                                 : std::string(found->text);
}

std::string seconds_text(std::chrono::milliseconds time) {
  std::array<char, 32> text{};
  auto const seconds = std::chrono::duration<double>(time).count();
  auto const size = std::snprintf(text.data(), text.size(), "%.3f s", seconds);
  return {text.data(), static_cast<std::size_t>(size)};
}

/// The event and the fields of the line, without time and instance.
std::string content_of(log_line const& line) {
  auto const begin = line.text.find("event=");
  return begin == std::string::npos ? line.text : line.text.substr(begin + 6);
}

std::string known_since(log_line const& state, log_line const& decision) {
  return "    known since " + seconds_text(decision.time - state.time) + ": " + content_of(state) +
         "\n";
}

/// Whether the line was written later than the other one of the same instance.
bool is_after(log_line const& line, log_line const& other) {
  return std::tie(line.time, line.number) > std::tie(other.time, other.number);
}

} // namespace

void explanation::add(log_line line) {
  line.number = ++m_lines;
  if (line.field("request") == m_request) {
    m_request_lines.push_back(line);
  }
  if (std::ranges::find(state_events, line.event) != state_events.end()) {
    m_state_lines.push_back(std::move(line));
  }
}

std::string explanation::text() const {
  std::string text;
  std::string end;
  for (auto const* line : story()) {
    text += line->text + "\n";
    if (line->event == "entry attempt") {
      text += inputs_of(*line) + learned_after(*line);
    }
    if (line->event == "entry relayed") {
      text += reachability_at(*line);
    }
    if (line->event == "entry ended") {
      text += line->field("attempts") == "0" ? general_inputs_of(*line) : "";
      end = "Ended as " + line->field("outcome") + ", " + line->field("reason") + ": " +
            meaning_of(line->field("reason")) + "\n";
    }
  }
  if (!text.empty() && end.empty()) {
    end = "These files do not tell how the request ended.\n";
  }
  return text + end;
}

std::vector<log_line const*> explanation::story() const {
  std::vector<log_line const*> lines;
  for (auto const& line : m_request_lines) {
    lines.push_back(&line);
  }
  std::ranges::stable_sort(lines, {}, [](auto const* line) { return line->time; });
  return lines;
}

log_line const* explanation::latest_before(log_line const& decision, std::string_view event,
                                           std::string_view field, std::string_view value) const {
  log_line const* latest = nullptr;
  log_line const* start = nullptr;
  auto const keep_later = [](log_line const*& kept, log_line const& line) {
    if (kept == nullptr || line.time >= kept->time) {
      kept = &line;
    }
  };
  for (auto const& line : m_state_lines) {
    if (line.instance != decision.instance || is_after(line, decision)) {
      continue;
    }
    if (line.event == "process started") {
      keep_later(start, line);
    }
    if (line.event == event && (field.empty() || line.field(field) == value)) {
      keep_later(latest, line);
    }
  }
  // An earlier process of the instance took its state with it.
  bool const is_lost = latest != nullptr && start != nullptr && is_after(*start, *latest);
  return is_lost ? nullptr : latest;
}

std::string explanation::reachability_at(log_line const& decision) const {
  auto const* cut_off = latest_before(decision, "entry cut_off");
  auto const* reconnected = latest_before(decision, "entry reconnected");
  bool const is_over =
      cut_off != nullptr && reconnected != nullptr && is_after(*reconnected, *cut_off);
  return cut_off == nullptr || is_over ? "" : known_since(*cut_off, decision);
}

std::string explanation::general_inputs_of(log_line const& decision) const {
  std::string text;
  for (auto const* event : {"process started", "control document", "control isolated"}) {
    if (auto const* known = latest_before(decision, event)) {
      text += known_since(*known, decision);
    }
  }
  auto const* lost = latest_before(decision, "control lost");
  auto const* regained = latest_before(decision, "control regained");
  if (lost != nullptr && (regained == nullptr || is_after(*lost, *regained))) {
    text += known_since(*lost, decision);
  }
  return text;
}

std::string explanation::inputs_of(log_line const& attempt) const {
  auto const endpoint = attempt.field("endpoint");
  std::array const inputs{
      latest_before(attempt, "control endpoint", "id", endpoint),
      latest_before(attempt, "entry endpoint_notice", "endpoint", endpoint),
      latest_before(attempt, "control rollout", "target", attempt.field("version"))};
  auto text = general_inputs_of(attempt);
  for (auto const* input : inputs) {
    if (input != nullptr) {
      text += known_since(*input, attempt);
    }
  }
  return text;
}

std::string explanation::learned_after(log_line const& attempt) const {
  std::string text;
  auto const endpoint = attempt.field("endpoint");
  for (auto const& line : m_state_lines) {
    bool const is_later = line.instance == attempt.instance && is_after(line, attempt) &&
                          line.time <= attempt.time + learning_time;
    bool const concerns_endpoint =
        line.field("id") == endpoint || line.field("endpoint") == endpoint;
    bool const is_own_line = line.field("request") == m_request;
    if (is_later && concerns_endpoint && !is_own_line && !endpoint.empty()) {
      text += "    learned " + seconds_text(line.time - attempt.time) +
              " later: " + content_of(line) + "\n";
    }
  }
  return text;
}

} // namespace catkinlanding::ctl
