#pragma once

#include <compare>
#include <functional>
#include <string>

namespace catkinlanding::base {

/// A name that only compares with names of its own kind. The tag is never defined.
template<class Tag>
struct identifier {
  std::string value;

  auto operator<=>(identifier const&) const = default;

  [[nodiscard]] bool is_empty() const { return value.empty(); }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// An instance of the system, unique in a deployment.
using instance_id = identifier<struct instance_tag>;
using availability_zone_id = identifier<struct availability_zone_tag>;
using customer_id = identifier<struct customer_tag>;
using model_id = identifier<struct model_tag>;
using version_id = identifier<struct version_tag>;
using service_id = identifier<struct service_tag>;
using class_id = identifier<struct class_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using session_id = identifier<struct session_tag>;
using change_id = identifier<struct change_tag>;
/// Names one request across retries, resends and instances.
using request_id = identifier<struct request_tag>;

} // namespace catkinlanding::base

template<class Tag>
struct std::hash<catkinlanding::base::identifier<Tag>> {
  [[nodiscard]] std::size_t operator()(catkinlanding::base::identifier<Tag> const& id) const {
    return std::hash<std::string>{}(id.value);
  }
};
