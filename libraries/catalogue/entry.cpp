#include <libraries/base/overloaded.h>
#include <libraries/catalogue/entry.h>

#include <algorithm>

namespace catkinlanding::catalogue {

namespace {

bool is_sound(auto const& identifier) {
  return is_sound_name(identifier.value);
}

bool is_sound(std::string const& text) {
  return is_sound_name(text);
}

bool are_sound(allowance const& allowed) {
  return is_sound(allowed.model) &&
         std::ranges::all_of(allowed.versions, [](auto const& id) { return is_sound(id); });
}

/// What the kinds of entry name beyond their own id and stewardship.
bool has_sound_references(customer const& value) {
  return std::ranges::all_of(value.allowances, are_sound) &&
         std::ranges::all_of(value.services, [](auto const& id) { return is_sound(id); });
}

bool has_sound_references(version const& value) {
  return is_sound(value.model);
}

bool has_sound_references(rollout const& value) {
  bool const is_old_sound = !value.old_version || is_sound(*value.old_version);
  return is_sound(value.model) && is_sound(value.version) && is_old_sound;
}

bool has_sound_references(auto const& /*other*/) {
  return true;
}

} // namespace

bool is_sound_name(std::string_view text) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char delete_character = 0x7f;
  return std::ranges::none_of(text, [](unsigned char character) {
    return character < first_printable || character == delete_character;
  });
}

bool has_sound_names(entry const& entry) {
  return std::visit(
      [](auto const& value) {
        return is_sound(value.id) && is_sound_name(value.stewardship.owner) &&
               is_sound(value.stewardship.request_class) && has_sound_references(value);
      },
      entry);
}

entry_reference reference_to(entry const& entry) {
  auto const kind = static_cast<entry_kind>(entry.index());
  auto id = std::visit(base::overloaded{
                           [](version const& v) { return v.model.value + "/" + v.id.value; },
                           [](rollout const& r) { return r.model.value; },
                           [](auto const& other) { return other.id.value; },
                       },
                       entry);
  return {.kind = kind, .id = std::move(id)};
}

std::chrono::seconds time_without_lease(version const& version) {
  switch (version.standing) {
  case standing::trial:
    return version.without_lease.value_or(std::chrono::seconds::zero());
  case standing::settled:
    return version.without_lease.value_or(default_without_lease);
  case standing::withdrawn:
    return std::chrono::seconds::zero();
  }
  return std::chrono::seconds::zero();
}

} // namespace catkinlanding::catalogue
