#pragma once

#include <libraries/catalogue/document.h>

#include <vector>

namespace catkinlanding::ctl {

/// The differences between a catalogue and the entries of a file.
struct catalogue_difference {
  /// Entries of the file that are not in the catalogue.
  std::vector<catalogue::entry> added;
  /// Entries of the file that differ from those of the same id in the catalogue.
  std::vector<catalogue::entry> changed;
  /// Entries of the catalogue that are not in the file.
  std::vector<catalogue::entry_reference> missing;

  /// Whether there is nothing to apply. Missing entries count only if they are to be removed.
  [[nodiscard]] bool is_empty(bool prunes) const {
    return added.empty() && changed.empty() && (!prunes || missing.empty());
  }
};

[[nodiscard]] catalogue_difference difference(catalogue::document const& current,
                                              std::vector<catalogue::entry> const& desired);

} // namespace catkinlanding::ctl
