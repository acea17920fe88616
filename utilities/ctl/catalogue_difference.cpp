#include <utilities/ctl/catalogue_difference.h>

#include <map>

namespace catkinlanding::ctl {

namespace {

using entries_by_reference = std::map<catalogue::entry_reference, catalogue::entry>;

template<class Map>
void collect(Map const& map, entries_by_reference& out) {
  for (auto const& item : map) {
    catalogue::entry const entry = item.second;
    out.emplace(catalogue::reference_to(entry), entry);
  }
}

entries_by_reference entries_of(catalogue::document const& document) {
  entries_by_reference entries;
  collect(document.customers(), entries);
  collect(document.classes(), entries);
  collect(document.models(), entries);
  collect(document.versions(), entries);
  collect(document.services(), entries);
  return entries;
}

} // namespace

catalogue_difference difference(catalogue::document const& current,
                                std::vector<catalogue::entry> const& desired) {
  catalogue_difference result;
  auto remaining = entries_of(current);
  for (auto const& entry : desired) {
    auto const existing = remaining.extract(catalogue::reference_to(entry));
    if (existing.empty()) {
      result.added.push_back(entry);
    } else if (existing.mapped() != entry) {
      result.changed.push_back(entry);
    }
  }
  for (auto const& item : remaining) {
    result.missing.push_back(item.first);
  }
  return result;
}

} // namespace catkinlanding::ctl
