#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/limits/share_allocator.h>
#include <libraries/limits/share_lessee.h>
#include <libraries/limits/token_estimates.h>

#include <optional>
#include <vector>

namespace catkinlanding::limits {

/// The amount that one request is charged against the limits.
struct charge {
  base::customer_id customer;
  base::class_id request_class;
  /// Estimated; zero for work that uses no tokens.
  std::uint64_t tokens = 0;
};

/// Corrects a charge after its request has ended.
struct charge_correction {
  limits::charge charge;
  /// Tokens actually used.
  std::uint64_t tokens = 0;
};

/// Enforces this instance's part of each limit on requests and tokens per second with token
/// buckets, which fill at the rate of the floor plus the leased share. A request's tokens are
/// charged by estimate before it runs and corrected when it has ended. A request of any size may
/// start while the bucket of tokens is not negative; a negative bucket must fill up again before
/// the next one starts.
class rate_limiter {
public:
  struct options {
    /// Upper bound on the number of entry instances in the deployment.
    std::size_t instances = 1;
    std::uint64_t floor_permille = share_allocator::options{}.floor_permille;
    /// Capacity of a bucket, as time at its rate; at least one request.
    base::duration burst = std::chrono::seconds(1);
    std::size_t max_buckets = 4096;
    share_lessee::options lessee;
  };

  explicit rate_limiter(options options) : m_options(options), m_lessee(options.lessee) {}

  /// Charges all applicable limits, or none of them. Returns nothing on success, otherwise the time
  /// after which the exhausted limit will have recovered.
  [[nodiscard]] std::optional<base::duration>
  refuse(charge const& charge, catalogue::document const& document, base::monotonic_time now);

  /// Refunds tokens charged but not used, or charges those used beyond the estimate.
  void correct(charge_correction const& correction, base::monotonic_time now);

  [[nodiscard]] std::uint64_t estimate(base::class_id const& request_class,
                                       std::size_t body_bytes) const {
    return m_estimates.estimate(request_class, body_bytes);
  }
  void observe(base::class_id const& request_class, std::uint64_t completion_tokens) {
    m_estimates.observe(request_class, completion_tokens);
  }

  [[nodiscard]] std::optional<share_request> tick(base::monotonic_time now);
  void receive(share_grant const& grant, base::monotonic_time now);

private:
  struct bucket {
    double level = 0.0;
    /// The fill rate per second, and the limit of which it is a part.
    double rate = 0.0;
    std::uint64_t limit = 0;
    base::monotonic_time at{};
  };

  struct applicable_limit {
    share_key key;
    std::uint64_t limit = 0;
    double amount = 0.0;
  };

  [[nodiscard]] static std::vector<applicable_limit>
  applicable_limits_of(charge const& charge, catalogue::document const& document);
  bucket& bucket_of(share_key const& key, std::uint64_t limit, base::monotonic_time now);
  /// Fills the bucket up to now at the smaller of the former and the current rate, which this
  /// instance was entitled to throughout.
  void fill(share_key const& key, bucket& bucket, base::monotonic_time now) const;
  void fill_all(base::monotonic_time now);
  [[nodiscard]] double capacity(share_key const& key, double rate) const;
  [[nodiscard]] double rate_of(share_key const& key, std::uint64_t limit,
                               base::monotonic_time now) const;

  options m_options;
  share_lessee m_lessee;
  token_estimates m_estimates;
  std::map<share_key, bucket> m_buckets;
  /// Demand since the last request to the allocator, in the units of the shares.
  shares m_demand;
};

/// All customer and class limits of the catalogue, in the units of the shares.
[[nodiscard]] shares limits_in(catalogue::document const& document);

} // namespace catkinlanding::limits
