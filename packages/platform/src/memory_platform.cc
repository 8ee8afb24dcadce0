#include "gypsumtrack/platform/memory_platform.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::platform {
namespace {

base::Status Conflict() {
  return base::Error(base::Errc::kConflict,
                     "a condition of the commit does not hold");
}

}  // namespace

base::Status MemoryPlatform::Commit(const base::TableCommit& commit) {
  const auto earlier = this->commit_results.find(commit.operation_id);
  if (earlier != this->commit_results.end()) {
    if (earlier->second) return base::Done{};
    return Conflict();
  }
  const bool holds = std::all_of(
      commit.conditions.begin(), commit.conditions.end(),
      [&](const base::RowCondition& condition) {
        const auto row = this->rows.find(condition.key);
        const auto version = row == this->rows.end() ? 0 : row->second.version;
        return version == condition.version;
      });
  this->commit_results.emplace(commit.operation_id, holds);
  if (!holds) return Conflict();
  for (const auto& write : commit.writes) {
    if (!write.value) {
      this->rows.erase(write.key);
      continue;
    }
    auto& row = this->rows[write.key];
    row.key = write.key;
    ++row.version;
    row.value = *write.value;
  }
  return base::Done{};
}

base::ScanReply MemoryPlatform::Scan(const base::TableScan& scan) const {
  base::ScanReply reply;
  auto row = scan.after < scan.prefix ? this->rows.lower_bound(scan.prefix)
                                      : this->rows.upper_bound(scan.after);
  for (; row != this->rows.end(); ++row) {
    if (row->first.compare(0, scan.prefix.size(), scan.prefix) != 0) break;
    if (reply.rows.size() == scan.limit) {
      reply.more = true;
      break;
    }
    reply.rows.push_back(row->second);
  }
  return reply;
}

base::Status MemoryPlatform::PutObject(const std::string& name,
                                       std::string bytes) {
  const auto [object, added] = this->objects.try_emplace(name, bytes);
  if (!added && object->second != bytes) {
    return base::Error(base::Errc::kConflict,
                       "object exists with other content: " + name);
  }
  return base::Done{};
}

void MemoryPlatform::RemoveObject(const std::string& name) {
  this->objects.erase(name);
}

void MemoryPlatform::SetVms(std::vector<base::ListedVm> vms) {
  this->listed_vms = std::move(vms);
}

base::Outcome<std::string> MemoryPlatform::GetObject(
    const std::string& name) const {
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) {
    return base::Error(base::Errc::kNotFound, "object does not exist: " + name);
  }
  return found->second;
}

const std::vector<base::ListedVm>& MemoryPlatform::vms() const {
  return this->listed_vms;
}

std::size_t MemoryPlatform::object_count() const {
  return this->objects.size();
}

}  // namespace gypsumtrack::platform
