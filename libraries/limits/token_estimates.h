#pragma once

#include <libraries/base/identifier.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace catkinlanding::limits {

/// Estimates the tokens that a request will use from its size and the earlier answers of its class.
class token_estimates {
public:
  /// An estimate for a request whose body has this many bytes.
  [[nodiscard]] std::uint64_t estimate(base::class_id const& request_class,
                                       std::size_t body_bytes) const;

  /// Updates the estimate with the tokens generated for one request.
  void observe(base::class_id const& request_class, std::uint64_t completion_tokens);

private:
  std::map<base::class_id, double> m_completion_tokens;
};

} // namespace catkinlanding::limits
