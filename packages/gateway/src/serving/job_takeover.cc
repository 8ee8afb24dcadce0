#include "job_takeover.h"

#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Period of looking for jobs without a live owner.
constexpr base::Duration kAdoptionPeriod = std::chrono::milliseconds(250);
/// Maximum time to load a job.
constexpr base::Duration kLoadTimeout = std::chrono::milliseconds(3000);

}  // namespace

JobTakeover::JobTakeover(ServingContext& context, const JobStore& store,
                         JobOwnership& ownership)
    : context(context), store(store), ownership(ownership) {}

asio::awaitable<void> JobTakeover::Run() {
  while (!this->stopped) {
    const auto orphans = this->ownership.FindOrphans();
    for (const auto& orphan : orphans) {
      if (this->stopped) co_return;
      co_await this->Adopt(orphan);
    }
    co_await Pause(kAdoptionPeriod);
  }
}

void JobTakeover::Stop() { this->stopped = true; }

asio::awaitable<void> JobTakeover::Adopt(policy::OwnerRow orphan) {
  const auto& key = orphan.key;
  const auto version = co_await TakeOver(this->store, key, orphan.version,
                                         orphan.allowed_regions);
  if (!version) co_return;
  this->context.metrics.jobs_taken_over.Add();
  const auto loaded = co_await this->LoadAndOwn(orphan, *version);
  base::LogEvent(
      "job_taken_over",
      {{"job", key.job.text},
       {"from", orphan.owner.name},
       {"from_incarnation", orphan.owner.incarnation},
       {"owner_version", *version},
       {"outcome", loaded.ok() ? "running" : loaded.error().message}});
}

asio::awaitable<base::Status> JobTakeover::LoadAndOwn(
    policy::OwnerRow orphan, std::uint64_t owner_version) {
  const auto& key = orphan.key;
  const auto deadline = this->context.clock.now() + kLoadTimeout;
  auto found = co_await FindJob(this->store, key, deadline);
  if (!found.ok()) co_return found.error();
  auto loaded = co_await LoadJob(this->store, key, found->row, deadline);
  if (!loaded.ok()) co_return loaded.error();
  auto items = this->context.wire.read_submission(loaded->submission);
  if (!items.ok()) co_return items.error();
  const auto rules = this->context.store_view.Current()->rules;
  AcquiredJob acquired;
  acquired.key = key;
  acquired.found = std::move(*found);
  acquired.items = std::move(*items);
  acquired.listed_ids = std::move(loaded->listed_ids);
  acquired.partials = std::move(loaded->partials);
  acquired.owner_version = owner_version;
  acquired.allowed_regions = orphan.allowed_regions;
  if (rules) {
    acquired.route = policy::FindRouteByName(*rules, acquired.found.row.route);
  }
  const bool runs = this->ownership.Own(std::move(acquired));
  if (!runs) co_return base::Error(base::Errc::kNotFound, "lost meanwhile");
  co_return base::Done{};
}

}  // namespace gypsumtrack::gateway
