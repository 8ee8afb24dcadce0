#ifndef GYPSUMTRACK_GATEWAY_SERVING_STORE_LAYOUT_H_
#define GYPSUMTRACK_GATEWAY_SERVING_STORE_LAYOUT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/policy/serving/job_run.h"

/// What lies where in the platform's store, and how it is written. Rows of a
/// batch job lie in the partition of its organisation, so that they change
/// together.
///
/// | table   | partition    | key           | written by            |
/// |---------|--------------|---------------|-----------------------|
/// | daemons |              | VM            | that VM, each second  |
/// | job     | organisation | job           | who accepts it, once  |
/// | owner   | organisation | job           | who runs the job      |
/// | backlog | organisation | route, or job | who accepts, the owner|
/// | result  | organisation | job/position  | the owner             |
/// | partial | organisation | job           | the owner, sometimes  |
/// | submission | organisation | job        | who accepts it, once  |
namespace gypsumtrack::gateway::layout {

inline constexpr const char* kDaemonTable = "daemons";
inline constexpr const char* kJobTable = "job";
inline constexpr const char* kOwnerTable = "owner";
inline constexpr const char* kBacklogTable = "backlog";
inline constexpr const char* kResultTable = "result";
inline constexpr const char* kPartialTable = "partial";
inline constexpr const char* kSubmissionTable = "submission";

/// A daemon's heartbeat.
std::string SerializeDaemon(const PeerDaemon& daemon);
/// Errors: kInvalid.
base::Outcome<PeerDaemon> ParseDaemon(const std::string& vm_name,
                                      std::string_view value);

/// A job as accepted; never changed.
struct JobRow {
  std::string route;
  std::size_t items = 0;
  base::StoreMillis accepted_at = 0;
  /// The submission lies in an object; else in a row.
  bool in_object = false;
};
std::string WriteJob(const JobRow& job);
base::Outcome<JobRow> ReadJob(std::string_view value);

/// The daemon that runs a job; a name that is empty means nobody.
std::string WriteOwner(const base::VmId& owner);
base::Outcome<base::VmId> ReadOwner(std::string_view value);

/// Tokens of a job's items that aren't listed.
struct BacklogRow {
  std::string route;
  std::uint64_t tokens = 0;
};
std::string WriteBacklog(const BacklogRow& backlog);
base::Outcome<BacklogRow> ReadBacklog(std::string_view value);
/// The row whose version rises with each job accepted on the route.
std::string RouteKey(const std::string& route);
std::string BacklogKey(const base::JobId& job);
bool IsJobBacklog(std::string_view key);

/// A result, or the object that holds its output.
struct ResultRow {
  policy::JobItemResult result;
  std::string output_object;
};
std::string WriteResult(const ResultRow& row);
base::Outcome<ResultRow> ReadResult(std::string_view value);
/// What has come of items that aren't whole.
std::string WritePartials(const std::vector<policy::PartialItem>& partials);
base::Outcome<std::vector<policy::PartialItem>> ReadPartials(
    std::string_view value);

std::string ResultKey(const base::JobId& job, std::size_t position);
/// Keys of the job's results from the position on.
base::RowRange ResultRange(const base::Organisation& organisation,
                           const base::JobId& job, std::size_t from);

/// The object that holds a job as submitted.
std::string SubmissionObject(const base::Organisation& organisation,
                             const base::JobId& job);
/// The object that holds the output of a large result.
std::string OutputObject(const base::Organisation& organisation,
                         const base::JobId& job, std::size_t position);

}  // namespace gypsumtrack::gateway::layout

#endif  // GYPSUMTRACK_GATEWAY_SERVING_STORE_LAYOUT_H_
