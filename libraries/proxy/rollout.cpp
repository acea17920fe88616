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
  milliseconds += other.milliseconds;
  return *this;
}

answer_statistics& answer_statistics::operator-=(answer_statistics const& earlier) {
  answers -= std::min(answers, earlier.answers);
  bad -= std::min(bad, earlier.bad);
  milliseconds -= std::min(milliseconds, earlier.milliseconds);
  return *this;
}

} // namespace catkinlanding::proxy
