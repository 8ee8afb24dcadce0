#ifndef GYPSUMTRACK_GATEWAY_RCU_CELL_H_
#define GYPSUMTRACK_GATEWAY_RCU_CELL_H_

#include <memory>
#include <utility>

/// A snapshot that many threads read and one replaces, by read-copy-update.
namespace gypsumtrack::gateway {

namespace detail {

/// Registers the calling thread with the RCU library on first use.
class RcuReadGuard {
 public:
  RcuReadGuard();
  ~RcuReadGuard();
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

void* RcuExchange(void** slot, void* value);
void* RcuDereference(void* const* slot);
/// Returns once no reader can still see a pointer exchanged before.
void RcuSynchronize();

}  // namespace detail

/// Holds an immutable T. Readers take no lock.
///
///     RcuCell<AccessSnapshot> access(std::make_shared<AccessSnapshot>());
///     auto snapshot = access.Get();
template <typename T>
class RcuCell {
 public:
  using Pointer = std::shared_ptr<const T>;

  /// Precondition: `first` isn't null.
  explicit RcuCell(Pointer first) : slot(new Pointer(std::move(first))) {}
  ~RcuCell() { delete static_cast<Pointer*>(this->slot); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// Thread-safe, wait-free but for the reference count.
  Pointer Get() const {
    const detail::RcuReadGuard guard;
    return *static_cast<const Pointer*>(detail::RcuDereference(&this->slot));
  }

  /// Precondition: `next` isn't null. Thread-safe; waits for readers that hold
  /// the old pointer.
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
