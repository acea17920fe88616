#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/part_evidence.h>
#include <libraries/proxy/request.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// Finds prompt parts that end the endpoints which process them, and keeps requests with these
/// parts away from endpoints.
///
/// An endpoint that ends takes all its requests along, so one ending accuses the parts of all
/// requests that had no event yet. A part that any request completed with is sound. A part is
/// quarantined after several endings under different requests, and none completed, unless another
/// quarantined part explains them. The last part of a prompt belongs to one request or session, so
/// it is never accused; it identifies the request, which keeps its last part when a caller repeats
/// it.
///
/// Instances exchange their evidence through the leader. Merging is commutative and idempotent, so
/// each of them may return what it received.
class prompt_quarantine {
public:
  struct options {
    /// A part is quarantined after this many endings, under this many different requests.
    std::size_t min_endings = 3;
    std::size_t min_requests = 2;
    /// Another quarantined part explains the endings of a part that has fewer of its own.
    std::size_t min_own_endings = 2;
    /// A quarantine lasts this long after the latest ending. The next ending renews it.
    base::duration quarantine_time = std::chrono::seconds(120);
    /// Evidence is forgotten this long after the latest ending.
    base::duration evidence_lifetime = std::chrono::seconds(600);
    /// How long a part stays known as sound, at least, after a request with it was completed.
    base::duration sound_lifetime = std::chrono::seconds(60);
    /// Bounds on memory and on the size of the evidence in messages.
    std::size_t max_sound_parts = 4096;
    std::size_t max_accused_parts = 48;
    /// A request under which this many endpoints ended gets no further one, unless all its parts
    /// are known to be sound.
    std::size_t max_endings_per_request = 2;
  };

  explicit prompt_quarantine(options options) : m_options(options) {}

  /// Records that the endpoint ended before the first event of a request with this prompt.
  void note_ending(std::vector<prompt_part> const& prompt, endpoint_incarnation const& endpoint,
                   base::monotonic_time now);
  /// Records that a request with this prompt was answered completely.
  void note_completed(std::vector<prompt_part> const& prompt, base::monotonic_time now);

  /// Whether a request under which this many endpoints ended may be sent to another one.
  [[nodiscard]] bool may_try_again(std::vector<prompt_part> const& prompt,
                                   std::size_t endings) const;
  /// The part of the prompt that is quarantined; nothing if there is none.
  [[nodiscard]] std::optional<quarantined_part>
  find_quarantined(std::vector<prompt_part> const& prompt, base::monotonic_time now) const;

  /// The evidence to tell other instances.
  [[nodiscard]] std::vector<part_evidence> report(base::monotonic_time now) const;
  void merge(std::vector<part_evidence> const& reported, base::monotonic_time now);
  /// Whether evidence was added that `report` has not returned to the caller of `note_reported`.
  [[nodiscard]] bool has_news() const { return m_has_news; }
  void note_reported() { m_has_news = false; }
  /// Forgets what is too old.
  void sweep(base::monotonic_time now);

private:
  struct accused_part {
    std::set<std::uint64_t> endings;
    std::set<std::uint64_t> requests;
    std::uint32_t position = 0;
    bool is_sound = false;
    base::monotonic_time last_ending{};
  };

  [[nodiscard]] bool is_known_sound(std::string const& part) const;
  /// Whether the evidence against the part is sufficient by itself.
  [[nodiscard]] bool is_suspect(accused_part const& accused, base::monotonic_time now) const;
  /// Whether the endings of `part` are also those of `other`. Of two parts with the same endings
  /// the later one in the prompts explains the earlier one, which more other requests share.
  [[nodiscard]] bool explains(accused_part const& other, accused_part const& part) const;
  [[nodiscard]] bool is_quarantined(accused_part const& accused, base::monotonic_time now) const;
  /// The record of the part, which replaces the oldest one if there are too many.
  accused_part& accuse(std::string const& part, base::monotonic_time ended_at);
  void add(std::set<std::uint64_t>& hashes, std::uint64_t hash) const;

  options m_options;
  std::map<std::string, accused_part> m_accused;
  /// Parts of completed requests, in two generations: the older one is dropped as a whole.
  std::set<std::string> m_sound;
  std::set<std::string> m_older_sound;
  base::monotonic_time m_sound_since{};
  bool m_has_news = false;
};

} // namespace catkinlanding::proxy
