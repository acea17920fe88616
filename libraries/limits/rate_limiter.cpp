#include <libraries/limits/rate_limiter.h>

#include <algorithm>
#include <array>

namespace catkinlanding::limits {

namespace {

constexpr double min_rate = 0.001;
constexpr std::array kinds{limit_kind::requests, limit_kind::tokens};

std::uint64_t limit_of(catalogue::limits const& limits, limit_kind kind) {
  auto const value =
      kind == limit_kind::requests ? limits.requests_per_second : limits.tokens_per_second;
  return value * units_of(kind);
}

double amount_of(charge const& charge, limit_kind kind) {
  return kind == limit_kind::requests ? 1.0 : static_cast<double>(charge.tokens);
}

/// Bucket level at which a request may start: one request, or a non-negative level of tokens.
double min_level(limit_kind kind) {
  return kind == limit_kind::requests ? 1.0 : 0.0;
}

std::array<share_key, 2> keys_of(charge const& charge, limit_kind kind) {
  return {{{.customer = charge.customer, .request_class = {}, .kind = kind},
           {.customer = {}, .request_class = charge.request_class, .kind = kind}}};
}

} // namespace

std::optional<base::duration> rate_limiter::refuse(charge const& charge,
                                                   catalogue::document const& document,
                                                   base::monotonic_time now) {
  std::vector<std::pair<bucket*, double>> taken;
  for (auto const& applicable_limit : applicable_limits_of(charge, document)) {
    m_demand[applicable_limit.key] +=
        static_cast<std::uint64_t>(applicable_limit.amount) * units_of(applicable_limit.key.kind);
    auto& bucket = bucket_of(applicable_limit.key, applicable_limit.limit, now);
    double const required_level = min_level(applicable_limit.key.kind);
    if (bucket.level < required_level) {
      auto const wait =
          std::chrono::duration<double>((required_level - bucket.level) / bucket.rate);
      return std::chrono::duration_cast<base::duration>(wait);
    }
    taken.emplace_back(&bucket, applicable_limit.amount);
  }
  for (auto const& [bucket, amount] : taken) {
    bucket->level -= amount;
  }
  return std::nullopt;
}

void rate_limiter::correct(charge_correction const& correction, base::monotonic_time now) {
  for (auto const& key : keys_of(correction.charge, limit_kind::tokens)) {
    auto const it = m_buckets.find(key);
    if (it == m_buckets.end()) {
      continue;
    }
    auto& bucket = it->second;
    fill(key, bucket, now);
    bucket.level += static_cast<double>(correction.charge.tokens);
    bucket.level -= static_cast<double>(correction.tokens);
  }
}

std::optional<share_request> rate_limiter::tick(base::monotonic_time now) {
  auto request = m_lessee.tick(m_demand, now);
  if (request) {
    fill_all(now);
    m_demand.clear();
  }
  return request;
}

void rate_limiter::receive(share_grant const& grant, base::monotonic_time now) {
  // Up to now the buckets fill at the rate of the former grant, from now on at that of this one.
  fill_all(now);
  m_lessee.receive(grant, now);
  fill_all(now);
}

std::vector<rate_limiter::applicable_limit>
rate_limiter::applicable_limits_of(charge const& charge, catalogue::document const& document) {
  auto const* customer = document.find_customer(charge.customer);
  auto const* request_class = document.find_class(charge.request_class);
  std::vector<applicable_limit> applicable;
  for (auto const kind : kinds) {
    auto const keys = keys_of(charge, kind);
    double const amount = amount_of(charge, kind);
    auto const add = [&](share_key const& key, auto const* entry) {
      auto const limit = entry == nullptr ? 0 : limit_of(entry->stewardship.limits, kind);
      if (limit != 0 && amount > 0.0) {
        applicable.push_back({.key = key, .limit = limit, .amount = amount});
      }
    };
    add(keys[0], customer);
    add(keys[1], request_class);
  }
  return applicable;
}

rate_limiter::bucket& rate_limiter::bucket_of(share_key const& key, std::uint64_t limit,
                                              base::monotonic_time now) {
  if (m_buckets.size() >= m_options.max_buckets && !m_buckets.contains(key)) {
    m_buckets.erase(m_buckets.begin());
  }
  auto [it, is_new] = m_buckets.try_emplace(key);
  auto& bucket = it->second;
  bucket.limit = limit;
  if (is_new) {
    bucket.rate = rate_of(key, limit, now);
    // Others may have used the leased share until now, so only the floor counts.
    auto const floor =
        share_allocator::floor_of(limit, m_options.floor_permille, m_options.instances);
    bucket.level =
        capacity(key, static_cast<double>(floor) / static_cast<double>(units_of(key.kind)));
    bucket.at = now;
  }
  fill(key, bucket, now);
  return bucket;
}

void rate_limiter::fill(share_key const& key, bucket& bucket, base::monotonic_time now) const {
  double const rate = rate_of(key, bucket.limit, now);
  double const age = std::chrono::duration<double>(now - bucket.at).count();
  bucket.level = std::min(capacity(key, rate), bucket.level + age * std::min(bucket.rate, rate));
  bucket.rate = rate;
  bucket.at = now;
}

void rate_limiter::fill_all(base::monotonic_time now) {
  for (auto& [key, bucket] : m_buckets) {
    fill(key, bucket, now);
  }
}

double rate_limiter::capacity(share_key const& key, double rate) const {
  double const held = rate * std::chrono::duration<double>(m_options.burst).count();
  return key.kind == limit_kind::requests ? std::max(1.0, held) : held;
}

double rate_limiter::rate_of(share_key const& key, std::uint64_t limit,
                             base::monotonic_time now) const {
  auto const floor =
      share_allocator::floor_of(limit, m_options.floor_permille, m_options.instances);
  // The limit may have been lowered since the share was leased.
  auto const share = std::min(m_lessee.share_of(key, now), limit - floor);
  auto const units = static_cast<double>(units_of(key.kind));
  return std::max(min_rate, static_cast<double>(floor + share) / units);
}

shares limits_in(catalogue::document const& document) {
  shares all;
  auto const add = [&](share_key key, catalogue::limits const& limits) {
    for (auto const kind : kinds) {
      key.kind = kind;
      if (auto const limit = limit_of(limits, kind); limit != 0) {
        all[key] = limit;
      }
    }
  };
  for (auto const& [id, customer] : document.customers()) {
    add({.customer = id, .request_class = {}}, customer.stewardship.limits);
  }
  for (auto const& [id, request_class] : document.classes()) {
    add({.customer = {}, .request_class = id}, request_class.stewardship.limits);
  }
  return all;
}

} // namespace catkinlanding::limits
