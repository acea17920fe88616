#include <libraries/catalogue/json.h>
#include <libraries/json/object_reader.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace catkinlanding::catalogue {

namespace {

using catkinlanding::json::document_error;
using catkinlanding::json::object_reader;
using nlohmann_json = nlohmann::json;

/// Fails where the text can't be an id or a name.
void check_name(object_reader& reader, char const* field, std::string_view text) {
  if (!is_sound_name(text)) {
    reader.fail(field, "must hold no control character");
  }
}

void read_name(object_reader& reader, char const* field, std::string& value) {
  reader.required(field, value);
  check_name(reader, field, value);
}

void read_limits(object_reader& reader, limits& value) {
  reader.optional("requests_per_second", value.requests_per_second);
  reader.optional("tokens_per_second", value.tokens_per_second);
  reader.optional("concurrent_requests", value.concurrent_requests);
}

void read_stewardship(object_reader& reader, stewardship& value) {
  read_name(reader, "owner", value.owner);
  read_name(reader, "class", value.request_class.value);
  reader.object("limits", [&](object_reader& nested) { read_limits(nested, value.limits); });
}

void read_names(object_reader& reader, char const* name, auto& identifiers) {
  std::vector<std::string> names;
  reader.optional(name, names);
  for (auto& text : names) {
    check_name(reader, name, text);
    identifiers.push_back({std::move(text)});
  }
}

customer read_customer(object_reader& reader) {
  customer value;
  read_name(reader, "id", value.id.value);
  read_stewardship(reader, value.stewardship);
  std::vector<std::string> keys;
  reader.optional("keys", keys);
  reader.optional("key_hashes", value.key_hashes);
  for (auto const& key : keys) {
    value.key_hashes.push_back(key_hash(key));
  }
  reader.each("allow", [&](object_reader& nested) {
    allowance allowed;
    read_name(nested, "model", allowed.model.value);
    read_names(nested, "versions", allowed.versions);
    value.allowances.push_back(std::move(allowed));
  });
  read_names(reader, "services", value.services);
  return value;
}

request_class read_class(object_reader& reader) {
  request_class value;
  read_name(reader, "id", value.id.value);
  read_stewardship(reader, value.stewardship);
  reader.optional("priority", value.priority);
  auto deadline = value.deadline.count();
  reader.optional("deadline_ms", deadline);
  value.deadline = std::chrono::milliseconds(deadline);
  reader.optional("quality_target", value.quality_target);
  return value;
}

model read_model(object_reader& reader) {
  model value;
  read_name(reader, "id", value.id.value);
  read_stewardship(reader, value.stewardship);
  return value;
}

constexpr std::pair<char const*, standing> standing_names[] = {
    {"trial", standing::trial},
    {"settled", standing::settled},
    {"withdrawn", standing::withdrawn},
};

version read_version(object_reader& reader) {
  version value;
  read_name(reader, "model", value.model.value);
  read_name(reader, "id", value.id.value);
  read_stewardship(reader, value.stewardship);
  std::string name = "settled";
  reader.optional("standing", name);
  auto const* const found =
      std::ranges::find_if(standing_names, [&](auto const& item) { return item.first == name; });
  if (found == std::end(standing_names)) {
    reader.fail("standing", "must be trial, settled or withdrawn");
  } else {
    value.standing = found->second;
  }
  reader.optional("price_per_thousand_tokens", value.price_per_thousand_tokens);
  reader.optional("quality_prior", value.quality_prior);
  reader.optional("exposure_permille", value.exposure_permille);
  constexpr auto unset = std::numeric_limits<std::int64_t>::min();
  std::int64_t seconds = unset;
  reader.optional("without_lease_seconds", seconds);
  if (seconds == unset) {
    return value;
  }
  if (seconds < 0 || seconds > longest_without_lease.count()) {
    reader.fail("without_lease_seconds", "must be from 0 to 86400");
  }
  value.without_lease = std::chrono::seconds(seconds);
  return value;
}

service read_service(object_reader& reader) {
  service value;
  read_name(reader, "id", value.id.value);
  read_stewardship(reader, value.stewardship);
  reader.optional("idempotent", value.is_idempotent);
  reader.optional("price_per_call", value.price_per_call);
  return value;
}

nlohmann_json steward_json(std::string const& id, stewardship const& value) {
  return {{"id", id},
          {"owner", value.owner},
          {"class", value.request_class.value},
          {"limits",
           {{"requests_per_second", value.limits.requests_per_second},
            {"tokens_per_second", value.limits.tokens_per_second},
            {"concurrent_requests", value.limits.concurrent_requests}}}};
}

nlohmann_json names_json(auto const& identifiers) {
  auto names = nlohmann_json::array();
  for (auto const& id : identifiers) {
    names.push_back(id.value);
  }
  return names;
}

nlohmann_json entry_json(customer const& value) {
  auto object = steward_json(value.id.value, value.stewardship);
  object["key_hashes"] = value.key_hashes;
  object["allow"] = nlohmann_json::array();
  for (auto const& allowed : value.allowances) {
    object["allow"].push_back(
        {{"model", allowed.model.value}, {"versions", names_json(allowed.versions)}});
  }
  object["services"] = names_json(value.services);
  return object;
}

nlohmann_json entry_json(request_class const& value) {
  auto object = steward_json(value.id.value, value.stewardship);
  object["priority"] = value.priority;
  object["deadline_ms"] = value.deadline.count();
  object["quality_target"] = value.quality_target;
  return object;
}

nlohmann_json entry_json(model const& value) {
  return steward_json(value.id.value, value.stewardship);
}

nlohmann_json entry_json(version const& value) {
  auto object = steward_json(value.id.value, value.stewardship);
  object["model"] = value.model.value;
  object["standing"] = standing_names[static_cast<std::size_t>(value.standing)].first;
  object["price_per_thousand_tokens"] = value.price_per_thousand_tokens;
  object["quality_prior"] = value.quality_prior;
  object["exposure_permille"] = value.exposure_permille;
  if (value.without_lease) {
    object["without_lease_seconds"] = value.without_lease->count();
  }
  return object;
}

nlohmann_json entry_json(service const& value) {
  auto object = steward_json(value.id.value, value.stewardship);
  object["idempotent"] = value.is_idempotent;
  object["price_per_call"] = value.price_per_call;
  return object;
}

nlohmann_json entries_json(auto const& map) {
  auto array = nlohmann_json::array();
  for (auto const& item : map) {
    array.push_back(entry_json(item.second));
  }
  return array;
}

} // namespace

tl::expected<std::vector<entry>, std::vector<json::document_error>>
parse_entries(std::string_view text) {
  std::vector<entry> entries;
  auto errors = json::read_document(text, [&](object_reader& reader) {
    reader.each("customers", [&](auto& nested) { entries.emplace_back(read_customer(nested)); });
    reader.each("classes", [&](auto& nested) { entries.emplace_back(read_class(nested)); });
    reader.each("models", [&](auto& nested) { entries.emplace_back(read_model(nested)); });
    reader.each("versions", [&](auto& nested) { entries.emplace_back(read_version(nested)); });
    reader.each("services", [&](auto& nested) { entries.emplace_back(read_service(nested)); });
  });
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return entries;
}

std::string to_json(document const& document) {
  nlohmann_json const root = {
      {"customers", entries_json(document.customers())},
      {"classes", entries_json(document.classes())},
      {"models", entries_json(document.models())},
      {"versions", entries_json(document.versions())},
      {"services", entries_json(document.services())},
  };
  return root.dump(2);
}

} // namespace catkinlanding::catalogue
