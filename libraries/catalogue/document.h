#pragma once

#include <libraries/catalogue/change.h>

#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace catkinlanding::catalogue {

/// The whole catalogue at one revision.
class document {
public:
  using version_key = std::pair<base::model_id, base::version_id>;

  [[nodiscard]] catalogue::revision revision() const { return m_revision; }

  [[nodiscard]] customer const* find_customer(base::customer_id const& id) const;
  [[nodiscard]] customer const* find_customer_by_key(std::string_view key) const;
  [[nodiscard]] request_class const* find_class(base::class_id const& id) const;
  [[nodiscard]] model const* find_model(base::model_id const& id) const;
  [[nodiscard]] version const* find_version(base::model_id const& model,
                                            base::version_id const& id) const;
  [[nodiscard]] service const* find_service(base::service_id const& id) const;
  /// The last roll-out of a version of the model, whether or not it has ended.
  [[nodiscard]] rollout const* find_rollout(base::model_id const& id) const;

  [[nodiscard]] std::map<base::customer_id, customer> const& customers() const {
    return m_customers;
  }
  [[nodiscard]] std::map<base::class_id, request_class> const& classes() const { return m_classes; }
  [[nodiscard]] std::map<base::model_id, model> const& models() const { return m_models; }
  [[nodiscard]] std::map<version_key, version> const& versions() const { return m_versions; }
  [[nodiscard]] std::map<base::service_id, service> const& services() const { return m_services; }

  [[nodiscard]] std::map<base::model_id, rollout> const& rollouts() const { return m_rollouts; }

  /// The longest time without a lease that any version of any revision so far was allowed. An
  /// instance that is cut off may act by an old revision, so this never shrinks.
  [[nodiscard]] std::chrono::seconds time_without_lease() const { return m_time_without_lease; }

  /// The first entry that refers to one that does not exist, if there is one.
  [[nodiscard]] std::optional<entry_reference> dangling_reference() const;

  /// The latest revision that may have taken the version from the customer, also where a later one
  /// gave it back. A document that came whole counts as such a revision itself, since what came
  /// before it is not known.
  [[nodiscard]] catalogue::revision last_narrowed(base::customer_id const& customer,
                                                  base::model_id const& model,
                                                  base::version_id const& version) const;

  /// Makes the next revision. The change must have been made against this revision.
  void apply(change const& change);

  /// Compares what operators wrote, and not how this copy came about.
  bool operator==(document const& other) const;

  template<class Archive>
  void save(Archive& archive) const {
    archive(m_revision, m_customers, m_classes, m_models, m_versions, m_services, m_rollouts,
            m_time_without_lease);
  }

  template<class Archive>
  void load(Archive& archive) {
    archive(m_revision, m_customers, m_classes, m_models, m_versions, m_services, m_rollouts,
            m_time_without_lease);
    m_whole_at = m_revision;
    m_narrowed_customers.clear();
    m_narrowed_versions.clear();
    index_keys();
  }

private:
  void index_keys();
  void upsert(entry const& entry);
  void remove(entry_reference const& reference);
  void note_narrowing(customer const& changed);
  void note_narrowing(version const& changed);

  catalogue::revision m_revision = 0;
  std::map<base::customer_id, customer> m_customers;
  std::map<base::class_id, request_class> m_classes;
  std::map<base::model_id, model> m_models;
  std::map<version_key, version> m_versions;
  std::map<base::service_id, service> m_services;
  std::map<base::model_id, rollout> m_rollouts;
  /// Made from the customers; it spares each request a search through all of them.
  std::unordered_map<std::string, base::customer_id> m_customers_by_key;
  std::chrono::seconds m_time_without_lease{};
  /// The revision at which this copy came whole, and the latest ones since then that took
  /// versions away.
  catalogue::revision m_whole_at = 0;
  std::map<base::customer_id, catalogue::revision> m_narrowed_customers;
  std::map<version_key, catalogue::revision> m_narrowed_versions;
};

/// Whether the version's entry says what the roll-out made of it.
[[nodiscard]] bool follows(version const& version, rollout const& rollout);

/// The roll-out that can't go from the one document to the other in one change, if there is one:
/// it would take a step that is not the next, or leave its version with another exposure than
/// it says.
[[nodiscard]] std::optional<entry_reference> illegal_rollout(document const& before,
                                                             document const& after);

/// Whether the customer may use this version at all, whatever its standing.
[[nodiscard]] bool is_allowed(customer const& customer, base::model_id const& model,
                              base::version_id const& version);

/// The SHA-256 digest, in hexadecimal, under which the catalogue knows a customer's key. Keys are
/// random and long, so they need no salt and no slow hash.
[[nodiscard]] std::string key_hash(std::string_view key);

} // namespace catkinlanding::catalogue
