#include <utilities/ctl/log_line.h>

#include <cstdio>

namespace catkinlanding::ctl {

namespace {

/// Parses a time such as 2026-12-04T10:40:41.250.
std::optional<std::chrono::milliseconds> parse_time(std::string const& text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millisecond = 0;
  int const read = std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%d", &year, &month, &day, &hour,
                               &minute, &second, &millisecond);
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

} // namespace

std::string log_line::field(std::string_view name) const {
  auto const found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::optional<log_line> parse_log_line(std::string_view line) {
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
  auto rest = line.substr(event + std::string_view(" event=").size());
  parsed.event = take_until(rest, ' ');
  parsed.event += " " + std::string(take_until(rest, ' '));
  read_fields(rest, parsed);
  return parsed;
}

} // namespace catkinlanding::ctl
