#include <libraries/proxy/time_histogram.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::proxy {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

std::size_t bucket_of(base::duration duration) {
  auto const length = std::chrono::duration_cast<milliseconds>(duration).count();
  if (length <= 1.0) {
    return 0;
  }
  auto const bucket = std::floor(std::log2(length) * time_histogram::buckets_per_doubling) + 1.0;
  return static_cast<std::size_t>(
      std::min(bucket, static_cast<double>(time_histogram::bucket_count - 1)));
}

base::duration upper_bound_of(std::size_t bucket) {
  auto const exponent =
      static_cast<double>(bucket) / static_cast<double>(time_histogram::buckets_per_doubling);
  return std::chrono::duration_cast<base::duration>(milliseconds(std::exp2(exponent)));
}

} // namespace

void time_histogram::add(base::duration duration) {
  ++m_counts.at(bucket_of(duration));
}

time_histogram& time_histogram::operator+=(time_histogram const& other) {
  std::ranges::transform(m_counts, other.m_counts, m_counts.begin(), std::plus{});
  return *this;
}

time_histogram& time_histogram::operator-=(time_histogram const& earlier) {
  std::ranges::transform(m_counts, earlier.m_counts, m_counts.begin(),
                         [](auto now, auto before) { return now - std::min(now, before); });
  return *this;
}

std::uint64_t time_histogram::count_from(std::size_t bucket) const {
  std::uint64_t sum = 0;
  for (auto i = bucket; i < bucket_count; ++i) {
    sum += m_counts.at(i);
  }
  return sum;
}

base::duration time_histogram::median() const {
  auto const half = (count() + 1) / 2;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < bucket_count; ++i) {
    sum += m_counts.at(i);
    if (sum >= half && sum > 0) {
      return upper_bound_of(i);
    }
  }
  return base::duration::zero();
}

} // namespace catkinlanding::proxy
