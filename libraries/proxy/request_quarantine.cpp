#include <libraries/base/hash.h>
#include <libraries/proxy/request_quarantine.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace catkinlanding::proxy {

namespace {

/// More hashes than the thresholds need are of no use.
constexpr std::size_t max_hashes = 16;
constexpr std::chrono::seconds full_report_time{1};

std::size_t count_missing(std::set<std::uint64_t> const& wanted,
                          std::set<std::uint64_t> const& present) {
  return static_cast<std::size_t>(
      std::ranges::count_if(wanted, [&](auto hash) { return !present.contains(hash); }));
}

std::uint64_t hash_of(endpoint_incarnation const& endpoint) {
  return base::stable_hash(endpoint.endpoint.value, endpoint.incarnation);
}

} // namespace

request_quarantine::request_quarantine(options const& options)
    : m_options(options), m_sound{sound_traits(options.sound), sound_traits(options.sound),
                                  sound_traits(options.sound), sound_traits(options.sound)} {}

void request_quarantine::note_ending(request_traits const& request,
                                     endpoint_incarnation const& endpoint,
                                     base::monotonic_time now) {
  auto const ending = hash_of(endpoint);
  suspect_request(request, ending, now, now);
  suspect_dropped(ending, now, now);
}

void request_quarantine::note_dropped(request_traits const& request,
                                      endpoint_incarnation const& endpoint,
                                      base::monotonic_time now) {
  m_dropped.push_back({.request = request, .endpoint = hash_of(endpoint), .dropped_at = now});
  if (m_dropped.size() > m_options.max_dropped) {
    m_dropped.pop_front();
  }
}

void request_quarantine::suspect_request(request_traits const& request, std::uint64_t ending,
                                         base::monotonic_time ended_at, base::monotonic_time now) {
  std::uint32_t position = 0;
  for (auto const& trait : request.traits) {
    bool const is_part = trait.kind == trait_kind::prompt_part;
    auto const own_position = is_part ? position++ : 0;
    if (is_known_sound(trait)) {
      continue;
    }
    auto& suspect = find_or_add(trait, ended_at);
    suspect.position = std::max(suspect.position, own_position);
    suspect.changed_at = now;
    add(suspect.endings, ending);
    add(suspect.requests, request.fingerprint);
    m_has_news = true;
  }
}

void request_quarantine::suspect_dropped(std::uint64_t ending, base::monotonic_time ended_at,
                                         base::monotonic_time now) {
  for (auto const& dropped : std::exchange(m_dropped, {})) {
    bool const is_shortly_before = dropped.endpoint == ending && dropped.dropped_at <= ended_at &&
                                   ended_at < dropped.dropped_at + m_options.dropped_window;
    if (is_shortly_before) {
      suspect_request(dropped.request, ending, ended_at, now);
    } else if (now < dropped.dropped_at + m_options.dropped_lifetime) {
      m_dropped.push_back(dropped);
    }
  }
}

void request_quarantine::note_completed(request_traits const& request, base::monotonic_time now) {
  for (auto const& trait : request.traits) {
    m_sound.at(static_cast<std::size_t>(trait.kind)).note(trait, now);
    auto const found = m_suspects.find(trait);
    if (found != m_suspects.end() && !found->second.is_sound) {
      found->second.is_sound = true;
      found->second.changed_at = now;
      m_has_news = true;
    }
  }
}

bool request_quarantine::may_try_again(request_traits const& request, std::size_t endings) const {
  bool const is_sound = std::ranges::any_of(request.traits, [this](auto const& trait) {
    return trait.kind == trait_kind::whole_request && is_known_sound(trait);
  });
  return is_sound || endings < m_options.max_endings_per_request;
}

std::optional<quarantined_trait>
request_quarantine::find_quarantined(request_traits const& request,
                                     base::monotonic_time now) const {
  if (m_suspects.empty()) {
    return std::nullopt;
  }
  for (auto const& trait : request.traits) {
    auto const found = m_suspects.find(trait);
    if (found != m_suspects.end() && is_quarantined(found->second, now)) {
      auto const& suspect = found->second;
      return quarantined_trait{.trait = trait,
                               .endings = suspect.endings.size(),
                               .remaining = suspect.last_ending + m_options.quarantine_time - now};
    }
  }
  return std::nullopt;
}

std::vector<trait_evidence> request_quarantine::report(base::monotonic_time now) const {
  bool const is_full = now.time_since_epoch() % m_options.full_report_period < full_report_time;
  std::vector<trait_evidence> reported;
  for (auto const& [trait, suspect] : m_suspects) {
    if (!is_full && now >= suspect.changed_at + m_options.report_time) {
      continue;
    }
    reported.push_back({.trait = trait,
                        .endings = {suspect.endings.begin(), suspect.endings.end()},
                        .requests = {suspect.requests.begin(), suspect.requests.end()},
                        .position = suspect.position,
                        .is_sound = suspect.is_sound,
                        .age = now - suspect.last_ending});
  }
  return reported;
}

void request_quarantine::merge(std::vector<trait_evidence> const& reported,
                               base::monotonic_time now) {
  std::map<std::uint64_t, base::monotonic_time> ended;
  for (auto const& evidence : reported) {
    if (evidence.age < base::duration::zero() || evidence.age >= m_options.evidence_lifetime) {
      continue;
    }
    auto& suspect = find_or_add(evidence.trait, now - evidence.age);
    auto const known = std::tuple(suspect.endings.size(), suspect.requests.size(), suspect.position,
                                  suspect.is_sound);
    for (auto const ending : evidence.endings) {
      add(suspect.endings, ending);
      ended.emplace(ending, now - evidence.age);
    }
    for (auto const request : evidence.requests) {
      add(suspect.requests, request);
    }
    suspect.position = std::max(suspect.position, evidence.position);
    bool const is_sound_here = is_known_sound(evidence.trait);
    m_has_news |= is_sound_here && !evidence.is_sound;
    suspect.is_sound |= evidence.is_sound || is_sound_here;
    bool const is_changed = known != std::tuple(suspect.endings.size(), suspect.requests.size(),
                                                suspect.position, suspect.is_sound);
    if (is_changed) {
      suspect.changed_at = now;
    }
  }
  if (m_dropped.empty()) {
    return;
  }
  for (auto const& [ending, ended_at] : ended) {
    suspect_dropped(ending, ended_at, now);
  }
}

void request_quarantine::sweep(base::monotonic_time now) {
  std::erase_if(m_suspects, [&](auto const& item) {
    return now >= item.second.last_ending + m_options.evidence_lifetime;
  });
}

bool request_quarantine::is_known_sound(request_trait const& trait) const {
  return m_sound.at(static_cast<std::size_t>(trait.kind)).contains(trait);
}

bool request_quarantine::is_sufficient(suspect const& suspect, base::monotonic_time now) const {
  bool const is_request = suspect.trait.kind == trait_kind::whole_request;
  auto const min_endings = is_request ? m_options.min_request_endings : m_options.min_endings;
  auto const min_requests = is_request ? 1 : m_options.min_requests;
  return !suspect.is_sound && suspect.endings.size() >= min_endings &&
         suspect.requests.size() >= min_requests &&
         now < suspect.last_ending + m_options.quarantine_time;
}

bool request_quarantine::explains(suspect const& other, suspect const& one) const {
  // A request that ends endpoints accounts for all endings of what it shares; one more under
  // another request means that the request is not the cause.
  bool const is_request = other.trait.kind == trait_kind::whole_request;
  bool const is_shared = one.trait.kind != trait_kind::whole_request;
  auto const min_own_endings = is_request && is_shared ? 1 : m_options.min_own_endings;
  if (count_missing(one.endings, other.endings) >= min_own_endings) {
    return false;
  }
  bool const is_mutual = count_missing(other.endings, one.endings) < m_options.min_own_endings;
  auto const specificity = [](suspect const& suspect) {
    return std::pair(suspect.trait.kind, suspect.position);
  };
  return !is_mutual || specificity(other) > specificity(one);
}

bool request_quarantine::is_quarantined(suspect const& suspect, base::monotonic_time now) const {
  return is_sufficient(suspect, now) && std::ranges::none_of(m_suspects, [&](auto const& item) {
           auto const& other = item.second;
           return &other != &suspect && is_sufficient(other, now) && explains(other, suspect);
         });
}

request_quarantine::suspect& request_quarantine::find_or_add(request_trait const& trait,
                                                             base::monotonic_time ended_at) {
  if (!m_suspects.contains(trait) && m_suspects.size() >= m_options.max_suspects) {
    drop_least_telling();
  }
  auto& suspect = m_suspects[trait];
  suspect.trait = trait;
  suspect.last_ending = std::max(suspect.last_ending, ended_at);
  return suspect;
}

void request_quarantine::drop_least_telling() {
  m_suspects.erase(std::ranges::min_element(m_suspects, {}, [](auto const& item) {
    auto const& suspect = item.second;
    return std::tuple(!suspect.is_sound, suspect.endings.size(), suspect.last_ending);
  }));
}

void request_quarantine::add(std::set<std::uint64_t>& hashes, std::uint64_t hash) {
  if (hashes.size() < max_hashes) {
    hashes.insert(hash);
  }
}

} // namespace catkinlanding::proxy
