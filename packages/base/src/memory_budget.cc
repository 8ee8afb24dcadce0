#include "gypsumtrack/base/memory_budget.h"

#include <cassert>
#include <utility>

namespace gypsumtrack::base {

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> charged_budget)
    : shared(std::move(charged_budget)) {
  assert(this->shared != nullptr);
}

MemoryCharge::~MemoryCharge() { this->Release(); }

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : shared(std::move(other.shared)), own(std::exchange(other.own, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this == &other) return *this;
  this->Release();
  this->shared = std::move(other.shared);
  this->own = std::exchange(other.own, 0);
  return *this;
}

void MemoryCharge::Add(std::uint64_t bytes) {
  this->own += bytes;
  this->shared->held += bytes;
}

void MemoryCharge::Remove(std::uint64_t bytes) {
  assert(bytes <= this->own);
  this->own -= bytes;
  this->shared->held -= bytes;
}

void MemoryCharge::Release() {
  if (this->own > 0) this->Remove(this->own);
}

}  // namespace gypsumtrack::base
