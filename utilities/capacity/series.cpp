#include <libraries/base/verify.h>
#include <libraries/billing/ledger.h>
#include <libraries/storage/journal.h>
#include <utilities/capacity/cluster.h>
#include <utilities/capacity/meter.h>
#include <utilities/capacity/series.h>

#include <algorithm>
#include <memory>

namespace catkinlanding::capacity {

namespace {

constexpr base::duration observation_time = std::chrono::seconds(20);

double per_second(double amount) {
  return amount / std::chrono::duration<double>(observation_time).count();
}

double microseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

catalogue::stewardship default_stewardship() {
  return {.owner = "annex", .request_class = {"interactive"}, .limits = {}};
}

catalogue::customer customer(std::size_t index) {
  catalogue::customer value;
  value.id = {"customer-" + std::to_string(index)};
  value.stewardship = default_stewardship();
  value.key_hashes = {catalogue::key_hash("key-" + std::to_string(index))};
  value.allowances = {{.model = {"model"}, .versions = {}}};
  return value;
}

catalogue::version version(std::size_t index) {
  catalogue::version value;
  value.model = {"model"};
  value.id = {"version-" + std::to_string(index)};
  value.stewardship = default_stewardship();
  value.price_per_thousand_tokens = 100 + index;
  return value;
}

catalogue::change initial_change(std::size_t customers, std::size_t versions) {
  catalogue::change change;
  change.id = {"first"};
  change.author = "capacity";
  change.upserts.emplace_back(
      catalogue::model{.id = {"model"}, .stewardship = default_stewardship()});
  for (std::size_t i = 0; i < versions; ++i) {
    change.upserts.emplace_back(version(i));
  }
  for (std::size_t i = 0; i < customers; ++i) {
    change.upserts.emplace_back(customer(i));
  }
  return change;
}

/// Adds a request rate limit to each customer in the change.
catalogue::change with_request_limits(catalogue::change change) {
  for (auto& entry : change.upserts) {
    if (auto* customer = std::get_if<catalogue::customer>(&entry)) {
      customer->stewardship.limits.requests_per_second = 100;
    }
  }
  return change;
}

/// Allows each customer in the change to call the service `orders`.
catalogue::change with_service(catalogue::change change) {
  for (auto& entry : change.upserts) {
    if (auto* customer = std::get_if<catalogue::customer>(&entry)) {
      customer->services = {{"orders"}};
    }
  }
  return change;
}

/// Changes the limits of one customer, a typical change by operators.
catalogue::change limit_change(catalogue::revision base) {
  catalogue::change change;
  change.id = {"limit-" + std::to_string(base)};
  change.author = "capacity";
  change.base_revision = base;
  auto changed = customer(0);
  changed.stewardship.limits.requests_per_second = static_cast<std::uint32_t>(base);
  change.upserts.emplace_back(std::move(changed));
  return change;
}

endpoints::announcement announcement(std::size_t index, std::uint64_t sequence) {
  endpoints::announcement value;
  value.endpoint = {"engine-" + std::to_string(index)};
  value.incarnation = 1;
  value.sequence = sequence;
  value.zone = {"zone-0"};
  constexpr std::size_t engines_per_machine = 250;
  value.address = {.ip = "10.9." + std::to_string(index / engines_per_machine) + "." +
                         std::to_string(1 + index % engines_per_machine),
                   .port = 9000};
  value.versions = {{.model = {"model"}, .version = {"version-0"}}};
  value.slots = 8;
  return value;
}

endpoints::announcement service_announcement(std::uint64_t sequence) {
  endpoints::announcement value;
  value.endpoint = {"orders-1"};
  value.incarnation = 1;
  value.sequence = sequence;
  value.zone = {"zone-0"};
  value.address = {.ip = "10.9.0.1", .port = 9000};
  value.kind = endpoints::endpoint_kind::service;
  value.service = {"orders"};
  value.slots = 8;
  return value;
}

/// Creates empty series of the CPU time and traffic per second of the leader, a follower, an entry
/// instance and, if there are relays, a relay.
std::vector<series> role_series(char const* per, bool has_relays = false) {
  std::vector<series> all;
  std::vector<char const*> names{"leader", "voter", "entry"};
  if (has_relays) {
    names.push_back("relay");
  }
  for (auto const* role : names) {
    all.push_back({.cost = std::string(role) + ", processor", .unit = "us/s", .per = per});
    all.push_back({.cost = std::string(role) + ", sent", .unit = "B/s", .per = per});
    all.push_back({.cost = std::string(role) + ", received", .unit = "B/s", .per = per});
  }
  return all;
}

void add_role_points(std::vector<series>& all, cluster const& cluster, double count) {
  auto const leader = cluster.leader();
  std::size_t const follower = cluster.id_of(0) == leader ? 1 : 0;
  std::vector<base::instance_id> const ids{leader, cluster.id_of(follower),
                                           cluster.id_of(cluster.size() - 1),
                                           cluster.id_of(cluster.first_relay())};
  for (std::size_t role = 0; role < all.size() / 3; ++role) {
    auto const& usage = cluster.usage_of(ids[role]);
    all[role * 3].points.push_back({count, per_second(microseconds(usage.processor_time))});
    all[role * 3 + 1].points.push_back({count, per_second(static_cast<double>(usage.sent_bytes))});
    all[role * 3 + 2].points.push_back(
        {count, per_second(static_cast<double>(usage.received_bytes))});
  }
}

/// Costs of leases and heartbeats of an idle cluster.
std::vector<series> idle(std::uint64_t seed) {
  auto all = role_series("instances");
  for (std::size_t const instances : {9U, 18U, 36U, 72U, 144U}) {
    cluster cluster({.zones = 3, .instances = instances, .voters = 3, .seed = seed});
    cluster.found();
    cluster.apply(initial_change(10, 4));
    cluster.run_for(std::chrono::seconds(2));
    cluster.clear_usage();
    cluster.run_for(observation_time);
    add_role_points(all, cluster, static_cast<double>(instances));
  }
  return all;
}

/// The same with the layout of the expected deployment in two years: nine zones, five voters and 13
/// relays. The voters and relays are the first 18 instances, two in each zone. Ten customers have
/// limits.
std::vector<series> idle_with_relays(std::uint64_t seed) {
  auto all = role_series("instances", true);
  for (std::size_t const instances : {36U, 72U, 144U, 288U, 600U}) {
    cluster cluster({.zones = 9, .instances = instances, .voters = 5, .seed = seed, .relays = 13});
    cluster.found();
    cluster.apply(with_request_limits(initial_change(10, 4)));
    cluster.run_for(std::chrono::seconds(15));
    cluster.clear_usage();
    cluster.run_for(observation_time);
    add_role_points(all, cluster, static_cast<double>(instances));
  }
  return all;
}

/// Costs of dividing the rate limits of customers among 36 instances with relays.
std::vector<series> limited_customers(std::uint64_t seed) {
  auto all = role_series("customers with a limit", true);
  for (std::size_t const customers : {10U, 20U, 40U, 80U, 160U}) {
    cluster cluster({.zones = 3, .instances = 36, .voters = 3, .seed = seed, .relays = 6});
    cluster.found();
    cluster.apply(with_request_limits(initial_change(customers, 4)));
    cluster.run_for(std::chrono::seconds(15));
    cluster.clear_usage();
    cluster.run_for(observation_time);
    add_role_points(all, cluster, static_cast<double>(customers));
  }
  return all;
}

/// Costs of catalogue changes at increasing rates with nine instances.
std::vector<series> catalogue_changes(std::uint64_t seed) {
  auto all = role_series("changes a second");
  all.push_back({.cost = "voter, disk", .unit = "B/s", .per = "changes a second"});
  for (std::size_t const rate : {1U, 2U, 5U, 10U, 25U}) {
    cluster cluster({.zones = 3, .instances = 9, .voters = 3, .seed = seed});
    cluster.found();
    cluster.apply(initial_change(10, 4));
    cluster.run_for(std::chrono::seconds(2));
    cluster.clear_usage();
    auto const pause = std::chrono::duration_cast<base::duration>(std::chrono::seconds(1)) /
                       static_cast<long>(rate);
    auto const end = cluster.now() + observation_time;
    while (cluster.now() < end) {
      cluster.apply(limit_change(cluster.reducer(cluster.leader()).document().revision()));
      cluster.run_for(pause);
    }
    add_role_points(all, cluster, static_cast<double>(rate));
    auto const& leader = cluster.usage_of(cluster.leader());
    all.back().points.push_back(
        {static_cast<double>(rate), per_second(static_cast<double>(leader.log_bytes))});
  }
  return all;
}

/// Costs of non-idempotent service calls with an idempotency key at increasing rates. Each call is
/// claimed in the replicated log before it runs, and its completion is recorded there.
std::vector<series> claims(std::uint64_t seed) {
  auto all = role_series("claims a second");
  all.push_back({.cost = "voter, disk", .unit = "B/s", .per = "claims a second"});
  auto const body = std::make_shared<std::string const>("{}");
  for (std::size_t const rate : {2U, 5U, 10U, 25U, 50U}) {
    cluster cluster({.zones = 3, .instances = 9, .voters = 3, .seed = seed});
    cluster.found();
    auto change = with_service(initial_change(10, 4));
    change.upserts.emplace_back(
        catalogue::service{.id = {"orders"}, .stewardship = default_stewardship()});
    cluster.apply(std::move(change));
    cluster.run_for(std::chrono::seconds(2));
    auto const entry = cluster.size() - 1;
    cluster.clear_usage();
    auto const pause = std::chrono::duration_cast<base::duration>(std::chrono::seconds(1)) /
                       static_cast<long>(rate);
    std::uint64_t number = 0;
    for (auto const end = cluster.now() + observation_time; cluster.now() < end;) {
      cluster.announce(entry, service_announcement(++number));
      cluster.run_request(
          entry,
          {.number = number,
           .customer_key = "key-3",
           .target = requests::service_target{.service = {"orders"}, .method = "POST", .path = "/"},
           .body = body,
           .idempotency_key = "order-" + std::to_string(number)});
      cluster.run_for(pause);
    }
    add_role_points(all, cluster, static_cast<double>(rate));
    auto const& leader = cluster.usage_of(cluster.leader());
    all.back().points.push_back(
        {static_cast<double>(rate), per_second(static_cast<double>(leader.log_bytes))});
  }
  return all;
}

/// Catalogues of increasing size: memory use, size of the snapshot sent to a new instance, and CPU
/// time of one more change.
std::vector<series> catalogue_size(std::uint64_t /*seed*/) {
  series memory{.cost = "catalogue in memory", .unit = "B", .per = "customers"};
  series bytes{.cost = "catalogue on the wire", .unit = "B", .per = "customers"};
  series time{.cost = "one change", .unit = "us", .per = "customers"};
  for (std::size_t const customers : {100U, 200U, 400U, 800U, 1600U}) {
    auto const count = static_cast<double>(customers);
    auto const before = heap_bytes();
    auto state = std::make_unique<instance::replicated_state>();
    static_cast<void>(state->apply(initial_change(customers, 31)));
    memory.points.push_back({count, static_cast<double>(heap_bytes() - before)});
    bytes.points.push_back({count, static_cast<double>(state->encode().size())});
    constexpr int repeats = 50;
    auto const start = processor_time();
    for (int i = 0; i < repeats; ++i) {
      static_cast<void>(state->apply(limit_change(state->catalogue().document().revision())));
    }
    time.points.push_back({count, microseconds(processor_time() - start) / repeats});
  }
  return {memory, bytes, time};
}

/// CPU time, memory and traffic of an entry instance that receives the announcements of a growing
/// number of endpoints.
std::vector<series> announcements(std::uint64_t seed) {
  series time{.cost = "entry, a round of announcements", .unit = "us", .per = "endpoints"};
  series memory{.cost = "entry, memory", .unit = "B", .per = "endpoints"};
  series sent{.cost = "entry, sent to 2 peers in a round", .unit = "B", .per = "endpoints"};
  for (std::size_t const count : {100U, 200U, 400U, 800U, 1600U}) {
    cluster cluster({.zones = 1, .instances = 3, .voters = 1, .seed = seed});
    cluster.found();
    auto const before = heap_bytes();
    constexpr std::uint64_t rounds = 4;
    for (std::uint64_t round = 1; round <= rounds; ++round) {
      if (round == 2) {
        cluster.clear_usage();
      }
      for (std::size_t i = 0; i < count; ++i) {
        cluster.announce(2, announcement(i, round));
      }
      cluster.run_for(std::chrono::milliseconds(500));
    }
    auto const& usage = cluster.usage_of(cluster.id_of(2));
    auto const x = static_cast<double>(count);
    time.points.push_back({x, microseconds(usage.processor_time) / (rounds - 1)});
    sent.points.push_back({x, static_cast<double>(usage.sent_bytes) / (rounds - 1)});
    memory.points.push_back({x, static_cast<double>(heap_bytes() - before) / 3});
  }
  return {time, memory, sent};
}

billing::bill bill(std::size_t index) {
  billing::bill value;
  value.request = {"instance-0.1796331139357." + std::to_string(index)};
  value.customer = {"customer-7"};
  value.request_class = {"interactive"};
  value.lines = {{.model = {"model"},
                  .version = {"version-1"},
                  .service = {},
                  .prompt_tokens = 900,
                  .completion_tokens = 400,
                  .price = 130}};
  return value;
}

/// Costs of storing bills in the ledger of one control instance.
std::vector<series> bills(std::uint64_t /*seed*/) {
  series time{.cost = "ledger, processor", .unit = "us", .per = "bills"};
  series memory{.cost = "ledger, memory", .unit = "B", .per = "bills"};
  series disk{.cost = "ledger, disk", .unit = "B", .per = "bills"};
  constexpr std::size_t batch = 100;
  for (std::size_t const count : {2'000U, 4'000U, 8'000U, 16'000U, 32'000U}) {
    auto const before = heap_bytes();
    billing::ledger ledger({});
    std::size_t written = 0;
    std::chrono::nanoseconds spent{};
    for (std::size_t first = 0; first < count; first += batch) {
      billing::bill_batch message;
      for (std::size_t i = 0; i < batch; ++i) {
        message.bills.push_back(bill(first + i));
      }
      std::vector<billing::outgoing> receipts;
      auto const start = processor_time();
      auto const write = ledger.receive({"instance-0"}, message, receipts);
      CATKINLANDING_VERIFY(write.has_value());
      written += storage::frame_record(storage::encode_ledger_write(write->bills)).size();
      ledger.complete_write(write->id, receipts);
      spent += processor_time() - start;
    }
    auto const x = static_cast<double>(count);
    time.points.push_back({x, microseconds(spent)});
    memory.points.push_back({x, static_cast<double>(heap_bytes() - before)});
    disk.points.push_back({x, static_cast<double>(written)});
  }
  return {time, memory, disk};
}

/// CPU time of one complete request in an entry instance, for increasing numbers of engines that
/// serve the version.
std::vector<series> requests(std::uint64_t seed) {
  series time{.cost = "entry, one request", .unit = "us", .per = "engines of the version"};
  for (std::size_t const engines : {16U, 64U, 256U, 1024U}) {
    cluster cluster({.zones = 1, .instances = 1, .voters = 1, .seed = seed});
    cluster.found();
    cluster.apply(initial_change(10, 4));
    cluster.run_for(std::chrono::seconds(1));
    for (std::size_t i = 0; i < engines; ++i) {
      cluster.announce(0, announcement(i, 1));
    }
    constexpr std::uint64_t count = 2000;
    auto const body = std::make_shared<std::string const>(R"({"model":"model"})");
    auto const start = processor_time();
    for (std::uint64_t i = 1; i <= count; ++i) {
      cluster.run_request(0, {.number = i,
                              .customer_key = "key-3",
                              .target = requests::completion_target{{"model"}},
                              .body = body});
    }
    time.points.push_back(
        {static_cast<double>(engines), microseconds(processor_time() - start) / count});
  }
  return {time};
}

} // namespace

std::vector<measurement> const& measurements() {
  static std::vector<measurement> const all{
      {"at rest", idle},
      {"at rest with relays", idle_with_relays},
      {"limits", limited_customers},
      {"changes of the catalogue", catalogue_changes},
      {"claims", claims},
      {"size of the catalogue", catalogue_size},
      {"announcements", announcements},
      {"bills", bills},
      {"requests", requests},
  };
  return all;
}

} // namespace catkinlanding::capacity
