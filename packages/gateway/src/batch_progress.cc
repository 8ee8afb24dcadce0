#include "batch_progress.h"

#include <utility>

#include "gypsumtrack/gateway/store_await.h"

namespace gypsumtrack::gateway {
namespace {

constexpr std::uint32_t kMaxPageRows = 1000;

void AddCounts(const base::Row& row, JobProgress& progress) {
  const auto result = policy::DecodeResult(row.value);
  if (!result.ok()) return;
  progress.completed += result->completed;
  progress.failed += result->failed;
  progress.unknown += result->unknown;
}

}  // namespace

boost::asio::awaitable<base::Outcome<JobProgress>> CollectProgress(
    const Runtime& runtime, policy::BatchJob job) {
  JobProgress progress;
  progress.job = std::move(job);
  base::TableScan scan;
  scan.prefix = policy::ResultPrefix(progress.job.uid);
  scan.limit = kMaxPageRows;
  for (bool more = true; more;) {
    const auto deadline = runtime.clock.now() + kStoreTimeout;
    const auto page = co_await ScanTable(runtime.platform, scan, deadline);
    if (!page.ok()) co_return page.error();
    for (const auto& row : page->rows) AddCounts(row, progress);
    more = page->more;
    if (more) scan.after = page->rows.back().key;
  }
  co_return progress;
}

}  // namespace gypsumtrack::gateway
