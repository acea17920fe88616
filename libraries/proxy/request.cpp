#include <libraries/proxy/request.h>

namespace catkinlanding::proxy {

std::string names_of(std::vector<prompt_part> const& prompt) {
  std::string names;
  for (auto const& part : prompt) {
    names += (names.empty() ? "" : ",") + part.id;
  }
  return names;
}

} // namespace catkinlanding::proxy
