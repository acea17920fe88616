#include <libraries/proxy/attempt_state.h>

#include <algorithm>

namespace catkinlanding::proxy {

void attempt_state::note_events(base::monotonic_time now) {
  if (has_event) {
    longest_pause = std::max<base::duration>(longest_pause, now - progress_at);
  }
  has_event = true;
  progress_at = now;
}

} // namespace catkinlanding::proxy
