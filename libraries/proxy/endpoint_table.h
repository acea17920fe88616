#pragma once

#include <libraries/proxy/message.h>

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// An endpoint as one entry instance sees it.
struct known_endpoint {
  endpoint_announcement announcement;
  endpoint_state state = endpoint_state::ready;
  /// The leader's term in which the record was last received.
  std::uint64_t confirmed_term = 0;
  /// Requests in flight from this instance, and from the other instances as last reported.
  std::uint32_t own_outstanding = 0;
  std::uint32_t other_outstanding = 0;
  /// The weighted prompt tokens of these requests that the endpoint has not processed yet.
  std::uint64_t own_pending_work = 0;
  std::uint64_t other_pending_work = 0;
  /// When the endpoint rejected requests of this instance, within the last second.
  std::deque<base::monotonic_time> rejected_at;
  /// Requests of the other instances that it rejected within a second, as last reported.
  std::uint32_t other_rejections = 0;
  /// When this instance last received response data from the endpoint.
  base::monotonic_time last_activity_at{};
  /// Consecutive failures.
  std::uint32_t failures = 0;
  /// Until then the endpoint is used only if there is no other.
  base::monotonic_time backoff_until{};

  [[nodiscard]] endpoint_incarnation incarnation() const {
    return {announcement.id, announcement.number.incarnation};
  }
  [[nodiscard]] std::uint32_t load() const { return own_outstanding + other_outstanding; }
  [[nodiscard]] std::uint64_t pending_work() const { return own_pending_work + other_pending_work; }
  /// Number of requests that it runs concurrently, by its announcement, or else like the others of
  /// its service; 0 if unknown.
  [[nodiscard]] std::uint32_t slots(std::uint32_t of_service) const {
    return announcement.slots != 0 ? announcement.slots : of_service;
  }
  /// Whether another request starts at once, as far as that is known.
  [[nodiscard]] bool has_free_slot(std::uint32_t slots_of_service) const {
    auto const known_slots = slots(slots_of_service);
    return known_slots == 0 || load() < known_slots;
  }
  /// Whether the prompt of another request is processed at once, and keeps no other waiting.
  [[nodiscard]] bool is_idle(std::uint32_t slots_of_service) const {
    return has_free_slot(slots_of_service) && pending_work() == 0;
  }
};

/// The endpoints that an entry instance may send requests to.
class endpoint_table {
public:
  struct options {
    /// Exponential backoff: the first failure takes the endpoint out of use for min_backoff, and
    /// each further failure for twice as long, up to max_backoff.
    base::duration min_backoff = std::chrono::milliseconds(500);
    base::duration max_backoff = std::chrono::seconds(4);
    /// Backoff of an endpoint that rejected a request because it was at capacity.
    base::duration at_capacity_backoff = std::chrono::milliseconds(100);
  };

  explicit endpoint_table(options options) : m_options(options) {}

  void apply(endpoint_record const& record, std::uint64_t term);
  /// Removes endpoints that are gone or that were not confirmed in this term. Called once the
  /// leader's registry is complete.
  void erase_unconfirmed(std::uint64_t term);
  void apply_loads(std::vector<endpoint_load> const& loads);

  /// Returns the ready endpoints of the service, ordered by id.
  [[nodiscard]] std::vector<known_endpoint const*> ready(base::service_id const& service) const;
  [[nodiscard]] known_endpoint const* find(base::endpoint_id const& id) const;
  /// The address of one of the ready endpoints, drawn by the random number.
  [[nodiscard]] std::optional<base::address> any_ready_address(std::uint64_t random) const;
  /// The requests in flight of this instance, and those that were rejected within the last second.
  [[nodiscard]] std::vector<endpoint_load> own_loads(base::monotonic_time now);
  [[nodiscard]] std::size_t size() const { return m_endpoints.size(); }

  /// `pending_work` is the work, in weighted prompt tokens, before the endpoint can start its
  /// response.
  void begin_attempt(base::endpoint_id const& id, std::uint64_t pending_work);
  /// The endpoint has processed the prompt.
  void note_prompt_processed(base::endpoint_id const& id, std::uint64_t pending_work);
  void end_attempt(base::endpoint_id const& id);
  /// Response data arrived from the endpoint.
  void note_activity(base::endpoint_id const& id, base::monotonic_time now);
  void note_success(base::endpoint_id const& id);
  void note_failure(base::endpoint_id const& id, base::monotonic_time now);
  /// Ends the backoff of all endpoints, as their failures were this instance's own.
  void forget_failures();
  void note_at_capacity(base::endpoint_id const& id, base::monotonic_time now);
  /// Another endpoint answered at its address.
  void note_replaced(base::endpoint_id const& id);

private:
  options m_options;
  std::map<base::endpoint_id, known_endpoint> m_endpoints;
};

} // namespace catkinlanding::proxy
