#include <libraries/base/hash.h>
#include <libraries/proxy/sound_traits.h>

#include <utility>

namespace catkinlanding::proxy {

namespace {

std::uint64_t hash_of(request_trait const& trait) {
  return base::stable_hash(trait.id, static_cast<std::uint64_t>(trait.kind));
}

} // namespace

void sound_traits::note(request_trait const& trait, base::monotonic_time now) {
  bool const is_over =
      now >= m_since + m_options.lifetime || m_current.size() >= m_options.max_traits;
  if (is_over) {
    m_older = std::exchange(m_current, {});
    m_since = now;
  }
  m_current.insert(hash_of(trait));
}

bool sound_traits::contains(request_trait const& trait) const {
  auto const hash = hash_of(trait);
  return m_current.contains(hash) || m_older.contains(hash);
}

} // namespace catkinlanding::proxy
