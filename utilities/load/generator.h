#pragma once

#include <libraries/base/address.h>
#include <utilities/load/samples.h>

#include <chrono>
#include <cstdint>
#include <string>

/// Sends requests to one HTTP server and measures the answers.
namespace catkinlanding::load {

struct options {
  base::address target;
  std::string path = "/v1/chat/completions";
  std::string key;
  std::string body;
  int connections = 8;
  /// Requests a second over all connections. Zero sends each as soon as the last was answered.
  int rate = 0;
  /// How many requests to send at most. Zero sets no bound.
  int requests = 0;
  std::chrono::seconds duration{10};
};

struct result {
  /// From the time at which a request was due to the first byte and to the end of its answer, so
  /// that a server that stalls pays for the requests that it kept from being sent.
  samples first_byte_latency;
  samples total_latency;
  std::uint64_t failures = 0;
  std::chrono::nanoseconds elapsed{};
};

/// Runs on the calling thread until the time is up or enough requests are sent.
[[nodiscard]] result run(options const& options);

} // namespace catkinlanding::load
