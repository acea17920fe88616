#pragma once

#include <libraries/operators/reply.h>
#include <libraries/requests/table.h>

#include <memory>
#include <string>

namespace catkinlanding::daemon {

/// The metrics of this instance, exported in the Prometheus text format.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(metrics const&) = delete;
  metrics& operator=(metrics const&) = delete;

  void observe(requests::observe_request const& request);
  void observe(requests::observe_queueing const& wait);
  void count(requests::reply_failure const& failure);
  void count_rating(routing::judgement judgement);

  /// Sets the gauge of the instance's state with this name.
  void set_state(char const* what, double value);

  /// Renders the metrics page, with the gauges set from `status` and the counters from `counters`.
  [[nodiscard]] std::string page(operators::status_reply const& status,
                                 requests::table_counters const& counters);

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::daemon
