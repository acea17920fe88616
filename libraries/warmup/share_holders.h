#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::warmup {

/// Decides which instances may send to a cold endpoint. The endpoint's rate is divided into equal
/// shares, and each share belongs to one instance at a time.
///
/// The instances are chosen by rendezvous hashing, so that every leader chooses the same ones, and
/// few shares move when instances come and go. A share moves only once its former holder's last
/// grant has surely ended.
class share_holders {
public:
  /// Shares that an endpoint's rate is divided into. In any second an endpoint gets at most
  /// `shares + rate` requests. With 4 shares this stays below `1.5 * rate + 5` for every rate.
  static constexpr std::size_t shares = 4;

  struct options {
    /// An instance may use a share for 1.8 s from the subscription that the grant answers
    /// (`grant_lease`). The rest is a margin for updates that answer no known subscription.
    base::duration grant_lifetime = std::chrono::seconds(3);
  };

  explicit share_holders(options options) : m_options(options) {}

  /// Replaces the instances that may hold shares.
  void use_instances(std::vector<base::instance_id> instances);
  /// Forgets all holders. Called at the start of a term, whose first grants follow only after those
  /// of the term before have ended.
  void clear() { m_endpoints.clear(); }
  /// The number of the endpoint's shares that the instance holds, which are granted to it now.
  [[nodiscard]] std::size_t grant(base::endpoint_id const& endpoint,
                                  base::instance_id const& instance, base::monotonic_time now);
  /// Forgets the endpoints whose grants have all ended.
  void sweep(base::monotonic_time now);

private:
  struct share {
    base::instance_id holder;
    /// Empty if it was not granted to the holder yet.
    std::optional<base::monotonic_time> granted_at;
    /// Whether the holder is no longer chosen, and keeps the share only until its grant has ended.
    bool is_revoked = true;
  };

  struct endpoint_shares {
    std::array<share, shares> all;
    /// The chosen instances, once for each share; none before the first choice.
    std::vector<base::instance_id> chosen;
    std::uint64_t chosen_from = 0;
    bool is_settled = false;
  };

  [[nodiscard]] std::vector<base::instance_id> choose(base::endpoint_id const& endpoint) const;
  [[nodiscard]] bool has_ended(share const& share, base::monotonic_time now) const;
  /// Moves the shares to the chosen instances as far as they are free.
  void settle(endpoint_shares& known, base::monotonic_time now) const;

  options m_options;
  std::vector<base::instance_id> m_instances;
  /// Increases with each change of the instances.
  std::uint64_t m_instances_revision = 1;
  std::map<base::endpoint_id, endpoint_shares> m_endpoints;
};

} // namespace catkinlanding::warmup
