#ifndef GYPSUMTRACK_BASE_TABLE_H_
#define GYPSUMTRACK_BASE_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// The platform's transactional table as decisions see it: typed requests and
/// replies. The platform package carries them over HTTP.
namespace gypsumtrack::base {

/// A stored row. Versions rise by one with each write of the row, from 1.
struct Row {
  std::string key;
  std::uint64_t version = 0;
  std::string value;

  bool operator==(const Row&) const = default;
};

/// Holds if the row's version is `version`; 0 means that there is no row.
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

/// Sets the row's value; deletes the row if there is none.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;
};

/// Takes effect whole or not at all. A commit sent again under the same
/// operation id, after an answer was lost, reports its first result.
struct TableCommit {
  std::string operation_id;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// Rows with `prefix`, in key order, after `after`, at most `limit`.
struct TableScan {
  std::string prefix;
  std::string after;
  std::uint32_t limit = 1000;
};

struct ScanReply {
  std::vector<Row> rows;
  bool more = false;
};

/// Errors: kConflict (nothing changed), kUnavailable and kThrottled (nothing
/// was sent), kUnknown (may have taken effect).
using CommitHandler = std::function<void(Status)>;
using ScanHandler = std::function<void(Outcome<ScanReply>)>;
using ObjectHandler = std::function<void(Outcome<std::string>)>;
using StatusHandler = std::function<void(Status)>;

/// The platform's table. Each handler is called exactly once, by the deadline.
struct Table {
  std::function<void(TableCommit, Instant deadline, CommitHandler)> commit;
  std::function<void(TableScan, Instant deadline, ScanHandler)> scan;
};

/// The platform's object store. Objects are written whole and never changed.
struct ObjectStore {
  std::function<void(std::string name, std::string bytes, Instant deadline,
                     StatusHandler)>
      put;
  std::function<void(std::string name, Instant deadline, ObjectHandler)> get;
  std::function<void(std::string name, Instant deadline, StatusHandler)> remove;
};

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_TABLE_H_
