#include <libraries/proxy/rollout.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool rollout::has_rejected(base::version_id const& version) const {
  return (version == target && state == rollout_state::rolled_back) ||
         std::ranges::find(rejected, version) != rejected.end();
}

answer_statistics& answer_statistics::operator+=(answer_statistics const& other) {
  answers += other.answers;
  bad += other.bad;
  first_byte += other.first_byte;
  event_interval += other.event_interval;
  return *this;
}

answer_statistics& answer_statistics::operator-=(answer_statistics const& earlier) {
  answers -= std::min(answers, earlier.answers);
  bad -= std::min(bad, earlier.bad);
  first_byte -= earlier.first_byte;
  event_interval -= earlier.event_interval;
  return *this;
}

} // namespace catkinlanding::proxy
