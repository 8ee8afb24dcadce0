#include "gypsumtrack/policy/batch_scheduler.h"

#include <algorithm>
#include <tuple>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

bool BatchScheduler::DueOrder::operator()(const BatchJob& a,
                                          const BatchJob& b) const {
  return std::tie(a.due_at, a.items, a.uid) <
         std::tie(b.due_at, b.items, b.uid);
}

BatchScheduler::BatchScheduler(SchedulerOptions scheduler_options,
                               std::uint64_t scheduler_seed)
    : options(scheduler_options), seed(scheduler_seed) {}

void BatchScheduler::Put(const BatchJob& job) {
  this->Remove(job.uid);
  const auto [entry, added] = this->queues.try_emplace(job.organisation);
  auto& queue = entry->second;
  if (added) {
    const auto start_offset = base::Hash64(job.organisation.text, this->seed) %
                              this->options.max_start_offset_items;
    queue.credit = -static_cast<std::int64_t>(start_offset);
  }
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

const BatchJob* BatchScheduler::ChooseJob(const OrganisationQueue& queue,
                                          const Eligible& eligible) const {
  const bool pick_smallest =
      queue.picks % this->options.picks_per_smallest_job ==
      this->options.picks_per_smallest_job - 1;
  const BatchJob* chosen = nullptr;
  for (const auto& [job, items] : queue.jobs) {
    if (!eligible(job)) continue;
    if (!pick_smallest) return &job;
    if (chosen == nullptr || job.items < chosen->items) chosen = &job;
  }
  return chosen;
}

const BatchJob* BatchScheduler::MostUrgentJob(base::WallTime now,
                                              const Eligible& eligible) const {
  const BatchJob* chosen = nullptr;
  for (const auto& [organisation, queue] : this->queues) {
    if (queue.credit <= -this->MaxCredit(queue)) continue;
    for (const auto& [job, items] : queue.jobs) {
      if (job.due_at - now > this->options.urgent_before_due) break;
      if (!eligible(job)) continue;
      if (chosen == nullptr || job.due_at < chosen->due_at) chosen = &job;
      break;
    }
  }
  return chosen;
}

std::int64_t BatchScheduler::MaxCredit(const OrganisationQueue& queue) const {
  return this->options.quantum_items * this->options.max_credit_rounds *
         queue.share;
}

void BatchScheduler::AddCreditRound(
    const std::vector<OrganisationQueue*>& eligible_queues) {
  for (auto* queue : eligible_queues) {
    queue->credit =
        std::min(queue->credit + this->options.quantum_items * queue->share,
                 this->MaxCredit(*queue));
  }
}

std::optional<BatchJob> BatchScheduler::Pick(base::WallTime now,
                                             const Eligible& eligible) {
  if (const auto* urgent = this->MostUrgentJob(now, eligible)) return *urgent;
  std::vector<OrganisationQueue*> eligible_queues;
  for (auto& [organisation, queue] : this->queues) {
    if (this->ChooseJob(queue, eligible) != nullptr)
      eligible_queues.push_back(&queue);
  }
  if (eligible_queues.empty()) return std::nullopt;
  while (std::none_of(
      eligible_queues.begin(), eligible_queues.end(),
      [](const OrganisationQueue* queue) { return queue->credit > 0; })) {
    this->AddCreditRound(eligible_queues);
  }
  // Starts at the organisation after the last one picked and wraps around.
  auto next = this->queues.upper_bound(this->last_organisation);
  for (std::size_t i = 0; i <= this->queues.size(); ++i, ++next) {
    if (next == this->queues.end()) next = this->queues.begin();
    auto& queue = next->second;
    if (queue.credit <= 0) continue;
    const auto* job = this->ChooseJob(queue, eligible);
    if (job == nullptr) continue;
    ++queue.picks;
    this->last_organisation = next->first;
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
