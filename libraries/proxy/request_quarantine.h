#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/request_traits.h>
#include <libraries/proxy/sound_traits.h>
#include <libraries/proxy/trait_evidence.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// Finds traits of requests that end the endpoints which run them, and keeps requests with these
/// traits away from endpoints: whole requests that come again, prompt parts, paths and callers.
///
/// An endpoint that ends takes all its requests along, so one ending puts the traits of all
/// requests that had no event yet under suspicion. A trait that any request completed with is
/// cleared. A trait is quarantined after several endings, and none completed, unless another
/// quarantined trait explains them.
///
/// Instances exchange their evidence through the leader. Merging is commutative and idempotent, so
/// each of them may return what it received.
class request_quarantine {
public:
  struct options {
    /// A whole request is quarantined after this many endings.
    std::size_t min_request_endings = 2;
    /// Another trait is quarantined after this many endings, under this many different requests.
    std::size_t min_endings = 3;
    std::size_t min_requests = 2;
    /// Another quarantined trait explains the endings of a trait that has fewer of its own.
    std::size_t min_own_endings = 2;
    /// A quarantine lasts this long after the latest ending. The next ending renews it.
    base::duration quarantine_time = std::chrono::seconds(120);
    /// Evidence is forgotten this long after the latest ending.
    base::duration evidence_lifetime = std::chrono::seconds(600);
    sound_traits::options sound;
    /// Bounds on memory and on the size of the evidence in messages.
    std::size_t max_suspects = 128;
    /// A change is reported for this long, so that lost messages do not hold it up.
    base::duration report_time = std::chrono::seconds(2);
    /// For one second of each such period all evidence is reported, for new instances.
    base::duration full_report_period = std::chrono::seconds(10);
    /// How long after an answer was dropped the end of its endpoint still counts.
    base::duration dropped_window = std::chrono::milliseconds(500);
    /// How long dropped answers are remembered, as other instances tell of endings late.
    base::duration dropped_lifetime = std::chrono::seconds(2);
    std::size_t max_dropped = 256;
    /// A request under which this many endpoints ended gets no further one, unless it is known to
    /// be sound.
    std::size_t max_endings_per_request = 2;
  };

  explicit request_quarantine(options const& options);

  /// Records that the endpoint ended before the first event of a request with these traits.
  void note_ending(request_traits const& request, endpoint_incarnation const& endpoint,
                   base::monotonic_time now);
  /// Records that this instance dropped the endpoint's answer to a request with these traits. If
  /// the endpoint ends shortly after, that counts as an ending under the request.
  void note_dropped(request_traits const& request, endpoint_incarnation const& endpoint,
                    base::monotonic_time now);
  /// Records that a request with these traits was answered completely.
  void note_completed(request_traits const& request, base::monotonic_time now);

  /// Whether a request under which this many endpoints ended may be sent to another one.
  [[nodiscard]] bool may_try_again(request_traits const& request, std::size_t endings) const;
  /// The trait of the request that is quarantined; nothing if there is none.
  [[nodiscard]] std::optional<quarantined_trait> find_quarantined(request_traits const& request,
                                                                  base::monotonic_time now) const;

  /// The evidence to tell other instances.
  [[nodiscard]] std::vector<trait_evidence> report(base::monotonic_time now) const;
  void merge(std::vector<trait_evidence> const& reported, base::monotonic_time now);
  /// Whether evidence was added that `report` has not returned to the caller of `note_reported`.
  [[nodiscard]] bool has_news() const { return m_has_news; }
  void note_reported() { m_has_news = false; }
  /// Forgets what is too old.
  void sweep(base::monotonic_time now);

private:
  struct suspect {
    request_trait trait;
    std::set<std::uint64_t> endings;
    std::set<std::uint64_t> requests;
    std::uint32_t position = 0;
    bool is_sound = false;
    base::monotonic_time last_ending{};
    base::monotonic_time changed_at{};
  };

  struct dropped_answer {
    request_traits request;
    /// The endpoint process, as a hash.
    std::uint64_t endpoint = 0;
    base::monotonic_time dropped_at{};
  };

  /// Puts the request's traits under suspicion.
  void suspect_request(request_traits const& request, std::uint64_t ending,
                       base::monotonic_time ended_at, base::monotonic_time now);
  /// Puts the requests under suspicion whose answer was dropped shortly before the endpoint ended.
  void suspect_dropped(std::uint64_t ending, base::monotonic_time ended_at,
                       base::monotonic_time now);
  [[nodiscard]] bool is_known_sound(request_trait const& trait) const;
  /// Whether the evidence against the trait is sufficient by itself.
  [[nodiscard]] bool is_sufficient(suspect const& suspect, base::monotonic_time now) const;
  /// Whether the endings of `one` are also those of `other`. Of two traits with the same endings
  /// the more specific one explains the other, which more other requests share.
  [[nodiscard]] bool explains(suspect const& other, suspect const& one) const;
  [[nodiscard]] bool is_quarantined(suspect const& suspect, base::monotonic_time now) const;
  /// The record of the trait, which replaces the least telling one if there are too many.
  suspect& find_or_add(request_trait const& trait, base::monotonic_time ended_at);
  void drop_least_telling();
  static void add(std::set<std::uint64_t>& hashes, std::uint64_t hash);

  options m_options;
  std::map<request_trait, suspect> m_suspects;
  /// By the kind of trait, as whole requests are many and would displace the others.
  std::array<sound_traits, 4> m_sound;
  /// Oldest first.
  std::deque<dropped_answer> m_dropped;
  bool m_has_news = false;
};

} // namespace catkinlanding::proxy
