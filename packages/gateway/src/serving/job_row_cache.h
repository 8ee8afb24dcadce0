#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_ROW_CACHE_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_ROW_CACHE_H_

#include <cstddef>
#include <map>

#include "gypsumtrack/gateway/serving/store_layout.h"
#include "owned_job.h"

/// A cache of the rows of accepted jobs.
namespace gypsumtrack::gateway {

/// Rows of accepted jobs. Rows never change, but the cache may still hold some
/// that the garbage collection has removed. Not thread-safe.
class JobRowCache {
 public:
  /// Maximum number of rows.
  static constexpr std::size_t kMaxRows = 4096;

  // Commands.

  /// Caches the row of a job. Clears the cache first if it is full.
  void Insert(const JobKey& key, const layout::JobRow& row);

  // Queries.

  /// The row, or null if it isn't cached. Valid until the next command.
  const layout::JobRow* Find(const JobKey& key) const;

 private:
  std::map<JobKey, layout::JobRow> rows;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_ROW_CACHE_H_
