#pragma once

#include <utilities/ctl/log_line.h>

#include <string>
#include <string_view>
#include <vector>

namespace catkinlanding::ctl {

/// Collects the log lines of one request, and those that tell which state its decisions relied on.
/// The lines may come from several processes and in any order.
class explanation {
public:
  explicit explanation(std::string request) : m_request(std::move(request)) {}

  /// Keeps the line if it may matter.
  void add(log_line line);

  /// The request's story in the order of time. Below each attempt, and below the end of a request
  /// without any, stands what the instance knew then, with its age, and what it learned about the
  /// endpoint soon after; at the end, what the outcome means. Empty if no line names the request.
  [[nodiscard]] std::string text() const;

private:
  [[nodiscard]] std::vector<log_line const*> story() const;
  /// Since when the instance reached no endpoint when it wrote the line; empty if it did.
  [[nodiscard]] std::string reachability_at(log_line const& decision) const;
  /// What the instance knew of the document and the leader when it wrote the line.
  [[nodiscard]] std::string general_inputs_of(log_line const& decision) const;
  /// What it also knew of the attempt's endpoint and version.
  [[nodiscard]] std::string inputs_of(log_line const& attempt) const;
  /// What it learned about the attempt's endpoint soon after.
  [[nodiscard]] std::string learned_after(log_line const& attempt) const;
  /// The last line of the event before the decision, by the same process, whose field has the
  /// value; nullptr if there is none. An empty field name matches all lines.
  [[nodiscard]] log_line const* latest_before(log_line const& decision, std::string_view event,
                                              std::string_view field = {},
                                              std::string_view value = {}) const;

  std::string m_request;
  std::vector<log_line> m_request_lines;
  std::vector<log_line> m_state_lines;
  /// Lines added so far.
  std::uint64_t m_lines = 0;
};

} // namespace catkinlanding::ctl
