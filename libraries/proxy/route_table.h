#pragma once

#include <libraries/proxy/document.h>

#include <map>
#include <string_view>
#include <unordered_map>

namespace catkinlanding::proxy {

/// A document with indexes for request lookup.
class route_table {
public:
  route_table() = default;
  explicit route_table(proxy::document document);
  route_table(route_table const&) = delete;
  route_table& operator=(route_table const&) = delete;
  route_table(route_table&&) noexcept = default;
  route_table& operator=(route_table&&) noexcept = default;
  ~route_table() = default;

  /// Returns the route of the host with the longest matching path prefix; nullptr if there is none.
  [[nodiscard]] route const* find(std::string_view host, std::string_view path) const;
  /// Returns the customer that owns the key; nullptr if there is none.
  [[nodiscard]] customer const* find_customer(std::string const& key) const;
  [[nodiscard]] service const* find(base::service_id const& id) const;

  [[nodiscard]] proxy::document const& document() const { return m_document; }
  [[nodiscard]] std::uint64_t revision() const { return m_document.revision; }
  /// Identifies the document's content; 0 before the first document.
  [[nodiscard]] std::uint64_t fingerprint() const { return m_fingerprint; }
  /// Whether requests to non-public routes need a key.
  [[nodiscard]] bool has_customers() const { return !m_document.customers.empty(); }

private:
  /// Maps the path prefixes of one host to route indexes.
  using prefix_index = std::map<std::string, std::size_t, std::less<>>;

  proxy::document m_document;
  std::uint64_t m_fingerprint = 0;
  std::map<std::string, prefix_index, std::less<>> m_hosts;
  std::unordered_map<std::string, std::size_t> m_keys;
  std::unordered_map<base::service_id, std::size_t> m_services;
};

/// Selects the service for a request by the weights of the route; the same for each attempt.
[[nodiscard]] base::service_id const& select_service(route const& route,
                                                     base::request_id const& request);

} // namespace catkinlanding::proxy
