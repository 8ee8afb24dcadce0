#include "gypsumtrack/policy/batch_scheduler.h"

#include <algorithm>
#include <tuple>

namespace gypsumtrack::policy {

bool BatchScheduler::DueOrder::operator()(const BatchJob& a,
                                          const BatchJob& b) const {
  return std::tie(a.due_at, a.items, a.uid) <
         std::tie(b.due_at, b.items, b.uid);
}

BatchScheduler::BatchScheduler(SchedulerOptions scheduler_options)
    : options(scheduler_options) {}

void BatchScheduler::Put(const BatchJob& job) {
  this->Remove(job.uid);
  auto& queue = this->queues[job.organisation];
  queue.share = std::max(1U, job.share);
  queue.jobs.emplace(job, job.items);
  this->by_uid.emplace(job.uid, job);
}

void BatchScheduler::Remove(const std::string& uid) {
  const auto found = this->by_uid.find(uid);
  if (found == this->by_uid.end()) return;
  const auto queue = this->queues.find(found->second.organisation);
  queue->second.jobs.erase(found->second);
  if (queue->second.jobs.empty() && queue->second.credit >= 0) {
    this->queues.erase(queue);
  }
  this->by_uid.erase(found);
}

const BatchJob* BatchScheduler::Choose(const Queue& queue,
                                       const Eligible& eligible) const {
  const bool smallest = queue.picks % this->options.smallest_every ==
                        this->options.smallest_every - 1;
  const BatchJob* chosen = nullptr;
  for (const auto& [job, items] : queue.jobs) {
    if (!eligible(job)) continue;
    if (!smallest) return &job;
    if (chosen == nullptr || job.items < chosen->items) chosen = &job;
  }
  return chosen;
}

const BatchJob* BatchScheduler::InDanger(base::WallTime now,
                                         const Eligible& eligible) const {
  const BatchJob* chosen = nullptr;
  for (const auto& [organisation, queue] : this->queues) {
    if (queue.credit <= -this->MaxCredit(queue)) continue;
    for (const auto& [job, items] : queue.jobs) {
      if (job.due_at - now > this->options.danger) break;
      if (!eligible(job)) continue;
      if (chosen == nullptr || job.due_at < chosen->due_at) chosen = &job;
      break;
    }
  }
  return chosen;
}

std::int64_t BatchScheduler::MaxCredit(const Queue& queue) const {
  return this->options.quantum_items * this->options.max_rounds * queue.share;
}

void BatchScheduler::AddRound(const std::vector<Queue*>& ready) {
  for (auto* queue : ready) {
    queue->credit =
        std::min(queue->credit + this->options.quantum_items * queue->share,
                 this->MaxCredit(*queue));
  }
}

std::optional<BatchJob> BatchScheduler::Pick(base::WallTime now,
                                             const Eligible& eligible) {
  if (const auto* urgent = this->InDanger(now, eligible)) return *urgent;
  std::vector<Queue*> ready;
  for (auto& [organisation, queue] : this->queues) {
    if (this->Choose(queue, eligible) != nullptr) ready.push_back(&queue);
  }
  if (ready.empty()) return std::nullopt;
  while (std::none_of(ready.begin(), ready.end(),
                      [](const Queue* queue) { return queue->credit > 0; })) {
    this->AddRound(ready);
  }
  // The next organisation after the last one, in a circle.
  auto next = this->queues.upper_bound(this->last);
  for (std::size_t i = 0; i <= this->queues.size(); ++i, ++next) {
    if (next == this->queues.end()) next = this->queues.begin();
    auto& queue = next->second;
    if (queue.credit <= 0) continue;
    const auto* job = this->Choose(queue, eligible);
    if (job == nullptr) continue;
    ++queue.picks;
    this->last = next->first;
    return *job;
  }
  return std::nullopt;
}

void BatchScheduler::Charge(const BatchJob& job, std::uint32_t items) {
  const auto queue = this->queues.find(job.organisation);
  if (queue != this->queues.end()) queue->second.credit -= items;
}

const BatchJob* BatchScheduler::Find(const std::string& uid) const {
  const auto found = this->by_uid.find(uid);
  return found == this->by_uid.end() ? nullptr : &found->second;
}

std::vector<BatchJob> BatchScheduler::Jobs() const {
  std::vector<BatchJob> jobs;
  for (const auto& [uid, job] : this->by_uid) jobs.push_back(job);
  return jobs;
}

}  // namespace gypsumtrack::policy
