#include <services/daemon/caller_protocol.h>
#include <services/daemon/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <set>
#include <utility>

namespace catkinlanding::daemon {

namespace {

using prometheus::Histogram;

/// Upper bounds of the histograms' buckets, in seconds.
Histogram::BucketBoundaries const boundaries{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                             0.2,    0.42,  1.0,   2.0,   5.0,  10.0, 30.0, 60.0};

constexpr std::size_t max_label_sets = 1000;
constexpr char const* other = "other";

double seconds(base::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

} // namespace

class metrics::implementation {
public:
  using label_set = std::pair<std::string, std::string>;

  struct histograms {
    Histogram* first_byte = nullptr;
    Histogram* total = nullptr;
    Histogram* queueing = nullptr;
  };

  /// Returns the histograms of a customer and class. Beyond `max_label_sets` pairs, further ones
  /// share one set, so that callers who invent class names can't exhaust the memory.
  histograms& histograms_of(base::customer_id const& customer, base::class_id const& name) {
    auto const found = m_histograms.find({customer.value, name.value});
    if (found != m_histograms.end()) {
      return found->second;
    }
    auto const& key = bounded_labels(customer, name);
    auto& entry = m_histograms[key];
    if (entry.total == nullptr) {
      entry.first_byte = &first_byte.Add(labels_of(key), boundaries);
      entry.total = &total.Add(labels_of(key), boundaries);
      entry.queueing = &queueing.Add(labels_of(key), boundaries);
    }
    return entry;
  }

  label_set bounded_labels(base::customer_id const& customer, base::class_id const& name) {
    label_set key{customer.value, name.value};
    if (m_label_sets.contains(key)) {
      return key;
    }
    if (m_label_sets.size() >= max_label_sets) {
      return {other, other};
    }
    m_label_sets.insert(key);
    return key;
  }

  static prometheus::Labels labels_of(label_set const& key) {
    return {{"customer", key.first}, {"class", key.second}};
  }

  prometheus::Registry registry;
  prometheus::Family<Histogram>& first_byte =
      prometheus::BuildHistogram()
          .Name("catkinlanding_time_to_first_byte_seconds")
          .Help("Time from receiving a request to the first byte of its answer")
          .Register(registry);
  prometheus::Family<Histogram>& total =
      prometheus::BuildHistogram()
          .Name("catkinlanding_request_seconds")
          .Help("Time from receiving a request to the end of its answer")
          .Register(registry);
  prometheus::Family<Histogram>& queueing =
      prometheus::BuildHistogram()
          .Name("catkinlanding_queueing_seconds")
          .Help("Time that a request was queued until an endpoint had a free slot")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& events =
      prometheus::BuildCounter()
          .Name("catkinlanding_events_total")
          .Help("Request events since the start of this instance")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& failures =
      prometheus::BuildCounter()
          .Name("catkinlanding_failures_total")
          .Help("Requests that ended without a complete answer")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& ratings =
      prometheus::BuildCounter()
          .Name("catkinlanding_ratings_total")
          .Help("Judgements of the rating service; unknown if it returned none")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge()
                                                      .Name("catkinlanding_state")
                                                      .Help("State of this instance")
                                                      .Register(registry);

private:
  std::set<label_set> m_label_sets;
  std::map<label_set, histograms> m_histograms;
};

metrics::metrics() : m_implementation(std::make_unique<implementation>()) {}
metrics::~metrics() = default;

void metrics::observe(requests::observe_request const& request) {
  auto& histograms = m_implementation->histograms_of(request.customer, request.request_class);
  histograms.first_byte->Observe(seconds(request.time_to_first_byte));
  histograms.total->Observe(seconds(request.total));
}

void metrics::observe(requests::observe_queueing const& wait) {
  auto& histograms = m_implementation->histograms_of(wait.customer, wait.request_class);
  histograms.queueing->Observe(seconds(wait.queueing));
}

void metrics::count(requests::reply_failure const& failure) {
  auto const key = m_implementation->bounded_labels(failure.customer, failure.request_class);
  auto labels = implementation::labels_of(key);
  labels["failure"] = name_of(failure.failure.kind);
  m_implementation->failures.Add(labels).Increment();
}

void metrics::count_rating(routing::judgement judgement) {
  constexpr std::array names{"good", "poor", "unknown"};
  auto const* const name = names.at(static_cast<std::size_t>(judgement));
  m_implementation->ratings.Add({{"judgement", name}}).Increment();
}

void metrics::set_state(char const* what, double value) {
  m_implementation->gauges.Add({{"what", what}}).Set(value);
}

std::string metrics::page(operators::status_reply const& status,
                          requests::table_counters const& counters) {
  set_state("revision", static_cast<double>(status.revision));
  set_state("has_lease", status.has_lease ? 1 : 0);
  set_state("lease_left_seconds", seconds(status.lease_left));
  set_state("endpoints", status.endpoints);
  set_state("requests", status.requests);
  set_state("unsettled_bills", status.unsettled_bills);
  set_state("term", static_cast<double>(status.term));
  auto const set_counter = [this](char const* name, std::uint64_t value) {
    auto& counter = m_implementation->events.Add({{"what", name}});
    counter.Increment(static_cast<double>(value) - counter.Value());
  };
  set_counter("late_answers", counters.late_answers);
  set_counter("unsecured_answers", counters.unreplicated_bills);
  set_counter("retries", counters.retries);
  set_counter("retries_denied", counters.retries_denied);
  return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace catkinlanding::daemon
