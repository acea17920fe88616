#pragma once

#include <libraries/base/address.h>
#include <utilities/load/samples.h>

#include <chrono>
#include <cstdint>
#include <string>

/// Load generator: sends requests to one HTTP server and measures the response times.
namespace catkinlanding::load {

struct options {
  base::address target;
  std::string path = "/v1/chat/completions";
  std::string key;
  std::string body;
  int connections = 8;
  /// Requests per second over all connections. With zero, each connection sends its next request
  /// as soon as the previous one is complete (closed loop).
  int rate = 0;
  /// The maximum number of requests to send; zero means no limit.
  int requests = 0;
  std::chrono::seconds duration{10};
};

struct result {
  /// Times from when a request was due to the response header and to the end of the response.
  /// Measuring from the due time rather than the send time avoids coordinated omission: requests
  /// that a stalled server delays count with their whole delay.
  samples first_byte_latency;
  samples total_latency;
  std::uint64_t failures = 0;
  std::chrono::nanoseconds elapsed{};
};

/// Runs on the calling thread until `duration` has passed or `requests` have been sent, and the
/// requests in flight have ended.
[[nodiscard]] result run(options const& options);

} // namespace catkinlanding::load
