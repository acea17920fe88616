#include <services/proxy/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>
#include <utility>

namespace catkinlanding::proxy {

namespace {

using prometheus::Histogram;

/// Upper bounds of the histogram buckets, in seconds.
Histogram::BucketBoundaries const bucket_bounds{0.005, 0.02, 0.05, 0.1,  0.2,  0.42, 1.0,
                                                2.0,   3.0,  5.0,  10.0, 25.0, 60.0};
/// Limit for distinct pairs of customer and route. Further pairs share one time series.
constexpr std::size_t max_label_sets = 500;
constexpr char const* overflow_label = "other";

} // namespace

class metrics::implementation {
public:
  prometheus::Labels labels(std::string const& customer, std::string const& route) {
    std::pair const key{customer, route};
    bool const is_known = m_label_sets.contains(key);
    if (!is_known && m_label_sets.size() >= max_label_sets) {
      return {{"customer", overflow_label}, {"class", overflow_label}};
    }
    m_label_sets.insert(key);
    return {{"customer", customer}, {"class", route}};
  }

  prometheus::Registry registry;
  prometheus::Family<Histogram>& request_seconds =
      prometheus::BuildHistogram()
          .Name("catkinlanding_proxy_request_seconds")
          .Help("Time from the request to the end of its answer")
          .Register(registry);
  prometheus::Family<Histogram>& first_event_seconds =
      prometheus::BuildHistogram()
          .Name("catkinlanding_proxy_first_event_seconds")
          .Help("Time from the request to the first event of its stream")
          .Register(registry);
  prometheus::Family<Histogram>& longest_pause_seconds =
      prometheus::BuildHistogram()
          .Name("catkinlanding_proxy_longest_pause_seconds")
          .Help("The longest pause between two deliveries of a stream")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("catkinlanding_proxy_requests_total")
          .Help("Requests by outcome and reason")
          .Register(registry);
  prometheus::Counter& endpoint_connections =
      prometheus::BuildCounter()
          .Name("catkinlanding_proxy_endpoint_connections_total")
          .Help("Connections opened to endpoints")
          .Register(registry)
          .Add({});
  prometheus::Family<prometheus::Counter>& replacements =
      prometheus::BuildCounter()
          .Name("catkinlanding_proxy_replacements_total")
          .Help("Attempts that were to replace another one, by what became of them")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& endpoint_notices =
      prometheus::BuildCounter()
          .Name("catkinlanding_proxy_endpoint_notices_total")
          .Help("Changes of what endpoints state about themselves in their answers, by kind")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& calls =
      prometheus::BuildCounter()
          .Name("catkinlanding_proxy_calls_total")
          .Help("Calls of operators and endpoints, by the kind of their reply")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& cut_by_stop =
      prometheus::BuildCounter()
          .Name("catkinlanding_proxy_requests_cut_by_stop_total")
          .Help("Requests that the end of this process cuts, by how far they had come")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& model_choices =
      prometheus::BuildCounter()
          .Name("catkinlanding_proxy_model_choices_total")
          .Help("Decisions on the model that answers, by route and reason")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge()
                                                      .Name("catkinlanding_proxy_state")
                                                      .Help("State of this process")
                                                      .Register(registry);

private:
  std::set<std::pair<std::string, std::string>> m_label_sets;
};

metrics::metrics() : m_implementation(std::make_unique<implementation>()) {}
metrics::~metrics() = default;

void metrics::observe_request(std::string const& customer, std::string const& route,
                              request_end end, std::string_view reason, base::duration took) {
  auto labels = m_implementation->labels(customer, route);
  m_implementation->request_seconds.Add(labels, bucket_bounds)
      .Observe(std::chrono::duration<double>(took).count());
  labels["outcome"] = name_of(end);
  labels["reason"] = std::string(reason);
  m_implementation->requests.Add(labels).Increment();
}

void metrics::observe_stream(std::string const& customer, std::string const& route,
                             base::duration first_event, base::duration longest_pause) {
  auto const labels = m_implementation->labels(customer, route);
  auto const seconds = [](base::duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  m_implementation->first_event_seconds.Add(labels, bucket_bounds).Observe(seconds(first_event));
  m_implementation->longest_pause_seconds.Add(labels, bucket_bounds)
      .Observe(seconds(longest_pause));
}

void metrics::count_connection() {
  m_implementation->endpoint_connections.Increment();
}

void metrics::count_replacement(std::string_view outcome) {
  m_implementation->replacements.Add({{"outcome", std::string(outcome)}}).Increment();
}

void metrics::count_notice(std::string_view kind) {
  m_implementation->endpoint_notices.Add({{"kind", std::string(kind)}}).Increment();
}

void metrics::count_call(std::string_view call, std::string_view reply) {
  m_implementation->calls.Add({{"call", std::string(call)}, {"reply", std::string(reply)}})
      .Increment();
}

void metrics::count_cut_by_stop(std::string_view state) {
  m_implementation->cut_by_stop.Add({{"state", std::string(state)}}).Increment();
}

void metrics::count_model_choice(std::string_view route, std::string_view reason) {
  m_implementation->model_choices
      .Add({{"route", std::string(route)}, {"reason", std::string(reason)}})
      .Increment();
}

void metrics::set_gauge(std::string const& name, double value) {
  m_implementation->gauges.Add({{"name", name}}).Set(value);
}

std::string metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace catkinlanding::proxy
