#ifndef GYPSUMTRACK_POLICY_BATCH_JANITOR_H_
#define GYPSUMTRACK_POLICY_BATCH_JANITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/batch_state.h"
#include "gypsumtrack/policy/batch_store_calls.h"

/// Clears up after VMs that were lost and jobs that ended.
namespace gypsumtrack::policy {

using CancelReply = std::function<void(base::Instant, const base::Status&)>;

struct JanitorOptions {
  /// A holder that didn't renew for this long is fenced.
  base::Duration lease_lapse = std::chrono::seconds(50);
  base::Duration watch_every = std::chrono::seconds(5);
  /// Holders watched: those next in key order.
  std::uint32_t watched = 8;
  /// An upload that stands still for this long is removed.
  base::Duration staging_lapse = std::chrono::minutes(10);
  base::Duration sweep_every = std::chrono::seconds(60);
  std::uint32_t sweep_rows = 20;
  /// Between looks at the chunks of a cancelled job.
  base::Duration cancel_poll = std::chrono::milliseconds(500);
};

/// Recovers the chunks of lost holders, ends cancelled jobs, removes orphaned
/// objects and results past their keep-until time. Not thread-safe.
class BatchJanitor {
 public:
  /// `calls` outlives it.
  BatchJanitor(StoreCalls& calls, std::string own_position,
               JanitorOptions options, std::uint64_t seed);

  // Commands.

  void Tick(base::Instant now, base::WallTime wall);
  /// Writes the cancel, then frees and removes the job's chunks. `done` runs
  /// when no VM holds any of them; `written` when the cancel is durable.
  void Cancel(base::Instant now, const BatchJob& job, CancelReply done,
              std::function<void(base::Instant)> written);

 private:
  struct Sighting {
    std::uint64_t version = 0;
    base::Instant since{};
  };
  using ChunkList = std::shared_ptr<std::vector<StoredChunk>>;
  using Sightings = std::map<std::string, Sighting>;

  /// Whether the row has stood at this version for `lapse`, while the table
  /// answered all along.
  bool StoodStill(Sightings& sightings, const base::Row& row, base::Instant now,
                  base::Duration lapse) const;
  void WatchHolders(base::Instant now, bool wrapped);
  void Recover(base::Instant now, const base::Row& row);
  void ReadChunks(base::Instant now,
                  const std::shared_ptr<StoredHolder>& holder, std::size_t next,
                  const ChunkList& found);
  void Sweep(base::Instant now);
  void Claim(base::Instant now, const base::Row& row);
  void RemoveChunkRows(base::Instant now, const std::string& uid,
                       const CancelReply& done);
  void RemoveInputs(base::Instant now, const std::string& uid,
                    std::uint32_t next, std::uint32_t end);
  void Expire(base::Instant now);
  void ExpireJob(base::Instant now, const BatchJob& job);
  void RemoveResults(base::Instant now, const BatchJob& job,
                     std::uint64_t job_version);

  StoreCalls* calls;
  /// Where this VM stands among the holder keys.
  std::string position;
  JanitorOptions options;
  std::uint64_t seed;
  Sightings holders;
  Sightings uploads;
  /// The last answer of each kind of look; a gap restarts the sightings.
  base::Instant holders_seen_at{};
  base::Instant uploads_seen_at{};
  base::Instant watch_at{};
  base::Instant sweep_at{};
  base::WallTime wall{};
  struct Pending {
    base::Instant at{};
    std::function<void(base::Instant)> run;
  };
  std::vector<Pending> later;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_JANITOR_H_
