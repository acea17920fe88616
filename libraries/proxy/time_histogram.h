#pragma once

#include <libraries/base/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace catkinlanding::proxy {

/// Counts durations in buckets whose bounds grow by the square root of two, from 1 ms to about 46
/// s. Shorter and longer durations count in the first and the last bucket.
class time_histogram {
public:
  static constexpr std::size_t bucket_count = 32;
  /// Number of buckets by which a duration moves when it doubles.
  static constexpr std::size_t buckets_per_doubling = 2;

  void add(base::duration duration);
  time_histogram& operator+=(time_histogram const& other);
  /// Removes the counts of an earlier state of this histogram.
  time_histogram& operator-=(time_histogram const& earlier);

  [[nodiscard]] std::uint64_t count() const { return count_from(0); }
  /// The number of durations in this bucket and those after it.
  [[nodiscard]] std::uint64_t count_from(std::size_t bucket) const;
  /// Upper bound of the bucket that holds the median; zero if nothing was counted.
  [[nodiscard]] base::duration median() const;

  bool operator==(time_histogram const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    for (auto& count : m_counts) {
      archive(count);
    }
  }

private:
  std::array<std::uint32_t, bucket_count> m_counts{};
};

} // namespace catkinlanding::proxy
