#ifndef GYPSUMTRACK_PLATFORM_MEMORY_PLATFORM_H_
#define GYPSUMTRACK_PLATFORM_MEMORY_PLATFORM_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/vm_list.h"

/// In-memory implementation of the platform without transport or faults. The
/// platform stand-in and tests in virtual time build on it.
namespace gypsumtrack::platform {

/// A table of versioned rows, an object store and a list of VMs. Not
/// thread-safe.
class MemoryPlatform {
 public:
  // Modifiers.

  /// Applies the commit if all conditions hold. A repeated operation id changes
  /// nothing and returns the first result. Errors: kConflict if a condition
  /// doesn't hold.
  base::Status Commit(const base::TableCommit& commit);

  /// Adds an object. Errors: kConflict if an object of that name has other
  /// bytes.
  base::Status PutObject(const std::string& name, std::string bytes);
  /// Does nothing if there is no such object.
  void RemoveObject(const std::string& name);
  /// Replaces the list of VMs.
  void SetVms(std::vector<base::ListedVm> vms);

  // Observers.

  /// Returns the rows of the prefix that follow `scan.after`, up to the limit.
  base::ScanReply Scan(const base::TableScan& scan) const;

  /// Returns the bytes of an object. Errors: kNotFound.
  base::Outcome<std::string> GetObject(const std::string& name) const;
  const std::vector<base::ListedVm>& vms() const;  // NOLINT
  std::size_t object_count() const;                // NOLINT

 private:
  std::map<std::string, base::Row> rows;
  std::map<std::string, std::string> objects;
  /// Whether each commit was applied, by operation id.
  std::map<std::string, bool> commit_results;
  std::vector<base::ListedVm> listed_vms;
};

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_MEMORY_PLATFORM_H_
