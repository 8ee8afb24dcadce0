#include "gypsumtrack/policy/batch_chunk.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Items are ordered by this many leading bytes, so that items with a common
/// prefix run one after another.
constexpr std::size_t kPrefixBytes = 256;

base::Error MalformedResults() {
  return {base::Errc::kInvalid, "malformed result object"};
}

std::optional<std::uint64_t> ConsumeNumber(std::string_view& remaining,
                                           char end) {
  const auto stop = remaining.find(end);
  if (stop == std::string_view::npos) return std::nullopt;
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(remaining.data(), remaining.data() + stop, number);
  if (parsed.ec != std::errc()) return std::nullopt;
  remaining.remove_prefix(stop + 1);
  return number;
}

std::optional<std::string> ConsumeBytes(std::string_view& remaining,
                                        std::uint64_t count) {
  if (remaining.size() < count) return std::nullopt;
  std::string bytes(remaining.substr(0, count));
  remaining.remove_prefix(count);
  return bytes;
}

std::vector<std::uint32_t> RunOrder(const std::vector<std::string>& lines) {
  std::vector<std::uint32_t> order(lines.size());
  std::iota(order.begin(), order.end(), 0U);
  const auto prefix = [&lines](std::uint32_t item) {
    const std::string_view line = lines[item];
    return line.substr(0, kPrefixBytes);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&prefix](std::uint32_t a, std::uint32_t b) {
                     return prefix(a) < prefix(b);
                   });
  return order;
}

}  // namespace

std::string EncodeResults(const ItemResults& results) {
  std::string bytes;
  for (const auto& [item, result] : results) {
    bytes += fmt::format("{} {} {} {}\n", item, static_cast<int>(result.state),
                         result.body.size(), result.reason.size());
    bytes += result.body;
    bytes += result.reason;
  }
  return bytes;
}

base::Outcome<ItemResults> DecodeResults(std::string_view bytes) {
  ItemResults results;
  while (!bytes.empty()) {
    const auto item = ConsumeNumber(bytes, ' ');
    const auto state = ConsumeNumber(bytes, ' ');
    const auto body_size = ConsumeNumber(bytes, ' ');
    const auto reason_size = ConsumeNumber(bytes, '\n');
    if (!item || !state || !body_size || !reason_size)
      return MalformedResults();
    auto body = ConsumeBytes(bytes, *body_size);
    auto reason = ConsumeBytes(bytes, *reason_size);
    if (!body || !reason) return MalformedResults();
    results[static_cast<std::uint32_t>(*item)] = {
        static_cast<ItemState>(*state), std::move(*body), std::move(*reason)};
  }
  return results;
}

std::vector<std::string> SplitLines(std::string_view bytes) {
  std::vector<std::string> lines;
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    lines.emplace_back(bytes.substr(0, end));
    if (end == std::string_view::npos) break;
    bytes.remove_prefix(end + 1);
  }
  return lines;
}

ChunkRun::ChunkRun(std::vector<std::string> item_lines, bool is_idempotent,
                   PoisonOptions poison_options, const ChunkRow& row,
                   const ItemResults& known_results)
    : lines(std::move(item_lines)),
      idempotent(is_idempotent),
      options(poison_options),
      run_order(RunOrder(this->lines)),
      items(this->lines.size()),
      return_count(row.returns) {
  for (const auto& [item, result] : known_results) {
    if (item < this->items.size()) this->RecordResult(item, result);
  }
  const auto count = static_cast<std::uint32_t>(this->items.size());
  this->sendable_count =
      this->idempotent ? count : std::min(row.send_limit, count);
  if (this->idempotent) return;
  for (std::uint32_t i = 0; i < this->sendable_count; ++i) {
    const auto item = this->run_order[i];
    if (this->items[item].phase == Phase::kEnded) continue;
    this->RecordResult(item,
                       {ItemState::kUnknown, "",
                        "sent by a VM that was lost before it had an answer"});
  }
}

bool ChunkRun::NeedsExclusive(const Item& item) const {
  return item.failures >= this->options.failures_before_exclusive;
}

bool ChunkRun::NeedsHealthyEndpoint(const Item& item) const {
  return this->NeedsExclusive(item) ||
         item.rejections + item.unverified_failures > 0;
}

std::optional<ItemStart> ChunkRun::NextItem(const base::EndpointId& endpoint,
                                            bool known_healthy) const {
  std::optional<ItemStart> fallback;
  const bool has_probe_item = this->ProbeItem().has_value();
  for (std::uint32_t i = 0; i < this->sendable_count; ++i) {
    const auto number = this->run_order[i];
    const auto& item = this->items[number];
    if (item.phase != Phase::kWaiting || item.deferred) continue;
    const bool exclusive = this->NeedsExclusive(item);
    if (!known_healthy && has_probe_item && this->NeedsHealthyEndpoint(item))
      continue;
    if (item.last_failed != endpoint) return ItemStart{number, exclusive};
    if (!fallback) fallback = ItemStart{number, exclusive};
  }
  return fallback;
}

bool ChunkRun::Finished() const {
  return this->recorded.size() == this->items.size();
}

std::uint32_t ChunkRun::Startable() const {
  std::uint32_t count = 0;
  for (std::uint32_t i = 0; i < this->sendable_count; ++i) {
    const auto& item = this->items[this->run_order[i]];
    if (item.phase == Phase::kWaiting && !item.deferred) ++count;
  }
  return count;
}

bool ChunkRun::AllRemainingDeferred() const {
  if (this->in_flight > 0 || this->Finished()) return false;
  return std::all_of(this->items.begin(), this->items.end(), [](auto& item) {
    return item.phase == Phase::kEnded || item.deferred;
  });
}

std::optional<std::uint32_t> ChunkRun::ProbeItem() const {
  if (!this->idempotent) return std::nullopt;
  const bool needs_probe =
      std::any_of(this->items.begin(), this->items.end(), [this](auto& item) {
        return item.phase == Phase::kWaiting && !item.deferred &&
               this->NeedsHealthyEndpoint(item);
      });
  if (!needs_probe) return std::nullopt;
  for (const auto& [item, result] : this->recorded) {
    if (result.state == ItemState::kCompleted) return item;
  }
  return std::nullopt;
}

const std::string& ChunkRun::line(std::uint32_t item) const {
  return this->lines[item];
}

const std::string& ChunkRun::streamed(std::uint32_t item) const {
  return this->items[item].streamed;
}

ResultRow ChunkRun::Counts() const {
  ResultRow row;
  for (const auto& [item, result] : this->recorded) {
    if (result.state == ItemState::kCompleted) ++row.completed;
    if (result.state == ItemState::kFailed) ++row.failed;
    if (result.state == ItemState::kUnknown) ++row.unknown;
  }
  return row;
}

bool ChunkRun::NeedsIntent() const {
  if (this->idempotent || this->in_flight > 0) return false;
  return this->sendable_count < this->items.size() && this->Startable() == 0;
}

void ChunkRun::RaiseSendLimit(std::uint32_t count) {
  const auto item_count = static_cast<std::uint32_t>(this->items.size());
  this->sendable_count = std::min(this->sendable_count + count, item_count);
}

void ChunkRun::Start(const ItemStart& start) {
  this->items[start.item].phase = Phase::kRunning;
  ++this->in_flight;
}

void ChunkRun::End(std::uint32_t number, const base::EndpointId& endpoint,
                   bool exclusive, bool known_healthy, RunResult run) {
  auto& item = this->items[number];
  --this->in_flight;
  item.phase = Phase::kWaiting;
  if (run.outcome == ItemOutcome::kCompleted) {
    this->failed_probes = 0;
    this->RecordResult(number,
                       {ItemState::kCompleted, std::move(run.body), ""});
    return;
  }
  if (run.outcome == ItemOutcome::kNotRun) {
    item.last_failed = endpoint;
    return;
  }
  if (!this->idempotent && run.outcome != ItemOutcome::kRejected) {
    this->RecordResult(number,
                       {ItemState::kUnknown, "", std::move(run.reason)});
    return;
  }
  this->HandleIncompleteRun(number, endpoint, exclusive, known_healthy,
                            std::move(run));
}

void ChunkRun::EndProbe(ItemOutcome outcome, bool any_healthy) {
  if (any_healthy) this->failed_probes = 0;
  // The item has completed before, so that a rejection shows a fault of the
  // endpoint as well.
  const bool failed = outcome == ItemOutcome::kEndpointFailed ||
                      outcome == ItemOutcome::kRejected;
  if (any_healthy || !failed) return;
  if (++this->failed_probes < this->options.max_failed_probes) return;
  for (auto& item : this->items) {
    if (item.phase != Phase::kWaiting) continue;
    if (this->NeedsHealthyEndpoint(item)) item.deferred = true;
  }
}

void ChunkRun::HandleIncompleteRun(std::uint32_t number,
                                   const base::EndpointId& endpoint,
                                   bool exclusive, bool known_healthy,
                                   RunResult run) {
  auto& item = this->items[number];
  if (run.outcome == ItemOutcome::kStopped) {
    item.streamed = std::move(run.body);
    return;
  }
  item.last_failed = endpoint;
  item.streamed.clear();
  item.reason = std::move(run.reason);
  if (run.outcome == ItemOutcome::kRejected) {
    // A non-idempotent item that an endpoint responded to isn't sent again.
    if (known_healthy) ++item.rejections;
    if (!this->idempotent || item.rejections >= this->options.max_rejections) {
      this->RecordResult(number, {ItemState::kFailed, "", item.reason});
    } else if (!known_healthy) {
      this->CountUnverifiedFailure(number);
    }
    return;
  }
  if (!exclusive) {
    ++item.failures;
    return;
  }
  if (!known_healthy) return this->CountUnverifiedFailure(number);
  if (++item.exclusive_failures >= this->options.max_exclusive_failures) {
    this->RecordResult(number, {ItemState::kFailed, "", item.reason});
  }
}

void ChunkRun::CountUnverifiedFailure(std::uint32_t number) {
  auto& item = this->items[number];
  if (++item.unverified_failures < this->options.max_unverified_failures)
    return;
  if (this->return_count >= this->options.max_returns) {
    this->RecordResult(number, {ItemState::kFailed, "", item.reason});
  } else {
    item.deferred = true;
  }
}

void ChunkRun::RecordResult(std::uint32_t number, ItemResult result) {
  this->items[number].phase = Phase::kEnded;
  this->items[number].streamed.clear();
  this->result_bytes += result.body.size() + result.reason.size();
  this->recorded.emplace(number, std::move(result));
}

}  // namespace gypsumtrack::policy
