#pragma once

#include <libraries/base/identifier.h>
#include <libraries/catalogue/entry.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::catalogue {

/// Counts accepted changes. Revision 0 is the empty catalogue.
using revision = std::uint64_t;

/// One operator's change, made against a revision. It is applied whole or not at all.
struct change {
  base::change_id id;
  revision base_revision = 0;
  std::string author;
  std::vector<entry> upserts;
  std::vector<entry_reference> removals;

  bool operator==(change const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, base_revision, author, upserts, removals);
  }
};

/// What became of a change. The same change id always gets the same outcome.
enum class change_verdict : std::uint8_t {
  accepted,
  /// Another change was accepted since the base revision.
  conflict,
  /// The change id was used before for other content.
  id_reused,
  /// An entry refers to one that does not exist.
  dangling_reference,
  /// The change id is older than the answers that are kept, so its outcome is not known any more.
  forgotten,
  /// An id or a name holds a control character.
  unsound_name,
  /// A roll-out can't become what the change says of it.
  illegal_rollout,
};
/// Greater numbers are refused when they are decoded.
constexpr change_verdict last_enumerator(change_verdict /*any*/) {
  return change_verdict::illegal_rollout;
}

struct change_outcome {
  change_verdict verdict = change_verdict::conflict;
  /// The revision that the change made, or the current one if it made none.
  catalogue::revision revision = 0;
  /// The entry at fault, where there is one.
  std::optional<entry_reference> culprit;

  bool operator==(change_outcome const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(verdict, revision, culprit);
  }
};

} // namespace catkinlanding::catalogue
