#ifndef GYPSUMTRACK_GATEWAY_RCU_CELL_H_
#define GYPSUMTRACK_GATEWAY_RCU_CELL_H_

#include <memory>
#include <utility>

/// Shared snapshots with lock-free reads, by read-copy-update (RCU).
namespace gypsumtrack::gateway {

namespace detail {

/// An RCU read-side critical section. Registers the calling thread with the RCU
/// library on first use.
class RcuReadGuard {
 public:
  RcuReadGuard();
  ~RcuReadGuard();
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

/// Stores `value` in the slot and returns the previous pointer.
void* RcuExchange(void** slot, void* value);
/// Loads the pointer. Precondition: the thread holds an RcuReadGuard.
void* RcuDereference(void* const* slot);
/// Waits for a grace period: no reader uses a pointer replaced before the call.
/// Precondition: the thread holds no RcuReadGuard.
void RcuSynchronize();

}  // namespace detail

/// Holds an immutable T that many threads read and any thread may replace.
/// Readers take no lock.
///
///     RcuCell<AccessSnapshot> access(std::make_shared<AccessSnapshot>());
///     auto snapshot = access.Get();
template <typename T>
class RcuCell {
 public:
  using Pointer = std::shared_ptr<const T>;

  /// Precondition: `initial` isn't null.
  explicit RcuCell(Pointer initial) : slot(new Pointer(std::move(initial))) {}
  ~RcuCell() { delete static_cast<Pointer*>(this->slot); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// Returns the current snapshot. Thread-safe; wait-free except for the
  /// reference count.
  Pointer Get() const {
    const detail::RcuReadGuard guard;
    return *static_cast<const Pointer*>(detail::RcuDereference(&this->slot));
  }

  /// Replaces the snapshot. Blocks until every Get that may read the old
  /// pointer has returned. Precondition: `next` isn't null. Thread-safe.
  void Set(Pointer next) {
    void* old = detail::RcuExchange(&this->slot, new Pointer(std::move(next)));
    detail::RcuSynchronize();
    delete static_cast<Pointer*>(old);
  }

 private:
  void* slot;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_RCU_CELL_H_
