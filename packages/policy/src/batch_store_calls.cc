#include "gypsumtrack/policy/batch_store_calls.h"

#include <fmt/format.h>

#include <algorithm>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

constexpr base::Duration kInitialRetryDelay = std::chrono::milliseconds(250);
constexpr base::Duration kMaxRetryDelay = std::chrono::seconds(8);
constexpr std::uint32_t kMaxDoublings = 5;

bool IsRetryable(const std::error_code& error) {
  return error == base::Errc::kUnavailable || error == base::Errc::kUnknown ||
         error == base::Errc::kThrottled || error == base::Errc::kTimeout;
}

/// Exponential backoff with jitter: between half of the delay and all of it.
base::Duration RetryDelay(std::uint32_t attempts, std::uint64_t seed) {
  const auto doublings = std::min(attempts, kMaxDoublings);
  const auto max_delay =
      std::min(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
  const auto min_delay = max_delay.count() / 2;
  const auto jitter =
      static_cast<std::int64_t>(seed % static_cast<std::uint64_t>(min_delay));
  return base::Duration(min_delay + jitter);
}

void SetId(BatchAction& action, CallId id) {
  std::visit(
      [id](auto& call) {
        if constexpr (requires { call.id; }) call.id = id;
      },
      action);
}

}  // namespace

StoreCalls::StoreCalls(const base::VmId& vm)
    : operation_prefix(fmt::format("{}/{}/", vm.name, vm.incarnation)) {}

std::string StoreCalls::NextOperationId() {
  ++this->last_operation;
  return fmt::format("batch/{}{}", this->operation_prefix,
                     this->last_operation);
}

void StoreCalls::Commit(base::Instant now, base::TableCommit commit,
                        CallMode mode, StatusReply reply) {
  Call call;
  call.action = CommitCall{0, std::move(commit)};
  call.mode = mode;
  call.on_status = std::move(reply);
  this->Send(now, std::move(call));
}

void StoreCalls::Scan(base::Instant now, base::TableScan scan, CallMode mode,
                      ScanReply reply) {
  Call call;
  call.action = ScanCall{0, std::move(scan)};
  call.mode = mode;
  call.on_scan = std::move(reply);
  this->Send(now, std::move(call));
}

void StoreCalls::Put(base::Instant now, std::string name, std::string bytes,
                     StatusReply reply) {
  Call call;
  call.action = PutCall{0, std::move(name), std::move(bytes)};
  call.on_status = std::move(reply);
  this->Send(now, std::move(call));
}

void StoreCalls::Get(base::Instant now, std::string name, ObjectReply reply) {
  Call call;
  call.action = GetCall{0, std::move(name)};
  call.on_object = std::move(reply);
  this->Send(now, std::move(call));
}

void StoreCalls::Remove(base::Instant now, std::string name,
                        StatusReply reply) {
  Call call;
  call.action = RemoveCall{0, std::move(name)};
  call.on_status = std::move(reply);
  this->Send(now, std::move(call));
}

void StoreCalls::SendPeerQuery(base::Instant now,
                               std::vector<std::string> open_keys,
                               StatusReply reply) {
  Call call;
  call.action = QueryPeers{0, std::move(open_keys)};
  call.mode = CallMode::kOnce;
  call.on_status = std::move(reply);
  this->Send(now, std::move(call));
}

void StoreCalls::Send(base::Instant now, Call call) {
  const CallId id = ++this->last_id;
  SetId(call.action, id);
  if (this->down() && call.mode == CallMode::kUntilSettled) {
    call.retry_at =
        now + RetryDelay(0, base::Hash64(this->operation_prefix, id));
  } else {
    this->actions.push_back(call.action);
  }
  this->calls.emplace(id, std::move(call));
}

std::optional<StoreCalls::Call> StoreCalls::Settle(
    base::Instant now, CallId id, const std::error_code* error) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return std::nullopt;
  Call& call = found->second;
  const bool to_store = !std::holds_alternative<QueryPeers>(call.action);
  const bool retryable = error != nullptr && IsRetryable(*error);
  if (to_store && !retryable) this->unavailable_since.reset();
  if (to_store && retryable && !this->down()) this->unavailable_since = now;
  if (retryable && call.mode == CallMode::kUntilSettled) {
    const auto seed = base::Hash64(this->operation_prefix, id + call.attempts);
    call.retry_at = now + RetryDelay(call.attempts++, seed);
    return std::nullopt;
  }
  Call settled = std::move(call);
  this->calls.erase(found);
  return settled;
}

void StoreCalls::OnStatus(base::Instant now, CallId id,
                          const base::Status& status) {
  const auto* error = status.ok() ? nullptr : &status.error().code;
  const auto call = this->Settle(now, id, error);
  if (call && call->on_status) call->on_status(now, status);
}

void StoreCalls::OnScan(base::Instant now, CallId id,
                        base::Outcome<base::ScanReply> reply) {
  const auto* error = reply.ok() ? nullptr : &reply.error().code;
  const auto call = this->Settle(now, id, error);
  if (call && call->on_scan) call->on_scan(now, std::move(reply));
}

void StoreCalls::OnObject(base::Instant now, CallId id,
                          base::Outcome<std::string> reply) {
  const auto* error = reply.ok() ? nullptr : &reply.error().code;
  const auto call = this->Settle(now, id, error);
  if (call && call->on_object) call->on_object(now, std::move(reply));
}

void StoreCalls::Tick(base::Instant now) {
  for (auto& [id, call] : this->calls) {
    if (call.retry_at > now) continue;
    call.retry_at = base::kNever;
    this->actions.push_back(call.action);
    // While the store is down, each tick retries only one call, as a probe.
    if (this->down()) return;
  }
}

std::vector<BatchAction> StoreCalls::TakeActions() {
  return std::exchange(this->actions, {});
}

}  // namespace gypsumtrack::policy
