#include <libraries/proxy/call.h>

namespace catkinlanding::proxy {

call_reply read_document_reply(replicated_state const& state) {
  if (state.revision() == 0) {
    return {.kind = reply_kind::not_found};
  }
  return {.kind = reply_kind::found, .source = state.shared_source()};
}

call_reply read_rollout_reply(replicated_state const& state, read_rollout const& request) {
  auto const* rollout = state.find_rollout(request.service);
  if (rollout == nullptr) {
    return {.kind = reply_kind::not_found};
  }
  return {.kind = reply_kind::found, .rollout = *rollout};
}

} // namespace catkinlanding::proxy
