#include <libraries/experiment/baselines.h>

#include <algorithm>

namespace catkinlanding::experiment {

namespace {

using routing::choice;
using routing::choice_error;
using record = endpoints::directory::record;

/// The versions that the query may use, ordered by ascending price.
std::vector<catalogue::version const*>
allowed_versions(routing::version_query const& query,
                 routing::routing_context const& routing_context) {
  std::vector<catalogue::version const*> versions;
  for (auto const& [key, version] : routing_context.document.versions()) {
    if (key.first == query.model && (!query.version || *query.version == key.second) &&
        catalogue::is_allowed(*query.customer, key.first, key.second) &&
        routing::can_receive_work(version, routing_context.has_lease,
                                  routing_context.without_lease)) {
      versions.push_back(&version);
    }
  }
  std::ranges::sort(versions, {}, &catalogue::version::price_per_thousand_tokens);
  return versions;
}

/// Finds the allowed versions and available endpoints; subclasses pick one of each.
class baseline_policy : public routing::policy {
public:
  [[nodiscard]] tl::expected<choice, choice_error>
  choose(routing::version_query const& query, routing::routing_context const& routing_context,
         base::monotonic_time now) override {
    auto const versions = allowed_versions(query, routing_context);
    if (versions.empty()) {
      return tl::unexpected(choice_error::no_version);
    }
    auto const* version = versions[pick_version(versions.size(), query)];
    auto serving = routing_context.directory.serving({version->model, version->id}, now);
    std::erase_if(serving,
                  [&](auto const* r) { return query.excluded.contains(r->announcement.endpoint); });
    if (serving.empty()) {
      return tl::unexpected(choice_error::no_endpoint);
    }
    return choice{.model = version->model,
                  .version = version->id,
                  .endpoint = pick_endpoint(serving)->announcement.endpoint};
  }

  [[nodiscard]] tl::expected<base::endpoint_id, choice_error> choose_service_endpoint(
      base::service_id const& service, std::set<base::endpoint_id> const& /*excluded*/,
      routing::routing_context const& routing_context, base::monotonic_time now) override {
    auto const serving = routing_context.directory.serving(service, now);
    if (serving.empty()) {
      return tl::unexpected(choice_error::no_endpoint);
    }
    return pick_endpoint(serving)->announcement.endpoint;
  }

protected:
  [[nodiscard]] virtual std::size_t pick_version(std::size_t count,
                                                 routing::version_query const& query) = 0;
  [[nodiscard]] virtual record const* pick_endpoint(std::vector<record const*> const& serving) = 0;
};

class random_policy final : public baseline_policy {
public:
  explicit random_policy(std::uint64_t seed) : m_random(seed) {}

protected:
  [[nodiscard]] std::size_t pick_version(std::size_t count,
                                         routing::version_query const& /*query*/) override {
    return m_random() % count;
  }
  [[nodiscard]] record const* pick_endpoint(std::vector<record const*> const& serving) override {
    return serving[m_random() % serving.size()];
  }

private:
  base::random_generator m_random;
};

class round_robin_policy final : public baseline_policy {
protected:
  [[nodiscard]] std::size_t pick_version(std::size_t count,
                                         routing::version_query const& /*query*/) override {
    return m_next_version++ % count;
  }
  [[nodiscard]] record const* pick_endpoint(std::vector<record const*> const& serving) override {
    return serving[m_next_endpoint++ % serving.size()];
  }

private:
  std::size_t m_next_version = 0;
  std::size_t m_next_endpoint = 0;
};

class least_outstanding_policy : public baseline_policy {
public:
  explicit least_outstanding_policy(std::uint64_t seed) : m_random(seed) {}

protected:
  [[nodiscard]] std::size_t pick_version(std::size_t count,
                                         routing::version_query const& /*query*/) override {
    return count - 1;
  }
  [[nodiscard]] record const* pick_endpoint(std::vector<record const*> const& serving) override {
    auto shuffled = serving;
    std::ranges::shuffle(shuffled, m_random);
    return *std::ranges::min_element(shuffled, {}, &record::outstanding);
  }

private:
  base::random_generator m_random;
};

class static_cascade_policy final : public least_outstanding_policy {
public:
  using least_outstanding_policy::least_outstanding_policy;

protected:
  [[nodiscard]] std::size_t pick_version(std::size_t count,
                                         routing::version_query const& query) override {
    return query.quality_target >= escalated_quality_target ? count - 1 : 0;
  }
};

} // namespace

std::unique_ptr<routing::policy> make_random_policy(std::uint64_t seed) {
  return std::make_unique<random_policy>(seed);
}

std::unique_ptr<routing::policy> make_round_robin_policy() {
  return std::make_unique<round_robin_policy>();
}

std::unique_ptr<routing::policy> make_least_outstanding_policy(std::uint64_t seed) {
  return std::make_unique<least_outstanding_policy>(seed);
}

std::unique_ptr<routing::policy> make_static_cascade_policy(std::uint64_t seed) {
  return std::make_unique<static_cascade_policy>(seed);
}

} // namespace catkinlanding::experiment
