#include "gypsumtrack/policy/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace gypsumtrack::policy {

FairQueue::FairQueue(FairQueueOptions options) : options(options) {}

FairQueue::Tag FairQueue::NextTag(const QueuedRequest& request) const {
  if (!this->options.fair) return {0, this->arrival_count};
  const auto found = this->next_start.find(request.organisation);
  const double earliest_start =
      found == this->next_start.end() ? 0 : found->second;
  return {std::max(this->virtual_time, earliest_start), this->arrival_count};
}

std::size_t FairQueue::CountAhead(const Tag& tag) const {
  const auto end = this->order.lower_bound(tag);
  return static_cast<std::size_t>(std::distance(this->order.begin(), end));
}

QueueDecision FairQueue::Push(const QueuedRequest& request,
                              base::Duration time_per_request,
                              base::Instant now) {
  QueueDecision decision;
  const Tag tag = this->NextTag(request);
  const auto requests_ahead = static_cast<std::int64_t>(this->CountAhead(tag));
  const auto start_time = now + time_per_request * (requests_ahead + 1);
  decision.retry_at = start_time;
  if (start_time > request.deadline) return decision;
  if (this->order.size() >= this->options.max_requests) {
    const auto last = std::prev(this->order.end());
    if (last->first < tag) return decision;
    decision.evicted = last->second;
    this->Erase(last->first);
  }
  this->arrival_count++;
  this->order.emplace(tag, request.id);
  this->entries[request.id] = {tag, request.organisation};
  this->next_start[request.organisation] =
      tag.first + 1.0 / std::max(1U, request.share);
  decision.accepted = true;
  return decision;
}

std::optional<std::uint64_t> FairQueue::front() const {
  if (this->order.empty()) return std::nullopt;
  return this->order.begin()->second;
}

std::optional<std::uint64_t> FairQueue::Pop() {
  const auto id = this->front();
  if (!id) return std::nullopt;
  const Tag tag = this->order.begin()->first;
  this->virtual_time = std::max(this->virtual_time, tag.first);
  this->Erase(tag);
  // Once the queue is empty, earlier requests no longer affect the order of any
  // organisation's later ones.
  if (this->order.empty()) this->next_start.clear();
  return id;
}

bool FairQueue::Remove(std::uint64_t id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return false;
  this->Erase(Tag(found->second.tag));
  return true;
}

void FairQueue::Erase(const Tag& tag) {
  const auto found = this->order.find(tag);
  this->entries.erase(found->second);
  this->order.erase(found);
}

std::size_t FairQueue::CountFor(const base::Organisation& organisation) const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [&](const auto& each) {
        return each.second.organisation == organisation;
      }));
}

}  // namespace gypsumtrack::policy
