#pragma once

#include <libraries/catalogue/document.h>

#include <vector>

namespace catkinlanding::ctl {

/// What a file would change in a catalogue.
struct catalogue_difference {
  /// Entries that the catalogue lacks.
  std::vector<catalogue::entry> added;
  /// Entries that the catalogue has in another form.
  std::vector<catalogue::entry> changed;
  /// Entries that the file lacks.
  std::vector<catalogue::entry_reference> missing;

  [[nodiscard]] bool is_empty(bool prunes) const {
    return added.empty() && changed.empty() && (!prunes || missing.empty());
  }
};

[[nodiscard]] catalogue_difference difference(catalogue::document const& current,
                                              std::vector<catalogue::entry> const& desired);

} // namespace catkinlanding::ctl
