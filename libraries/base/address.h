#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace catkinlanding::base {

/// An IP number in text form and a port.
struct address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(address const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

} // namespace catkinlanding::base
