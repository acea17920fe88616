#include <utilities/ctl/log_line.h>

#include <cstdio>

namespace catkinlanding::ctl {

namespace {

/// The first event of each process of `catkinlandingd`, followed by the name of the instance.
constexpr std::string_view daemon_start_event = "daemon: instance";

/// Parses a time such as 2026-12-04T10:40:41.250, or with a space in the middle.
std::optional<std::chrono::milliseconds> parse_time(std::string const& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millisecond = 0;
  int const read = std::sscanf(text.c_str(), "%d-%u-%u%*1[T ]%d:%d:%d.%d", &year, &month, &day,
                               &hour, &minute, &second, &millisecond);
  std::chrono::year_month_day const date{std::chrono::year{year}, std::chrono::month{month},
                                         std::chrono::day{day}};
  constexpr int parts = 7;
  if (read != parts || !date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days{date}.time_since_epoch() + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second) +
         std::chrono::milliseconds(millisecond);
}

/// Removes the text before the separator, and the separator itself, from `rest` and returns it.
std::string_view take_until(std::string_view& rest, char separator) {
  auto const end = rest.find(separator);
  auto const taken = rest.substr(0, end);
  rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  return taken;
}

/// Takes a value, which may be in quotation marks.
std::string_view take_value(std::string_view& rest) {
  if (!rest.starts_with('"')) {
    return take_until(rest, ' ');
  }
  rest.remove_prefix(1);
  auto const value = take_until(rest, '"');
  std::ignore = take_until(rest, ' ');
  return value;
}

void read_fields(std::string_view rest, log_line& line) {
  while (!rest.empty()) {
    auto const end = rest.find_first_of("= ");
    if (end == std::string_view::npos || rest[end] == ' ') {
      std::ignore = take_until(rest, ' ');
      continue;
    }
    auto const name = take_until(rest, '=');
    line.fields.insert_or_assign(std::string(name), std::string(take_value(rest)));
  }
}

/// Reads the two words of the event and the fields after them.
void read_event(std::string_view rest, log_line& line) {
  line.event = take_until(rest, ' ');
  line.event += " " + std::string(take_until(rest, ' '));
  if (line.event == daemon_start_event) {
    line.instance = take_until(rest, ' ');
  }
  read_fields(rest, line);
}

/// Parses a line of the proxy, such as "TIME level=info instance=NAME event=entry ended ...".
std::optional<log_line> parse_proxy_line(std::string_view line) {
  auto const level = line.find(" level=");
  auto const event = line.find(" event=");
  if (level == std::string_view::npos || event == std::string_view::npos || event < level) {
    return std::nullopt;
  }
  auto const before_time = line.substr(0, level).rfind(' ');
  auto const begin = before_time == std::string_view::npos ? 0 : before_time + 1;
  auto const time = parse_time(std::string(line.substr(begin, level - begin)));
  if (!time) {
    return std::nullopt;
  }
  log_line parsed;
  parsed.time = *time;
  parsed.text = line.substr(begin);
  read_fields(line.substr(level, event - level), parsed);
  parsed.instance = parsed.field("instance");
  read_event(line.substr(event + std::string_view(" event=").size()), parsed);
  return parsed;
}

/// Parses a line of `catkinlandingd`, such as "[TIME] [info] daemon stopping ...".
std::optional<log_line> parse_daemon_line(std::string_view line) {
  constexpr std::string_view before_level = "] [";
  constexpr std::string_view after_level = "] ";
  constexpr std::size_t time_size = 23;
  auto const time_end = line.find(before_level);
  if (time_end == std::string_view::npos || time_end <= time_size ||
      line[time_end - time_size - 1] != '[') {
    return std::nullopt;
  }
  auto const time = parse_time(std::string(line.substr(time_end - time_size, time_size)));
  auto const level = time_end + before_level.size();
  auto const level_end = line.find(after_level, level);
  if (!time || level_end == std::string_view::npos) {
    return std::nullopt;
  }
  log_line parsed;
  parsed.time = *time;
  parsed.text = line.substr(time_end - time_size - 1);
  parsed.fields.emplace("level", line.substr(level, level_end - level));
  read_event(line.substr(level_end + after_level.size()), parsed);
  return parsed;
}

} // namespace

std::string log_line::field(std::string_view name) const {
  auto const found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::optional<log_line> parse_log_line(std::string_view line) {
  auto parsed = parse_proxy_line(line);
  return parsed ? parsed : parse_daemon_line(line);
}

bool is_process_start(log_line const& line) {
  return line.event == "process started" || line.event == daemon_start_event;
}

} // namespace catkinlanding::ctl
