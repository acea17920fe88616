#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/limits/share_allocator.h>
#include <libraries/limits/share_lessee.h>
#include <libraries/limits/token_estimates.h>

#include <optional>
#include <vector>

namespace catkinlanding::limits {

/// What one request takes from the limits.
struct charge {
  base::customer_id customer;
  base::class_id request_class;
  /// Estimated; zero for work that uses no tokens.
  std::uint64_t tokens = 0;
};

/// What became of a request that was charged.
struct charge_correction {
  limits::charge charge;
  /// What it used in the end.
  std::uint64_t tokens = 0;
};

/// Holds this instance to its part of each limit on requests and tokens per second: buckets that
/// fill at the floor and the leased share. A request's tokens are charged by estimate before it
/// runs and corrected when it has ended. A request may start while no tokens are
/// owed, whatever its size; what it leaves owing is paid before the next one starts.
class rate_limiter {
public:
  struct options {
    /// At least as many as there are entry instances in the deployment.
    std::size_t instances = 1;
    std::uint64_t floor_permille = share_allocator::options{}.floor_permille;
    /// What a bucket holds, as time at its rate; never less than one request.
    base::duration burst = std::chrono::seconds(1);
    std::size_t max_buckets = 4096;
    share_lessee::options lessee;
  };

  explicit rate_limiter(options options) : m_options(options), m_lessee(options.lessee) {}

  /// Takes the charge from each limit that it falls under, or from none of them. Where one is
  /// empty, says when there will be enough.
  [[nodiscard]] std::optional<base::duration>
  refuse(charge const& charge, catalogue::document const& document, base::monotonic_time now);

  /// Gives back what was charged beyond what was used, or takes what is missing.
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
    /// What it fills by each second, and the limit that this is a part of.
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
  /// Fills the bucket up to now, by no more than was surely this instance's part all the time.
  void fill(share_key const& key, bucket& bucket, base::monotonic_time now) const;
  void fill_all(base::monotonic_time now);
  [[nodiscard]] double capacity(share_key const& key, double rate) const;
  [[nodiscard]] double rate_of(share_key const& key, std::uint64_t limit,
                               base::monotonic_time now) const;

  options m_options;
  share_lessee m_lessee;
  token_estimates m_estimates;
  std::map<share_key, bucket> m_buckets;
  /// What was asked for since the last message to the holder, in the units of the shares.
  shares m_demand;
};

/// Every limit of the catalogue, in the units of the shares: of each customer's work, and of all
/// work of a class.
[[nodiscard]] shares limits_in(catalogue::document const& document);

} // namespace catkinlanding::limits
