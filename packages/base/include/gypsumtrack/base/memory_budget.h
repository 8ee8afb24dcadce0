#ifndef GYPSUMTRACK_BASE_MEMORY_BUDGET_H_
#define GYPSUMTRACK_BASE_MEMORY_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <limits>
#include <memory>

/// A limit on the memory that many holders use together. It refuses nothing by
/// itself: a holder that finds the budget exceeded decides what it gives up.
namespace gypsumtrack::base {

/// Counts the bytes that all holders hold. All methods are thread-safe.
class MemoryBudget {
 public:
  static constexpr std::uint64_t kNoLimit =
      std::numeric_limits<std::uint64_t>::max();

  explicit MemoryBudget(std::uint64_t limit_bytes = kNoLimit)
      : limit(limit_bytes) {}

  // Queries.

  /// Whether the holders hold more than the limit.
  bool is_exceeded() const {
    return this->held_bytes() > this->limit;
  }                                                          // NOLINT
  std::uint64_t held_bytes() const { return this->held; }    // NOLINT
  std::uint64_t limit_bytes() const { return this->limit; }  // NOLINT

 private:
  friend class MemoryCharge;

  const std::uint64_t limit;
  std::atomic<std::uint64_t> held = 0;
};

/// The bytes that one holder holds of a budget, given back when it is
/// destroyed. Movable. Not thread-safe; charges of one budget may be used on
/// different threads.
class MemoryCharge {
 public:
  /// Precondition: `charged_budget` isn't null.
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> charged_budget);
  ~MemoryCharge();

  /// `other` holds nothing afterwards, and may only be assigned or destroyed.
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Commands.

  void Add(std::uint64_t bytes);
  /// Precondition: the charge holds at least as many bytes.
  void Remove(std::uint64_t bytes);

  // Queries.

  /// Bytes that this charge holds.
  std::uint64_t bytes() const { return this->own; }             // NOLINT
  const MemoryBudget& budget() const { return *this->shared; }  // NOLINT

 private:
  void Release();

  std::shared_ptr<MemoryBudget> shared;
  std::uint64_t own = 0;
};

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_MEMORY_BUDGET_H_
