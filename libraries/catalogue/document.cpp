#include <libraries/base/digest.h>
#include <libraries/base/overloaded.h>
#include <libraries/base/verify.h>
#include <libraries/catalogue/document.h>

#include <algorithm>
#include <tuple>

namespace catkinlanding::catalogue {

namespace {

template<class Map, class Key>
auto const* find_in(Map const& map, Key const& key) {
  auto const it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}

document::version_key version_key_of(std::string const& id) {
  auto const slash = id.find('/');
  if (slash == std::string::npos) {
    return {base::model_id{id}, base::version_id{}};
  }
  return {base::model_id{id.substr(0, slash)}, base::version_id{id.substr(slash + 1)}};
}

} // namespace

customer const* document::find_customer(base::customer_id const& id) const {
  return find_in(m_customers, id);
}

customer const* document::find_customer_by_key(std::string_view key) const {
  auto const it = m_customers_by_key.find(key_hash(key));
  return it == m_customers_by_key.end() ? nullptr : find_customer(it->second);
}

request_class const* document::find_class(base::class_id const& id) const {
  return find_in(m_classes, id);
}

model const* document::find_model(base::model_id const& id) const {
  return find_in(m_models, id);
}

version const* document::find_version(base::model_id const& model,
                                      base::version_id const& id) const {
  return find_in(m_versions, version_key{model, id});
}

service const* document::find_service(base::service_id const& id) const {
  return find_in(m_services, id);
}

rollout const* document::find_rollout(base::model_id const& id) const {
  return find_in(m_rollouts, id);
}

std::optional<entry_reference> document::dangling_reference() const {
  for (auto const& [model, rollout] : m_rollouts) {
    auto const& old = rollout.old_version;
    bool const is_known = find_version(model, rollout.version) != nullptr &&
                          (!old || find_version(model, *old) != nullptr);
    if (is_active(rollout) && !is_known) {
      return reference_to(rollout);
    }
  }
  for (auto const& [key, version] : m_versions) {
    if (find_model(key.first) == nullptr) {
      return reference_to(version);
    }
  }
  for (auto const& [id, customer] : m_customers) {
    auto const is_known_model = [&](allowance const& a) { return find_model(a.model) != nullptr; };
    auto const is_known_service = [&](auto const& s) { return find_service(s) != nullptr; };
    if (!std::ranges::all_of(customer.allowances, is_known_model) ||
        !std::ranges::all_of(customer.services, is_known_service)) {
      return reference_to(customer);
    }
  }
  return std::nullopt;
}

void document::apply(change const& change) {
  CATKINLANDING_VERIFY(change.base_revision == m_revision);
  for (auto const& entry : change.upserts) {
    upsert(entry);
  }
  for (auto const& reference : change.removals) {
    remove(reference);
  }
  index_keys();
  ++m_revision;
}

void document::index_keys() {
  m_customers_by_key.clear();
  for (auto const& [id, customer] : m_customers) {
    for (auto const& hash : customer.key_hashes) {
      // Where customers share a key, the first in the order of ids has it, on every instance.
      m_customers_by_key.try_emplace(hash, id);
    }
  }
}

void document::upsert(entry const& entry) {
  std::visit(base::overloaded{
                 [this](customer const& value) {
                   note_narrowing(value);
                   m_customers[value.id] = value;
                 },
                 [this](request_class const& value) { m_classes[value.id] = value; },
                 [this](model const& value) { m_models[value.id] = value; },
                 [this](version const& value) {
                   note_narrowing(value);
                   m_versions[{value.model, value.id}] = value;
                   m_time_without_lease =
                       std::max(m_time_without_lease, catalogue::time_without_lease(value));
                 },
                 [this](service const& value) { m_services[value.id] = value; },
                 [this](rollout const& value) { m_rollouts[value.model] = value; },
             },
             entry);
}

void document::note_narrowing(customer const& changed) {
  auto const* known = find_customer(changed.id);
  if (known != nullptr && known->allowances != changed.allowances) {
    m_narrowed_customers[changed.id] = m_revision + 1;
  }
}

void document::note_narrowing(version const& changed) {
  if (changed.standing == standing::withdrawn) {
    m_narrowed_versions[{changed.model, changed.id}] = m_revision + 1;
  }
}

revision document::last_narrowed(base::customer_id const& customer, base::model_id const& model,
                                 base::version_id const& version) const {
  auto latest = m_whole_at;
  if (auto const it = m_narrowed_customers.find(customer); it != m_narrowed_customers.end()) {
    latest = std::max(latest, it->second);
  }
  if (auto const it = m_narrowed_versions.find({model, version}); it != m_narrowed_versions.end()) {
    latest = std::max(latest, it->second);
  }
  return latest;
}

bool document::operator==(document const& other) const {
  auto const content = [](document const& d) {
    return std::tie(d.m_revision, d.m_customers, d.m_classes, d.m_models, d.m_versions,
                    d.m_services, d.m_time_without_lease);
  };
  return content(*this) == content(other);
}

void document::remove(entry_reference const& reference) {
  switch (reference.kind) {
  case entry_kind::customer:
    m_customers.erase(base::customer_id{reference.id});
    m_narrowed_customers[base::customer_id{reference.id}] = m_revision + 1;
    break;
  case entry_kind::request_class:
    m_classes.erase(base::class_id{reference.id});
    break;
  case entry_kind::model:
    m_models.erase(base::model_id{reference.id});
    break;
  case entry_kind::version:
    m_versions.erase(version_key_of(reference.id));
    m_narrowed_versions[version_key_of(reference.id)] = m_revision + 1;
    break;
  case entry_kind::service:
    m_services.erase(base::service_id{reference.id});
    break;
  case entry_kind::rollout:
    m_rollouts.erase(base::model_id{reference.id});
    break;
  }
}

bool follows(version const& version, rollout const& rollout) {
  constexpr std::uint32_t whole_permille = 1000;
  bool const is_on_trial = version.standing == standing::trial;
  auto const exposure = exposure_of(rollout);
  switch (rollout.state) {
  case rollout_state::running:
  case rollout_state::paused:
    return is_on_trial && version.exposure_permille == exposure;
  case rollout_state::aborted:
    return version.standing == standing::withdrawn ||
           (is_on_trial && version.exposure_permille == 0);
  case rollout_state::done:
    return exposure == whole_permille ? version.standing == standing::settled
                                      : is_on_trial && version.exposure_permille == exposure;
  }
  return false;
}

std::optional<entry_reference> illegal_rollout(document const& before, document const& after) {
  for (auto const& [model, rollout] : before.rollouts()) {
    if (is_active(rollout) && after.find_rollout(model) == nullptr) {
      return reference_to(rollout);
    }
  }
  for (auto const& [model, rollout] : after.rollouts()) {
    auto const* old = before.find_rollout(model);
    if (old != nullptr && *old == rollout) {
      continue;
    }
    auto const* version = after.find_version(model, rollout.version);
    // While it is paused, the version's entry may say what an operator wrote.
    bool const fits = rollout.state == rollout_state::paused ||
                      (version != nullptr && follows(*version, rollout));
    bool const is_step = old != nullptr && rollout.steps_taken > old->steps_taken;
    auto const* version_before = before.find_version(model, rollout.version);
    bool const may_step = !is_step || (version_before != nullptr && follows(*version_before, *old));
    if (!is_legal_transition(old, rollout) || !fits || !may_step) {
      return reference_to(rollout);
    }
  }
  return std::nullopt;
}

bool is_allowed(customer const& customer, base::model_id const& model,
                base::version_id const& version) {
  return std::ranges::any_of(customer.allowances, [&](allowance const& a) {
    return a.model == model &&
           (a.versions.empty() || std::ranges::find(a.versions, version) != a.versions.end());
  });
}

std::string key_hash(std::string_view key) {
  return base::sha256(key);
}

} // namespace catkinlanding::catalogue
