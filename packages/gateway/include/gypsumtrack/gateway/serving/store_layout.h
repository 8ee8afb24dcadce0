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
#include "gypsumtrack/policy/serving/crash_quarantine.h"
#include "gypsumtrack/policy/serving/job_run.h"
#include "gypsumtrack/policy/serving/output_origin.h"

/// Tables, keys and row formats in the platform's store. All rows of a batch
/// job are in the partition of its organisation, so that one transaction can
/// change them together.
///
/// | table      | partition    | key           | written by                  |
/// |------------|--------------|---------------|-----------------------------|
/// | daemons    | domain       | VM            | that VM, when it starts     |
/// | leases     | domain       | VM            | that VM, every second       |
/// | job        | organisation | job           | the accepting daemon, once  |
/// | owner      | organisation | job           | the daemon that runs the job|
/// | backlog    | organisation | route, or job | the accepting daemon, owner |
/// | result     | organisation | job/position  | the owner                   |
/// | partial    | organisation | job           | the owner, periodically     |
/// | submission | organisation | job           | the accepting daemon, once  |
/// | crash      |              | suspect/VM    | that VM, after crashes      |
/// | versions   |              | service       | one daemon, rarely          |
/// | streams    | hash         | hash.attempt  | the daemon that relays it   |
///
/// All functions are thread-safe. The parsers return kInvalid if the value
/// isn't a JSON object with the expected fields.
namespace gypsumtrack::gateway::layout {

inline constexpr const char* kDaemonTable = "daemons";
inline constexpr const char* kLeaseTable = "leases";
inline constexpr const char* kJobTable = "job";
inline constexpr const char* kOwnerTable = "owner";
inline constexpr const char* kBacklogTable = "backlog";
inline constexpr const char* kResultTable = "result";
inline constexpr const char* kPartialTable = "partial";
inline constexpr const char* kSubmissionTable = "submission";
inline constexpr const char* kCrashTable = "crash";
inline constexpr const char* kVersionTable = "versions";
inline constexpr const char* kStreamTable = "streams";

/// Serializes the registration of a daemon. The VM's name is the key of the
/// row, not part of the value.
std::string SerializeDaemon(const PeerDaemon& daemon);
/// Parses the registration of the VM. Errors: kInvalid.
base::Outcome<PeerDaemon> ParseDaemon(const std::string& vm_name,
                                      std::string_view value);

/// Serializes the heartbeat row of a daemon.
std::string SerializeLease(const base::VmId& daemon);
/// Parses the heartbeat row of the VM. Errors: kInvalid.
base::Outcome<base::VmId> ParseLease(const std::string& vm_name,
                                     std::string_view value);

/// An accepted job. The row never changes.
struct JobRow {
  /// Name of the route that the job was submitted to.
  std::string route;
  /// Number of items.
  std::size_t items = 0;
  /// The store's time of acceptance.
  base::StoreMillis accepted_at = 0;
  /// Whether the submission is stored as an object rather than as a row.
  bool in_object = false;
};
/// Serializes a job row.
std::string SerializeJob(const JobRow& job);
/// Parses a job row. Errors: kInvalid.
base::Outcome<JobRow> ParseJob(std::string_view value);

/// Serializes the row of the daemon that runs a job; an empty VM name means
/// that no daemon owns it.
std::string SerializeOwner(const base::VmId& owner,
                           const policy::RegionLimit& allowed_regions = {});
/// Parses an owner row. Errors: kInvalid.
base::Outcome<base::VmId> ParseOwner(std::string_view value);
/// The regions whose daemons may own the job, as the row of its owner states
/// them.
policy::RegionLimit ParseOwnerRegions(std::string_view value);

/// Tokens of a job's items whose results aren't listed yet.
struct BacklogRow {
  /// Name of the job's route.
  std::string route;
  std::uint64_t tokens = 0;
};
/// Serializes the backlog row of a job.
std::string SerializeBacklog(const BacklogRow& backlog);
/// Parses the backlog row of a job. Errors: kInvalid.
base::Outcome<BacklogRow> ParseBacklog(std::string_view value);
/// Key of a route's row in the backlog table. Each accepted job rewrites it, so
/// that its version increases.
std::string RouteBacklogKey(const std::string& route);
/// Key of a job's row in the backlog table.
std::string JobBacklogKey(const base::JobId& job);
/// Whether the key is that of a job's row.
bool IsJobBacklogKey(std::string_view key);

/// Whether the store's rows can be named after the job: the id is text of at
/// most kMaxJobIdBytes.
bool IsValidJobId(const base::JobId& job);
/// The store's keys have at most 200 bytes; a result's key adds the position.
inline constexpr std::size_t kMaxJobIdBytes = 192;

/// The result of an item. A large output is stored as an object.
struct ResultRow {
  /// The output is empty if it is stored as an object.
  policy::JobItemResult result;
  /// Name of the object that holds the output; empty if the row holds it.
  std::string output_object;
  /// Whether the row, or its output, can't be read.
  bool is_damaged = false;
};
/// Serializes a result row.
std::string SerializeResult(const ResultRow& row);
/// Parses a result row. One that can't be read counts as given up, with the
/// item if that can be read: it costs its own position of the list only.
ResultRow ParseResult(std::string_view value);
/// Serializes the partial output of a job's unfinished items.
std::string SerializePartials(const std::vector<policy::PartialItem>& partials);
/// Parses a row of partial output. Leaves out output of unknown origin and
/// output that isn't UTF-8, as written by earlier versions of this software.
/// Errors: kInvalid.
base::Outcome<std::vector<policy::PartialItem>> ParsePartials(
    std::string_view value);

/// Key of the result at that position of the job's result list.
std::string ResultKey(const base::JobId& job, std::size_t position);
/// The range of the job's results from position `from` on.
base::RowRange ResultRange(const base::Organisation& organisation,
                           const base::JobId& job, std::size_t from);

/// Key of a report in the crash table. It holds a hash of the suspect, whose
/// own id may be longer than a key.
std::string CrashReportRowKey(const policy::CrashReportKey& key);
/// Serializes a report on crashes.
std::string SerializeCrashReport(const policy::CrashReport& report);
/// Parses a report on crashes. Errors: kInvalid.
base::Outcome<policy::CrashReport> ParseCrashReport(std::string_view value);

/// Serializes the default software version of a service, whose name is the key
/// of the row.
std::string SerializeDefaultVersion(const std::string& version);
/// Parses the default software version of a service. Errors: kInvalid.
base::Outcome<std::string> ParseDefaultVersion(std::string_view value);

/// Key of the row that states which endpoints begin the stream of a request in
/// its attempt with that number. The newest attempt has the greatest key.
base::RowKey StreamRowKey(const std::string& request, std::uint32_t attempt);
/// The range of the rows of all attempts of a request.
base::RowRange StreamRange(const std::string& request);
/// Serializes which endpoints begin a stream.
std::string SerializeStreamOrigin(const policy::OutputOrigin& origin);
/// Parses which endpoints began a stream. Errors: kInvalid.
base::Outcome<policy::OutputOrigin> ParseStreamOrigin(std::string_view value);

/// Name of the object that holds a job as submitted.
std::string SubmissionObjectName(const base::Organisation& organisation,
                                 const base::JobId& job);
/// Prefix of the name of the object that holds the output of a large result;
/// "." and the item's id follow it.
std::string OutputObjectName(const base::Organisation& organisation,
                             const base::JobId& job, std::size_t position);

}  // namespace gypsumtrack::gateway::layout

#endif  // GYPSUMTRACK_GATEWAY_SERVING_STORE_LAYOUT_H_
