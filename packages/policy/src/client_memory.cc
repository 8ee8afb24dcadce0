#include "gypsumtrack/policy/client_memory.h"

#include <algorithm>
#include <chrono>

namespace gypsumtrack::policy {
namespace {

/// Memory of a parsed value beside its text.
constexpr std::uint64_t kParsedValueBytes = 64;

}  // namespace

std::uint64_t EstimateParsedBytes(std::string_view json) {
  const auto count = std::count_if(json.begin(), json.end(), [](char c) {
    return c == ',' || c == ':' || c == '[' || c == '{';
  });
  return json.size() + kParsedValueBytes * static_cast<std::uint64_t>(count);
}

ClientMemory::ClientMemory(ClientMemoryOptions memory_options)
    : options(memory_options) {}

ClientMemory::HolderId ClientMemory::Add() {
  this->holders.try_emplace(++this->last_id);
  return this->last_id;
}

void ClientMemory::Remove(HolderId id) {
  this->Release(id);
  this->holders.erase(id);
}

bool ClientMemory::TryGrow(HolderId id, std::uint64_t bytes) {
  auto& holder = this->holders[id];
  const auto limit = static_cast<double>(this->options.limit_bytes);
  const bool is_small = holder.bytes + bytes <= this->options.small_bytes;
  const auto available =
      is_small ? limit : limit * this->options.large_fraction;
  if (static_cast<double>(this->held + bytes) > available) return false;
  this->Grow(id, bytes);
  return true;
}

void ClientMemory::Grow(HolderId id, std::uint64_t bytes) {
  this->holders[id].bytes += bytes;
  this->held += bytes;
}

void ClientMemory::Release(HolderId id) {
  auto& holder = this->holders[id];
  this->held -= holder.bytes;
  holder.bytes = 0;
}

void ClientMemory::OnClientAwaited(HolderId id, base::Instant now) {
  this->holders[id].awaited_since = now;
}

void ClientMemory::OnClientDone(HolderId id) {
  this->holders[id].awaited_since.reset();
}

std::optional<ClientMemory::HolderId> ClientMemory::TakeStalled(
    base::Instant now) {
  std::optional<HolderId> worst;
  double worst_cost = 0;
  for (const auto& [id, holder] : this->holders) {
    if (holder.cut_off || holder.bytes == 0 || !holder.awaited_since) continue;
    const auto stalled_for = now - *holder.awaited_since;
    if (stalled_for < this->options.stall_time) continue;
    const auto cost = static_cast<double>(holder.bytes) *
                      std::chrono::duration<double>(stalled_for).count();
    if (cost <= worst_cost) continue;
    worst_cost = cost;
    worst = id;
  }
  if (worst) this->holders[*worst].cut_off = true;
  return worst;
}

}  // namespace gypsumtrack::policy
