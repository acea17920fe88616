#pragma once

#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string_view>

namespace catkinlanding::proxy {

/// Writes log lines to a file descriptor whose reader may fall behind or stop reading. Lines that
/// find no room are dropped, and a line tells how many once there is room again. A reader that
/// stopped delays the first line only, so the process can still end.
class log_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  struct options {
    int descriptor = 1;
    /// How long a line may wait for room after others found some.
    std::chrono::milliseconds patience{100};
    /// The lines that were dropped so far before they reached the sink; empty if none ever are.
    std::function<std::uint64_t()> dropped_before;
  };

  explicit log_sink(options options) : m_options(std::move(options)) {}

protected:
  void sink_it_(spdlog::details::log_msg const& line) override;
  void flush_() override {}

private:
  [[nodiscard]] bool has_room();
  [[nodiscard]] bool write(spdlog::details::log_msg const& line);
  /// Writes how many lines were dropped since the last time. Returns whether there was room.
  [[nodiscard]] bool tell_losses();

  options m_options;
  bool m_is_blocked = false;
  std::uint64_t m_dropped_here = 0;
  std::uint64_t m_told = 0;
};

} // namespace catkinlanding::proxy
