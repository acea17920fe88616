#pragma once

#include <libraries/billing/copy_holder.h>
#include <libraries/billing/outbox.h>
#include <libraries/claims/claim_client.h>
#include <libraries/instance/control.h>
#include <libraries/instance/effect.h>
#include <libraries/instance/event.h>
#include <libraries/instance/lifecycle.h>
#include <libraries/limits/share_relay.h>
#include <libraries/limits/share_source.h>
#include <libraries/membership/member_table.h>
#include <libraries/requests/table.h>
#include <libraries/rollouts/exchange.h>
#include <libraries/routing/answer_rater.h>
#include <libraries/routing/chooser.h>
#include <libraries/sessions/pin_cache.h>
#include <libraries/sessions/pin_client.h>

#include <optional>

namespace catkinlanding::instance {

/// The reducer over all events of one instance. It passes each event to the parts that handle it
/// and collects their effects.
class reducer {
public:
  struct options {
    base::instance_id self;
    base::availability_zone_id zone;
    /// Instances with the control role, those of this zone first.
    std::vector<base::instance_id> control_instances;
    /// Relays of this zone, in the order in which this instance tries them.
    std::vector<base::instance_id> zone_relays;
    /// Whether this instance relays the catalogue and the shares of rate limits to its zone.
    bool is_relay = false;
    /// This instance as it is announced to the others.
    membership::member self_as_member;
    /// The instances through which this one joins the deployment.
    std::vector<membership::member> seeds;
    /// All instances that the settings name, including this one.
    std::vector<distribution::member> members;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    /// Set on instances with the control role.
    std::optional<instance::control::options> control;
    distribution::publisher::options publisher;
    /// The guaranteed shares (floors) of rate limits are sized for this many holders: all relays,
    /// and all instances of zones without a relay.
    std::size_t max_floor_holders = 18;
    /// How long a stop waits for the load balancer to send no more requests.
    base::duration stop_notice = std::chrono::seconds(2);
  };

  /// The state that was read back from the disk at startup; empty on instances without a disk.
  struct recovered {
    consensus::recovered_state log;
    std::vector<billing::bill> bills;
  };

  [[nodiscard]] static reducer create(options options, recovered const& recovered,
                                      base::monotonic_time now);

  [[nodiscard]] effects reduce(event const& event, base::monotonic_time now);

  [[nodiscard]] operators::status_reply status(base::monotonic_time now) const;
  /// Whether the platform's load balancer should send requests here.
  [[nodiscard]] bool is_ready(base::monotonic_time now) const;
  [[nodiscard]] catalogue::document const& document() const { return m_subscriber.document(); }
  [[nodiscard]] requests::table_counters const& request_counters() const {
    return m_requests.counters();
  }

private:
  reducer(options options, recovered const& recovered, base::monotonic_time now);

  void handle(tick const& event, base::monotonic_time now, effects& out);
  void handle(message_received const& event, base::monotonic_time now, effects& out);
  void handle(log_written const& event, base::monotonic_time now, effects& out);
  void handle(ledger_written const& event, base::monotonic_time now, effects& out);
  void handle(endpoint_announced const& event, base::monotonic_time now, effects& out);
  void handle(stop_requested const& event, base::monotonic_time now, effects& out);
  void handle(operators::command const& event, base::monotonic_time now, effects& out);
  void handle(requests::event const& event, base::monotonic_time now, effects& out);
  void handle(routing::rating_result const& event, base::monotonic_time now, effects& out);

  void receive(base::instance_id const& from, consensus::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, distribution::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, endpoints::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, routing::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, limits::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, billing::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, operators::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, membership::message const& message,
               base::monotonic_time now, effects& out);

  void receive(base::instance_id const& from, claims::message const& message,
               base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, sessions::message const& message,
               base::monotonic_time now, effects& out);

  void receive(base::instance_id const& from, rollouts::message const& message,
               base::monotonic_time now, effects& out);

  /// Whether an operator's request would make a relay a voter.
  [[nodiscard]] bool adds_relay_as_voter(operators::request const& request) const;

  void emit(control_effects requested, base::monotonic_time now, effects& out);
  void emit(requests::effects requested, base::monotonic_time now, effects& out);
  void emit(routing::rater_effects requested, base::monotonic_time now, effects& out);
  /// Continues the requests whose bills now survive the loss of this instance.
  void notify_replicated_bills(std::vector<base::request_id> const& replicated_bills,
                               base::monotonic_time now, effects& out);
  /// Passes the current members of the deployment to the parts.
  void update_members(base::monotonic_time now, effects& out);
  void update_catalogue_from_log(base::monotonic_time now, effects& out);
  void tick_rollouts(base::monotonic_time now, effects& out);
  void tick_share_relay(base::monotonic_time now, effects& out);
  void tick_limits(base::monotonic_time now, effects& out);
  void publish(base::monotonic_time now, effects& out);
  [[nodiscard]] std::optional<base::monotonic_time> grant_until(base::monotonic_time now) const;
  [[nodiscard]] requests::environment request_environment(base::monotonic_time now);
  /// Stops accepting new requests and announces to the other instances that this one leaves.
  void drain(base::monotonic_time now, effects& out);
  void stop_when_idle(base::monotonic_time now, effects& out);
  /// Reports which requests the stop waits for, at intervals.
  void report_stop(base::monotonic_time now, effects& out);
  /// Emits the state changes that are logged for operators.
  void log_state_changes(base::monotonic_time now, effects& out);

  options m_options;
  membership::member_table m_members;
  distribution::subscriber m_subscriber;
  distribution::publisher m_publisher;
  endpoints::directory m_directory;
  routing::chooser m_chooser;
  routing::answer_rater m_rater;
  rollouts::exchange m_rollout_exchange;
  limits::admission m_admission;
  limits::rate_limiter m_limiter;
  /// Set while this instance leads the replicated log under a lease.
  std::optional<limits::share_allocator> m_share_allocator;
  /// Chooses the instance from which the limiter requests its shares.
  limits::share_source m_share_source;
  /// Chooses the instance from which the relay requests the shares that it divides.
  limits::share_source m_relay_source;
  /// Set on relays.
  std::optional<limits::share_relay> m_share_relay;
  requests::table m_requests;
  billing::outbox m_outbox;
  billing::copy_holder m_bill_copies;
  claims::claim_client m_claim_client;
  sessions::pin_client m_pin_client;
  sessions::pin_cache m_pins;
  operators::gateway m_gateway;
  std::optional<control> m_control;
  std::optional<billing::ledger> m_ledger;
  state_change_detector m_state_changes;
  base::monotonic_time m_deployment_check_due{};
  lifecycle m_lifecycle;
  bool m_is_draining = false;
  base::monotonic_time m_stop_report_due{};
  base::monotonic_time m_leadership_transfer_deadline{};
};

} // namespace catkinlanding::instance
