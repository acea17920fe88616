#include <libraries/base/hash.h>
#include <libraries/base/verify.h>
#include <libraries/proxy/route_table.h>

namespace catkinlanding::proxy {

route_table::route_table(proxy::document document)
    : m_document(std::move(document)), m_fingerprint(fingerprint_of(m_document)) {
  for (std::size_t i = 0; i < m_document.routes.size(); ++i) {
    auto const& route = m_document.routes[i];
    m_hosts[route.host].emplace(route.path_prefix, i);
  }
  for (std::size_t i = 0; i < m_document.customers.size(); ++i) {
    for (auto const& key : m_document.customers[i].keys) {
      m_keys.emplace(key, i);
    }
  }
  for (std::size_t i = 0; i < m_document.services.size(); ++i) {
    m_services.emplace(m_document.services[i].id, i);
  }
}

route const* route_table::find(std::string_view host, std::string_view path) const {
  auto const found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only those that end at a slash in the path can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos;) {
    auto const prefix = found->second.find(path.substr(0, end + 1));
    if (prefix != found->second.end()) {
      return &m_document.routes[prefix->second];
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

customer const* route_table::find_customer(std::string const& key) const {
  auto const found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : &m_document.customers[found->second];
}

service const* route_table::find(base::service_id const& id) const {
  auto const found = m_services.find(id);
  return found == m_services.end() ? nullptr : &m_document.services[found->second];
}

base::service_id const& select_service(route const& route, base::request_id const& request) {
  std::uint64_t total = 0;
  for (auto const& share : route.shares) {
    total += share.weight;
  }
  CATKINLANDING_VERIFY(total > 0);
  auto place = base::stable_hash(request.value) % total;
  for (auto const& share : route.shares) {
    if (place < share.weight) {
      return share.service;
    }
    place -= share.weight;
  }
  return route.shares.back().service;
}

} // namespace catkinlanding::proxy
