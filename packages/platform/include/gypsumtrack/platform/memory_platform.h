#ifndef GYPSUMTRACK_PLATFORM_MEMORY_PLATFORM_H_
#define GYPSUMTRACK_PLATFORM_MEMORY_PLATFORM_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/vm_list.h"

/// The platform's behaviour in memory, without transport or faults: the core of
/// the stand-in and of tests in virtual time.
namespace gypsumtrack::platform {

/// Not thread-safe.
class MemoryPlatform {
 public:
  // Commands.

  /// Applies the commit if all conditions hold; a repeated operation id returns
  /// the first result. Errors: kConflict.
  base::Status Commit(const base::TableCommit& commit);

  /// Errors: kConflict if an object of that name has other bytes.
  base::Status PutObject(const std::string& name, std::string bytes);
  void RemoveObject(const std::string& name);
  void SetVms(std::vector<base::ListedVm> listed);

  // Queries.

  base::ScanReply Scan(const base::TableScan& scan) const;

  /// Errors: kNotFound.
  base::Outcome<std::string> GetObject(const std::string& name) const;
  const std::vector<base::ListedVm>& vms() const;  // NOLINT
  std::size_t object_count() const;                // NOLINT

 private:
  std::map<std::string, base::Row> rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, bool> settled;
  std::vector<base::ListedVm> listed;
};

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_MEMORY_PLATFORM_H_
