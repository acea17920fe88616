#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace catkinlanding::base {

/// Divides the memory for buffers of one kind among those who hold them. Each may have a little,
/// and beyond that no more than a part of what nobody holds. So together they stay below the limit
/// and the little that each may have, and those who need little get it whatever the others hold.
class memory_budget {
public:
  struct options {
    std::size_t max_bytes = 16UL * 1024 * 1024;
    /// A share of this size is always allowed.
    std::size_t min_share_bytes = 4UL * 1024;
    /// A larger share may have as much as the free memory divided by this; all of it with 0.
    std::size_t free_memory_divisor = 8;
  };

  explicit memory_budget(options options)
      : m_usage(std::make_shared<usage>(usage{.options = options})) {}

  /// Bytes that are held by all shares.
  [[nodiscard]] std::size_t used_bytes() const { return m_usage->used_bytes; }
  /// How often a share was not allowed to grow.
  [[nodiscard]] std::uint64_t refusals() const { return m_usage->refusals; }

private:
  friend class memory_share;

  /// Outlives the budget, as connections may be closed after it at the end of a process.
  struct usage {
    memory_budget::options options;
    std::size_t used_bytes = 0;
    std::uint64_t refusals = 0;

    [[nodiscard]] bool try_resize(std::size_t held, std::size_t wanted);
  };

  std::shared_ptr<usage> m_usage;
};

/// What one holder has of a budget. It goes back to the budget with the holder.
class memory_share {
public:
  explicit memory_share(memory_budget const& budget) : m_usage(budget.m_usage) {}
  memory_share(memory_share&& other) noexcept;
  memory_share& operator=(memory_share&& other) noexcept;
  memory_share(memory_share const&) = delete;
  memory_share& operator=(memory_share const&) = delete;
  ~memory_share() { release(); }

  /// Changes the size. Returns false, and leaves it as it is, if the budget doesn't allow the
  /// growth; a smaller size is always allowed.
  [[nodiscard]] bool try_resize(std::size_t bytes);
  void release();
  [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
  std::shared_ptr<memory_budget::usage> m_usage;
  std::size_t m_bytes = 0;
};

} // namespace catkinlanding::base
