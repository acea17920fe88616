#include <tests/support/catalogue_builder.h>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

constexpr int deadline_milliseconds = 20'000;
constexpr int price_per_thousand_tokens = 1000;

/// A catalogue entry with the fields that all kinds of entries share.
json entry(std::string const& id) {
  return {{"id", id}, {"owner", "ops"}, {"class", "interactive"}};
}

} // namespace

catalogue_builder::catalogue_builder() : m_customer(entry("guild")) {
  m_customer["keys"] = {"guild-key"};
  m_customer["allow"] = json::array();
  m_customer["services"] = json::array();
}

catalogue_builder& catalogue_builder::add_model(std::string const& model,
                                                std::string const& version) {
  m_models.push_back(entry(model));
  auto served = entry(version);
  served["model"] = model;
  served["price_per_thousand_tokens"] = price_per_thousand_tokens;
  m_versions.push_back(std::move(served));
  m_customer["allow"].push_back({{"model", model}});
  return *this;
}

catalogue_builder& catalogue_builder::add_service(std::string const& service,
                                                  service_options options) {
  auto called = entry(service);
  called["idempotent"] = options.is_idempotent;
  called["price_per_call"] = options.price_per_call;
  m_services.push_back(std::move(called));
  m_customer["services"].push_back(service);
  return *this;
}

std::string catalogue_builder::text() const {
  auto interactive = entry("interactive");
  interactive["deadline_ms"] = deadline_milliseconds;
  json const catalogue = {{"customers", json::array({m_customer})},
                          {"classes", json::array({interactive})},
                          {"models", m_models},
                          {"versions", m_versions},
                          {"services", m_services}};
  return catalogue.dump();
}

} // namespace catkinlanding::testing
