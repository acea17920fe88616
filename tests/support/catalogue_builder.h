#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace catkinlanding::testing {

/// Builds the catalogue that most process tests need: the customer `guild` with the API key
/// `guild-key`, its class `interactive` with a deadline of 20 s, and the models and services that
/// the test adds.
class catalogue_builder {
public:
  struct service_options {
    bool is_idempotent = false;
    /// In millionths of the currency.
    std::uint64_t price_per_call = 5;
  };

  catalogue_builder();

  /// Adds a model with one settled version, and allows the customer to use it.
  catalogue_builder& add_model(std::string const& model, std::string const& version);
  /// Adds a service, and allows the customer to use it.
  catalogue_builder& add_service(std::string const& service, service_options options);
  catalogue_builder& add_service(std::string const& service) { return add_service(service, {}); }

  /// The catalogue as JSON, in the format that `catkinctl catalogue apply` reads.
  [[nodiscard]] std::string text() const;

private:
  nlohmann::json m_customer;
  nlohmann::json m_models = nlohmann::json::array();
  nlohmann::json m_versions = nlohmann::json::array();
  nlohmann::json m_services = nlohmann::json::array();
};

} // namespace catkinlanding::testing
