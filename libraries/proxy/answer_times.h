#pragma once

#include <libraries/proxy/active_request.h>
#include <libraries/proxy/time_estimate.h>

#include <map>
#include <string>

namespace catkinlanding::proxy {

/// How long the answers of each route and model take, as far as this instance has seen them: the
/// work that a request of the route still has before it.
class answer_times {
public:
  struct record {
    /// From the attempt's start to its answer, or to the first event of a stream.
    time_estimate first;
    /// From the attempt's start to the end of the answer.
    time_estimate whole;
    /// The longest pause between two events of a stream.
    time_estimate pause;
    base::monotonic_time updated_at{};

    /// Whether requests may still run that began before the latest sample, by the time that their
    /// route allows. Older times hold back no request, as nothing else would show newer ones.
    [[nodiscard]] bool is_current(route const& route, base::monotonic_time now) const {
      return now <= updated_at + route.timeout;
    }
  };

  /// Records that the current attempt's answer began.
  void note_answer(active_request const& request, base::monotonic_time now);
  /// Records that the current attempt's stream went on after this pause.
  void note_pause(active_request const& request, base::duration pause);
  /// Records that the request was answered completely.
  void note_completed(active_request const& request, base::monotonic_time now);
  /// Records that the current attempt was given up without an answer.
  void note_stalled(active_request const& request);
  /// Records that the current attempt ran out of its caller's time.
  void note_expired(active_request const& request, base::monotonic_time now);

  /// What is known of requests like this one with the model that it was sent to.
  [[nodiscard]] record const& of(active_request const& request) const;
  /// The same with this model.
  [[nodiscard]] record const& of(active_request const& request,
                                 std::optional<base::model_id> const& model) const;
  /// The same with the largest model of its route.
  [[nodiscard]] record const& of_largest_model(active_request const& request) const;
  /// How many times as long as with the smallest model of its route an answer to the request takes
  /// to begin, most of which is spent on the prompt. 1 while that is unknown.
  [[nodiscard]] double relative_work(active_request const& request) const;
  /// Forgets the routes that the table does not have.
  void keep_only(route_table const& routes);

private:
  struct key {
    std::string route;
    base::service_id service;
    base::model_id model;

    auto operator<=>(key const&) const = default;
  };

  [[nodiscard]] static key key_of(active_request const& request);
  /// The record of requests like this one, which gets a sample now.
  [[nodiscard]] record& update(active_request const& request, base::monotonic_time now);
  [[nodiscard]] record const& find(key const& key) const;

  std::map<key, record> m_records;
};

} // namespace catkinlanding::proxy
