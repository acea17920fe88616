#include <libraries/sessions/usability.h>

namespace catkinlanding::sessions {

bool is_usable(session_key const& key, base::version_id const& version,
               catalogue::document const& document) {
  auto const* known = document.find_version(key.model, version);
  auto const* customer = document.find_customer(key.customer);
  if (known == nullptr || customer == nullptr) {
    return false;
  }
  return known->standing != catalogue::standing::withdrawn &&
         catalogue::is_allowed(*customer, key.model, version);
}

} // namespace catkinlanding::sessions
