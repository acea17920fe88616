#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/request.h>

#include <memory>
#include <string>
#include <string_view>

namespace catkinlanding::proxy {

/// What operators see of one process that passes requests on, in the text form of Prometheus.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(metrics const&) = delete;
  metrics& operator=(metrics const&) = delete;

  /// One request ended. `took` runs from its head to the end of its answer.
  void observe_request(std::string const& customer, std::string const& route, request_end end,
                       std::string_view reason, base::duration took);
  /// A stream ended that had reached its caller at least in part.
  void observe_stream(std::string const& customer, std::string const& route,
                      base::duration first_event, base::duration longest_pause);
  /// A connection to an endpoint was opened.
  void count_connection();
  /// The state of the process under this name.
  void set_gauge(std::string const& name, double value);

  [[nodiscard]] std::string serialize() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::proxy
