#include "job_row_cache.h"

namespace gypsumtrack::gateway {
namespace {

constexpr std::size_t kMaxRows = 4096;

}  // namespace

void JobRowCache::Insert(const JobKey& key, const layout::JobRow& row) {
  this->rows[key] = row;
}

void JobRowCache::MakeRoom() {
  if (this->rows.size() >= kMaxRows) this->rows.clear();
}

const layout::JobRow* JobRowCache::Find(const JobKey& key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? nullptr : &found->second;
}

}  // namespace gypsumtrack::gateway
