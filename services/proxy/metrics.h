#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/request.h>

#include <memory>
#include <string>
#include <string_view>

namespace catkinlanding::proxy {

/// The metrics of one proxy process, exposed in the Prometheus text format.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(metrics const&) = delete;
  metrics& operator=(metrics const&) = delete;

  /// Records a finished request. `took` is the time from its header to the end of its answer.
  void observe_request(std::string const& customer, std::string const& route, request_end end,
                       std::string_view reason, base::duration took);
  /// Records a finished stream of which the caller received at least one event.
  void observe_stream(std::string const& customer, std::string const& route,
                      base::duration first_event, base::duration longest_pause);
  /// Counts a connection opened to an endpoint.
  void count_connection();
  /// Counts an attempt that should replace another one by what became of it.
  void count_replacement(std::string_view outcome);
  /// Counts a change of what an endpoint states about itself in its answers.
  void count_notice(std::string_view kind);
  /// Counts a call of an operator or endpoint by the kind of its reply.
  void count_call(std::string_view call, std::string_view reply);
  /// Counts a request that the end of the process cuts, by how far it had come.
  void count_cut_by_stop(std::string_view state);
  /// A decision on the model that answers a request of the route.
  void count_model_choice(std::string_view route, std::string_view reason);
  /// Sets the gauge of the process state with this name.
  void set_gauge(std::string const& name, double value);

  [[nodiscard]] std::string serialize() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::proxy
