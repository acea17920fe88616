#pragma once

#include <libraries/base/identifier.h>
#include <libraries/catalogue/change.h>

#include <cstdint>
#include <variant>
#include <vector>

/// The requests of operators and the replies to them.
namespace catkinlanding::operators {

/// Applies a change to the catalogue. Sending the same change id again has no further effect.
struct apply_change {
  catalogue::change change;
  /// Whether to delay the reply until the change is in force everywhere, or a timeout.
  bool waits_until_in_force = false;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(change, waits_until_in_force);
  }
};

struct show_catalogue {
  template<class Archive>
  void serialize(Archive& /*archive*/) {}
};

struct show_history {
  template<class Archive>
  void serialize(Archive& /*archive*/) {}
};

struct show_status {
  template<class Archive>
  void serialize(Archive& /*archive*/) {}
};

struct export_bills {
  template<class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Creates a new deployment on the instance that receives the request, which must not belong to
/// one.
struct found_deployment {
  std::vector<base::instance_id> voters;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(voters);
  }
};

/// Sets the control instances that are voters from now on.
struct set_voters {
  std::vector<base::instance_id> voters;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(voters);
  }
};

/// Drains and then stops the instance that receives the request.
struct drain {
  template<class Archive>
  void serialize(Archive& /*archive*/) {}
};

using request = std::variant<apply_change, show_catalogue, show_history, show_status, export_bills,
                             found_deployment, set_voters, drain>;

} // namespace catkinlanding::operators
