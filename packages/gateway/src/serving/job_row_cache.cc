#include "job_row_cache.h"

namespace gypsumtrack::gateway {

void JobRowCache::Insert(const JobKey& key, const layout::JobRow& row) {
  if (this->rows.size() >= kMaxRows) this->rows.clear();
  this->rows[key] = row;
}

const layout::JobRow* JobRowCache::Find(const JobKey& key) const {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? nullptr : &found->second;
}

}  // namespace gypsumtrack::gateway
