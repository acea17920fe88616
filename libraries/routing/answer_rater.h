#pragma once

#include <libraries/endpoints/directory.h>
#include <libraries/routing/rating_message.h>

#include <map>
#include <optional>

namespace catkinlanding::routing {

/// Asks the zone's rating services about answers: about those that are held back, whose callers
/// wait, and about a sample of those that callers have got already. Every question about a held
/// answer is answered within a bounded time, whatever becomes of the services. A service that fails
/// gets samples only, and few, until it rates one of them.
class answer_rater {
public:
  struct options {
    /// A caller waits this long at most for a judgement.
    base::duration judgement_timeout = std::chrono::seconds(1);
    base::duration sample_timeout = std::chrono::seconds(10);
    /// A service that failed gets the next sample after this time.
    base::duration retry_interval = std::chrono::seconds(2);
    /// Answers that are under way to the services; further samples are dropped.
    std::size_t max_pending = 256;
    std::size_t max_failed_raters = 64;
  };

  explicit answer_rater(options options) : m_options(options) {}

  /// Whether some service of the zone should answer in time.
  [[nodiscard]] bool is_available(endpoints::directory const& directory,
                                  base::monotonic_time now) const;

  /// Asks about an answer that is held back for the request.
  void request_judgement(std::uint64_t request, rated_answer subject,
                         endpoints::directory const& directory, base::monotonic_time now,
                         rater_effects& out);

  /// Asks about an answer that was given. `arm` says what the rating will be for.
  void request_rating(rating arm, rated_answer subject, endpoints::directory const& directory,
                      base::monotonic_time now, rater_effects& out);

  void receive(rating_result const& result, base::monotonic_time now, rater_effects& out);
  void tick(base::monotonic_time now, rater_effects& out);

  [[nodiscard]] std::size_t pending() const { return m_pending.size(); }
  /// Samples that were dropped, and orders that brought no judgement.
  [[nodiscard]] std::uint64_t unrated() const { return m_unrated; }

private:
  struct pending_rating {
    base::endpoint_id rater;
    base::monotonic_time due{};
    /// Set where an answer is held back for this request.
    std::optional<std::uint64_t> request;
    rating arm;
  };

  using raters = std::vector<endpoints::directory::record const*>;

  [[nodiscard]] raters healthy_raters(endpoints::directory const& directory,
                                      base::monotonic_time now) const;
  /// A failed service whose next trial is due, or nothing.
  [[nodiscard]] endpoints::directory::record const*
  rater_due_for_retry(raters const& all_raters, base::monotonic_time now) const;
  void send(endpoints::directory::record const& rater, pending_rating pending, rated_answer subject,
            rater_effects& out);
  void fail(pending_rating const& failed, base::monotonic_time now, rater_effects& out);

  options m_options;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, pending_rating> m_pending;
  /// Services that failed, and when each may get its next sample.
  std::map<base::endpoint_id, base::monotonic_time> m_failed;
  std::uint64_t m_unrated = 0;
};

} // namespace catkinlanding::routing
