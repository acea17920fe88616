#include <libraries/base/codec.h>
#include <libraries/base/hash.h>
#include <libraries/proxy/document.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace catkinlanding::proxy {

namespace {

using fault_kind = document_fault_kind;

void check_route(route const& route, std::set<base::service_id> const& services,
                 std::vector<document_fault>& faults) {
  std::uint64_t weight = 0;
  for (auto const& share : route.shares) {
    weight += share.weight;
    if (!services.contains(share.service)) {
      faults.push_back({fault_kind::unknown_service, route.name});
    }
  }
  if (weight == 0) {
    faults.push_back({fault_kind::no_weight, route.name});
  }
  if (route.timeout <= base::duration::zero()) {
    faults.push_back({fault_kind::no_timeout, route.name});
  }
}

void check_routes(document const& document, std::vector<document_fault>& faults) {
  std::set<base::service_id> services;
  for (auto const& service : document.services) {
    services.insert(service.id);
  }
  std::set<std::pair<std::string, std::string>> places;
  for (auto const& route : document.routes) {
    check_route(route, services, faults);
    if (!places.emplace(route.host, route.path_prefix).second) {
      faults.push_back({fault_kind::duplicate_prefix, route.name});
    }
  }
}

void check_customers(document const& document, std::vector<document_fault>& faults) {
  std::map<std::string, base::customer_id> holders;
  for (auto const& customer : document.customers) {
    for (auto const& key : customer.keys) {
      auto const [holder, is_new] = holders.try_emplace(key, customer.id);
      if (!is_new && holder->second != customer.id) {
        faults.push_back({fault_kind::shared_key, customer.id.value});
      }
    }
  }
}

} // namespace

std::uint64_t fingerprint_of(document const& document) {
  return base::stable_hash(base::encode(document));
}

char const* name_of(document_fault_kind kind) {
  switch (kind) {
  case fault_kind::no_revision:
    return "no_revision";
  case fault_kind::unknown_service:
    return "unknown_service";
  case fault_kind::duplicate_prefix:
    return "same_place";
  case fault_kind::no_weight:
    return "no_weight";
  case fault_kind::no_timeout:
    return "no_timeout";
  case fault_kind::shared_key:
    return "shared_key";
  }
  return "unknown";
}

std::vector<document_fault> find_faults(document const& document) {
  std::vector<document_fault> faults;
  if (document.revision == 0) {
    faults.push_back({fault_kind::no_revision, {}});
  }
  check_routes(document, faults);
  check_customers(document, faults);
  return faults;
}

} // namespace catkinlanding::proxy
