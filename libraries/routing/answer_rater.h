#pragma once

#include <libraries/endpoints/directory.h>
#include <libraries/routing/rating_message.h>

#include <map>
#include <optional>

namespace catkinlanding::routing {

/// Sends answers to the zone's rating services: answers held back until they are judged, and a
/// sample of the answers already delivered. A held answer gets its judgement within a bounded time
/// even if every service fails. A failed service is not asked about held answers and is retried
/// with one sample per interval until it rates one.
class answer_rater {
public:
  struct options {
    /// Upper bound on the delay that a judgement adds to a held answer.
    base::duration judgement_timeout = std::chrono::seconds(1);
    base::duration sample_timeout = std::chrono::seconds(10);
    /// Time between the samples that a failed service is retried with.
    base::duration retry_interval = std::chrono::seconds(2);
    /// Answers awaiting a rating. Beyond this, samples are dropped and held answers are released
    /// unjudged.
    std::size_t max_pending = 256;
    std::size_t max_failed_raters = 64;
  };

  explicit answer_rater(options options) : m_options(options) {}

  /// Whether a service in the zone is expected to answer in time.
  [[nodiscard]] bool is_available(endpoints::directory const& directory,
                                  base::monotonic_time now) const;

  /// Requests a judgement of the answer held back for `request`, the number of a caller's request.
  void request_judgement(std::uint64_t request, rated_answer subject,
                         endpoints::directory const& directory, base::monotonic_time now,
                         rater_effects& out);

  /// Requests a rating of an answer already delivered. `arm` names the model, versions and class
  /// that the rating counts for.
  void request_rating(rating arm, rated_answer subject, endpoints::directory const& directory,
                      base::monotonic_time now, rater_effects& out);

  void receive(rating_result const& result, base::monotonic_time now, rater_effects& out);
  void tick(base::monotonic_time now, rater_effects& out);

  [[nodiscard]] std::size_t pending() const { return m_pending.size(); }
  /// Number of answers left unrated: dropped samples and requests that failed or timed out.
  [[nodiscard]] std::uint64_t unrated() const { return m_unrated; }

private:
  struct pending_rating {
    base::endpoint_id rater;
    base::monotonic_time due{};
    /// The caller's request whose answer is held back; empty for a sample.
    std::optional<std::uint64_t> request;
    rating arm;
  };

  using raters = std::vector<endpoints::directory::record const*>;

  [[nodiscard]] raters healthy_raters(endpoints::directory const& directory,
                                      base::monotonic_time now) const;
  /// A failed service whose retry is due, or null.
  [[nodiscard]] endpoints::directory::record const*
  rater_due_for_retry(raters const& all_raters, base::monotonic_time now) const;
  void send(endpoints::directory::record const& rater, pending_rating pending, rated_answer subject,
            rater_effects& out);
  void fail(pending_rating const& failed, base::monotonic_time now, rater_effects& out);

  options m_options;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, pending_rating> m_pending;
  /// Failed services and the time of the next retry of each.
  std::map<base::endpoint_id, base::monotonic_time> m_failed;
  std::uint64_t m_unrated = 0;
};

} // namespace catkinlanding::routing
