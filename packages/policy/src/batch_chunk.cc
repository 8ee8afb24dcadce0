#include "gypsumtrack/policy/batch_chunk.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Bytes by which items count as having a common prefix.
constexpr std::size_t kPrefixBytes = 256;

base::Error BadResults() {
  return {base::Errc::kInvalid, "malformed result object"};
}

std::optional<std::uint64_t> TakeNumber(std::string_view& rest, char end) {
  const auto stop = rest.find(end);
  if (stop == std::string_view::npos) return std::nullopt;
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(rest.data(), rest.data() + stop, number);
  if (parsed.ec != std::errc()) return std::nullopt;
  rest.remove_prefix(stop + 1);
  return number;
}

std::optional<std::string> TakeBytes(std::string_view& rest,
                                     std::uint64_t count) {
  if (rest.size() < count) return std::nullopt;
  std::string bytes(rest.substr(0, count));
  rest.remove_prefix(count);
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
    const auto item = TakeNumber(bytes, ' ');
    const auto state = TakeNumber(bytes, ' ');
    const auto body_size = TakeNumber(bytes, ' ');
    const auto reason_size = TakeNumber(bytes, '\n');
    if (!item || !state || !body_size || !reason_size) return BadResults();
    auto body = TakeBytes(bytes, *body_size);
    auto reason = TakeBytes(bytes, *reason_size);
    if (!body || !reason) return BadResults();
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

ChunkRun::ChunkRun(std::vector<std::string> item_lines, bool may_repeat,
                   PoisonOptions poison, const ChunkRow& row,
                   const ItemResults& known)
    : lines(std::move(item_lines)),
      idempotent(may_repeat),
      options(poison),
      order(RunOrder(this->lines)),
      items(this->lines.size()),
      returns(row.returns) {
  for (const auto& [item, result] : known) {
    if (item < this->items.size()) this->Record(item, result);
  }
  const auto count = static_cast<std::uint32_t>(this->items.size());
  this->allowed = this->idempotent ? count : std::min(row.sent, count);
  if (this->idempotent) return;
  for (std::uint32_t i = 0; i < this->allowed; ++i) {
    const auto item = this->order[i];
    if (this->items[item].phase == Phase::kEnded) continue;
    this->Record(item, {ItemState::kUnknown, "",
                        "sent by a VM that was lost before it had an answer"});
  }
}

bool ChunkRun::NeedsAlone(const Item& item) const {
  return item.failures >= this->options.failures_before_alone;
}

bool ChunkRun::NeedsProof(const Item& item) const {
  return this->NeedsAlone(item) || item.rejections + item.unvouched > 0;
}

std::optional<ItemStart> ChunkRun::Next(const base::EndpointId& endpoint,
                                        bool vouched) const {
  std::optional<ItemStart> second_choice;
  const bool has_control = this->Control().has_value();
  for (std::uint32_t i = 0; i < this->allowed; ++i) {
    const auto number = this->order[i];
    const auto& item = this->items[number];
    if (item.phase != Phase::kWaiting || item.stuck) continue;
    const bool alone = this->NeedsAlone(item);
    if (!vouched && has_control && this->NeedsProof(item)) continue;
    if (item.last_failed != endpoint) return ItemStart{number, alone};
    if (!second_choice) second_choice = ItemStart{number, alone};
  }
  return second_choice;
}

bool ChunkRun::Finished() const {
  return this->done.size() == this->items.size();
}

std::uint32_t ChunkRun::Startable() const {
  std::uint32_t count = 0;
  for (std::uint32_t i = 0; i < this->allowed; ++i) {
    const auto& item = this->items[this->order[i]];
    if (item.phase == Phase::kWaiting && !item.stuck) ++count;
  }
  return count;
}

bool ChunkRun::Stuck() const {
  if (this->in_flight > 0 || this->Finished()) return false;
  return std::all_of(this->items.begin(), this->items.end(), [](auto& item) {
    return item.phase == Phase::kEnded || item.stuck;
  });
}

std::optional<std::uint32_t> ChunkRun::Control() const {
  if (!this->idempotent) return std::nullopt;
  const bool wanted =
      std::any_of(this->items.begin(), this->items.end(), [this](auto& item) {
        return item.phase == Phase::kWaiting && this->NeedsProof(item);
      });
  if (!wanted) return std::nullopt;
  for (const auto& [item, result] : this->done) {
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
  for (const auto& [item, result] : this->done) {
    if (result.state == ItemState::kCompleted) ++row.completed;
    if (result.state == ItemState::kFailed) ++row.failed;
    if (result.state == ItemState::kUnknown) ++row.unknown;
  }
  return row;
}

bool ChunkRun::WantsIntent() const {
  if (this->idempotent || this->in_flight > 0) return false;
  return this->allowed < this->items.size() && this->Startable() == 0;
}

void ChunkRun::AllowMore(std::uint32_t count) {
  const auto all = static_cast<std::uint32_t>(this->items.size());
  this->allowed = std::min(this->allowed + count, all);
}

void ChunkRun::Start(const ItemStart& start) {
  this->items[start.item].phase = Phase::kRunning;
  ++this->in_flight;
}

void ChunkRun::End(std::uint32_t number, const base::EndpointId& endpoint,
                   bool alone, bool vouched, RunResult run) {
  auto& item = this->items[number];
  --this->in_flight;
  item.phase = Phase::kWaiting;
  if (run.outcome == ItemOutcome::kCompleted) {
    this->Record(number, {ItemState::kCompleted, std::move(run.body), ""});
    return;
  }
  if (run.outcome == ItemOutcome::kNotRun) {
    item.last_failed = endpoint;
    return;
  }
  if (!this->idempotent && run.outcome != ItemOutcome::kRejected) {
    this->Record(number, {ItemState::kUnknown, "", std::move(run.reason)});
    return;
  }
  this->EndUnfinished(number, endpoint, alone, vouched, std::move(run));
}

void ChunkRun::EndUnfinished(std::uint32_t number,
                             const base::EndpointId& endpoint, bool alone,
                             bool vouched, RunResult run) {
  auto& item = this->items[number];
  if (run.outcome == ItemOutcome::kStopped) {
    item.streamed = std::move(run.body);
    return;
  }
  item.last_failed = endpoint;
  item.streamed.clear();
  item.reason = std::move(run.reason);
  if (run.outcome == ItemOutcome::kRejected) {
    // A non-idempotent item that an endpoint answered isn't sent again.
    if (vouched) ++item.rejections;
    if (!this->idempotent || item.rejections >= this->options.rejections) {
      this->Record(number, {ItemState::kFailed, "", item.reason});
    } else if (!vouched) {
      this->BookUnvouched(number);
    }
    return;
  }
  if (!alone) {
    ++item.failures;
    return;
  }
  if (!vouched) return this->BookUnvouched(number);
  if (++item.failures_alone >= this->options.failures_alone) {
    this->Record(number, {ItemState::kFailed, "", item.reason});
  }
}

void ChunkRun::BookUnvouched(std::uint32_t number) {
  auto& item = this->items[number];
  if (++item.unvouched < this->options.unvouched) return;
  if (this->returns >= this->options.returns) {
    this->Record(number, {ItemState::kFailed, "", item.reason});
  } else {
    item.stuck = true;
  }
}

void ChunkRun::Record(std::uint32_t number, ItemResult result) {
  this->items[number].phase = Phase::kEnded;
  this->items[number].streamed.clear();
  this->result_bytes += result.body.size() + result.reason.size();
  this->done.emplace(number, std::move(result));
}

}  // namespace gypsumtrack::policy
