#include <libraries/base/hash.h>
#include <libraries/proxy/prompt_quarantine.h>

#include <algorithm>
#include <span>
#include <utility>

namespace catkinlanding::proxy {

namespace {

/// More hashes than the thresholds need are of no use.
constexpr std::size_t max_hashes = 16;

std::size_t count_missing(std::set<std::uint64_t> const& wanted,
                          std::set<std::uint64_t> const& present) {
  return static_cast<std::size_t>(
      std::ranges::count_if(wanted, [&](auto hash) { return !present.contains(hash); }));
}

/// The parts that other requests may share: all but the last one.
std::span<prompt_part const> shared_parts(std::vector<prompt_part> const& prompt) {
  return prompt.empty() ? std::span<prompt_part const>{}
                        : std::span(prompt).first(prompt.size() - 1);
}

} // namespace

void prompt_quarantine::note_ending(std::vector<prompt_part> const& prompt,
                                    endpoint_incarnation const& endpoint,
                                    base::monotonic_time now) {
  std::uint32_t position = 0;
  for (auto const& part : shared_parts(prompt)) {
    auto const own_position = position++;
    if (is_known_sound(part.id)) {
      continue;
    }
    auto& accused = accuse(part.id, now);
    accused.position = std::max(accused.position, own_position);
    add(accused.endings, base::stable_hash(endpoint.endpoint.value, endpoint.incarnation));
    add(accused.requests, base::stable_hash(prompt.back().id));
    m_has_news = true;
  }
}

void prompt_quarantine::note_completed(std::vector<prompt_part> const& prompt,
                                       base::monotonic_time now) {
  bool const is_generation_over = now >= m_sound_since + m_options.sound_lifetime ||
                                  m_sound.size() >= m_options.max_sound_parts;
  if (is_generation_over) {
    m_older_sound = std::exchange(m_sound, {});
    m_sound_since = now;
  }
  for (auto const& part : shared_parts(prompt)) {
    m_sound.insert(part.id);
    auto const found = m_accused.find(part.id);
    if (found != m_accused.end() && !found->second.is_sound) {
      found->second.is_sound = true;
      m_has_news = true;
    }
  }
}

bool prompt_quarantine::may_try_again(std::vector<prompt_part> const& prompt,
                                      std::size_t endings) const {
  auto const shared = shared_parts(prompt);
  bool const is_sound =
      std::ranges::all_of(shared, [this](auto const& part) { return is_known_sound(part.id); });
  return is_sound || endings < m_options.max_endings_per_request;
}

std::optional<quarantined_part>
prompt_quarantine::find_quarantined(std::vector<prompt_part> const& prompt,
                                    base::monotonic_time now) const {
  if (m_accused.empty()) {
    return std::nullopt;
  }
  for (auto const& part : shared_parts(prompt)) {
    auto const found = m_accused.find(part.id);
    if (found != m_accused.end() && is_quarantined(found->second, now)) {
      auto const& accused = found->second;
      return quarantined_part{.part = part.id,
                              .endings = accused.endings.size(),
                              .remaining = accused.last_ending + m_options.quarantine_time - now};
    }
  }
  return std::nullopt;
}

std::vector<part_evidence> prompt_quarantine::report(base::monotonic_time now) const {
  std::vector<part_evidence> reported;
  for (auto const& [part, accused] : m_accused) {
    reported.push_back({.part = part,
                        .endings = {accused.endings.begin(), accused.endings.end()},
                        .requests = {accused.requests.begin(), accused.requests.end()},
                        .position = accused.position,
                        .is_sound = accused.is_sound,
                        .age = now - accused.last_ending});
  }
  return reported;
}

void prompt_quarantine::merge(std::vector<part_evidence> const& reported,
                              base::monotonic_time now) {
  for (auto const& evidence : reported) {
    if (evidence.age < base::duration::zero() || evidence.age >= m_options.evidence_lifetime) {
      continue;
    }
    auto& accused = accuse(evidence.part, now - evidence.age);
    for (auto const ending : evidence.endings) {
      add(accused.endings, ending);
    }
    for (auto const request : evidence.requests) {
      add(accused.requests, request);
    }
    accused.position = std::max(accused.position, evidence.position);
    bool const is_sound_here = is_known_sound(evidence.part);
    m_has_news |= is_sound_here && !evidence.is_sound;
    accused.is_sound |= evidence.is_sound || is_sound_here;
  }
}

void prompt_quarantine::sweep(base::monotonic_time now) {
  std::erase_if(m_accused, [&](auto const& item) {
    return now >= item.second.last_ending + m_options.evidence_lifetime;
  });
}

bool prompt_quarantine::is_known_sound(std::string const& part) const {
  return m_sound.contains(part) || m_older_sound.contains(part);
}

bool prompt_quarantine::is_suspect(accused_part const& accused, base::monotonic_time now) const {
  return !accused.is_sound && accused.endings.size() >= m_options.min_endings &&
         accused.requests.size() >= m_options.min_requests &&
         now < accused.last_ending + m_options.quarantine_time;
}

bool prompt_quarantine::explains(accused_part const& other, accused_part const& part) const {
  if (count_missing(part.endings, other.endings) >= m_options.min_own_endings) {
    return false;
  }
  bool const is_mutual = count_missing(other.endings, part.endings) < m_options.min_own_endings;
  return !is_mutual || other.position > part.position;
}

bool prompt_quarantine::is_quarantined(accused_part const& accused,
                                       base::monotonic_time now) const {
  return is_suspect(accused, now) && std::ranges::none_of(m_accused, [&](auto const& item) {
           auto const& other = item.second;
           return &other != &accused && is_suspect(other, now) && explains(other, accused);
         });
}

prompt_quarantine::accused_part& prompt_quarantine::accuse(std::string const& part,
                                                           base::monotonic_time ended_at) {
  if (!m_accused.contains(part) && m_accused.size() >= m_options.max_accused_parts) {
    m_accused.erase(std::ranges::min_element(m_accused, {}, [](auto const& item) {
      return std::pair(!item.second.is_sound, item.second.last_ending);
    }));
  }
  auto& accused = m_accused[part];
  accused.last_ending = std::max(accused.last_ending, ended_at);
  return accused;
}

void prompt_quarantine::add(std::set<std::uint64_t>& hashes, std::uint64_t hash) const {
  if (hashes.size() < max_hashes) {
    hashes.insert(hash);
  }
}

} // namespace catkinlanding::proxy
