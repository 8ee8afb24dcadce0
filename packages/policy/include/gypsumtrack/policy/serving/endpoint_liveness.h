#ifndef GYPSUMTRACK_POLICY_SERVING_ENDPOINT_LIVENESS_H_
#define GYPSUMTRACK_POLICY_SERVING_ENDPOINT_LIVENESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Decides by the heartbeats of endpoints whether one that a daemon can't reach
/// has ended, or only the path to it. Each endpoint renews its row in the store
/// at an interval; the store removes a row that isn't renewed.
namespace gypsumtrack::policy {

/// A start of an endpoint.
struct EndpointIncarnation {
  base::EndpointId id;
  std::uint64_t incarnation = 0;

  auto operator<=>(const EndpointIncarnation&) const = default;
};

/// Whether an endpoint still runs.
enum class Liveness {
  kUnknown,  ///< it can't be told
  kAlive,
  kEnded,
};

inline constexpr auto kLivenessNames =
    base::MakeEnumTable<Liveness>({{Liveness::kUnknown, "unknown"},
                                   {Liveness::kAlive, "alive"},
                                   {Liveness::kEnded, "ended"}});

/// The row of an endpoint as it was written.
struct EndpointRow {
  base::EndpointId id;
  /// None if the row can't be read.
  std::optional<std::uint64_t> incarnation;
  /// Version of the store that wrote it.
  std::uint64_t version = 0;
};

/// What a read of the endpoints' table has shown.
struct EndpointRowsRead {
  /// When the read was sent.
  base::Instant sent_at{};
  /// Version of the store up to which all changes are known.
  std::uint64_t as_of = 0;
  /// When the store became reachable again after its last outage; the epoch if
  /// there was none.
  base::Instant store_recovered_at{};
  /// Whether `written` is the whole table. Else it holds changes.
  bool is_snapshot = false;
  std::vector<EndpointRow> written;
  std::vector<base::EndpointId> removed;
};

/// Intervals of EndpointLiveness.
struct EndpointLivenessOptions {
  /// Interval at which endpoints renew their rows.
  base::Duration heartbeat_period = std::chrono::milliseconds(1200);
  /// A row that is removed after this many heartbeat periods without a renewal
  /// has expired. An endpoint that leaves removes its row sooner.
  double min_silent_periods = 1.5;
  /// Time after an outage of the store in which the rows of live endpoints that
  /// expired during it are back.
  base::Duration missing_row_grace_period = std::chrono::milliseconds(2000);
  /// Maximum time for which an endpoint is watched.
  base::Duration max_watch_time = std::chrono::seconds(60);
};

/// What the rows show about an endpoint that was watched.
struct LivenessVerdict {
  EndpointIncarnation endpoint;
  Liveness liveness = Liveness::kUnknown;
};

/// Watches the rows of endpoints to which connections were lost. Not
/// thread-safe.
class EndpointLiveness {
 public:
  explicit EndpointLiveness(EndpointLivenessOptions options);

  // Commands.

  /// Records a read. Reads must be passed in the order in which they were made.
  void OnRead(const EndpointRowsRead& read, base::Instant now);
  /// Watches an endpoint to which a connection was lost at `lost_at`. Of
  /// several losses the last one counts.
  void Watch(const EndpointIncarnation& endpoint, base::Instant lost_at);
  /// Ends the watches that are decided or too old, and returns their verdicts.
  /// Must be called after each read and at least once a second.
  std::vector<LivenessVerdict> TakeVerdicts(base::Instant now);

  // Queries.

  /// Returns whether the endpoint is watched.
  bool IsWatched(const EndpointIncarnation& endpoint) const {
    return this->watches.contains(endpoint);
  }

 private:
  struct Watched {
    base::Instant lost_at{};
    base::Instant expires_at{};
    /// Version of the store at a moment after the loss: renewals with a newer
    /// version were written after it. None until a read has shown one.
    std::optional<std::uint64_t> baseline;
    /// When the last renewal was read, at first when the first connection was
    /// lost.
    base::Instant last_renewed_at{};
    /// When the row was found removed; none while it is listed.
    std::optional<base::Instant> removed_at;
    /// The verdict, once there is one.
    std::optional<Liveness> decided;
  };

  void ApplyRow(const EndpointRow& row, base::Instant now);
  void ApplyRemoval(const base::EndpointId& id, base::Instant now);
  /// Removes the rows that a snapshot doesn't contain.
  void RemoveMissing(const EndpointRowsRead& snapshot, base::Instant now);
  /// Returns what a removed row shows, or none if that isn't clear yet.
  std::optional<Liveness> JudgeRemoval(const Watched& watched,
                                       base::Instant now) const;

  EndpointLivenessOptions options;
  /// The incarnations of all endpoints that are listed.
  std::map<base::EndpointId, std::uint64_t> listed;
  std::map<EndpointIncarnation, Watched> watches;
  base::Instant store_recovered_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_ENDPOINT_LIVENESS_H_
