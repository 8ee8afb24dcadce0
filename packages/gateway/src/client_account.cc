#include "gypsumtrack/gateway/client_account.h"

#include <utility>

#include "gypsumtrack/base/event_log.h"

namespace gypsumtrack::gateway {
namespace {

/// Connections that one request for room may cut off.
constexpr int kMaxCutOffsAtOnce = 4;

}  // namespace

ClientAccount::ClientAccount(policy::ClientMemoryOptions options)
    : memory(options) {}

std::uint64_t ClientAccount::held_bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->memory.held_bytes();
}

std::uint64_t ClientAccount::limit_bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->memory.limit_bytes();
}

std::uint64_t ClientAccount::cut_off_count() const {
  const std::lock_guard lock(this->mutex);
  return this->cut_off_total;
}

void ClientAccount::CutOffStalled(base::Instant now) {
  int count = 0;
  while (count < kMaxCutOffsAtOnce) {
    const auto id = this->memory.TakeStalled(now);
    if (!id) break;
    this->cut_offs[*id]();
    ++count;
  }
  if (count == 0) return;
  this->cut_off_total += static_cast<std::uint64_t>(count);
  base::LogEvent("clients_cut_off", {{"count", count},
                                     {"held", this->memory.held_bytes()},
                                     {"limit", this->memory.limit_bytes()}});
}

ClientAccount::Holder::Holder(std::shared_ptr<ClientAccount> shared,
                              std::function<void()> cut_off)
    : account(std::move(shared)) {
  if (!this->account) return;
  const std::lock_guard lock(this->account->mutex);
  this->id = this->account->memory.Add();
  this->account->cut_offs[this->id] = std::move(cut_off);
}

ClientAccount::Holder::~Holder() {
  if (!this->account) return;
  const std::lock_guard lock(this->account->mutex);
  this->account->memory.Remove(this->id);
  this->account->cut_offs.erase(this->id);
}

bool ClientAccount::Holder::TryGrow(std::uint64_t bytes, base::Instant now) {
  if (!this->account) return true;
  const std::lock_guard lock(this->account->mutex);
  if (this->account->memory.TryGrow(this->id, bytes)) return true;
  this->account->CutOffStalled(now);
  return false;
}

void ClientAccount::Holder::Grow(std::uint64_t bytes, base::Instant now) {
  if (!this->account) return;
  const std::lock_guard lock(this->account->mutex);
  this->account->memory.Grow(this->id, bytes);
  if (this->account->memory.is_full()) this->account->CutOffStalled(now);
}

void ClientAccount::Holder::Release() {
  if (!this->account) return;
  const std::lock_guard lock(this->account->mutex);
  this->account->memory.Release(this->id);
}

void ClientAccount::Holder::OnClientAwaited(base::Instant now) {
  if (!this->account) return;
  const std::lock_guard lock(this->account->mutex);
  this->account->memory.OnClientAwaited(this->id, now);
}

void ClientAccount::Holder::OnClientDone() {
  if (!this->account) return;
  const std::lock_guard lock(this->account->mutex);
  this->account->memory.OnClientDone(this->id);
}

}  // namespace gypsumtrack::gateway
