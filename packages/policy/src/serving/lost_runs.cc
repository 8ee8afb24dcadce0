#include "gypsumtrack/policy/serving/lost_runs.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {

LostRuns::LostRuns(std::size_t run_limit) : max_runs(run_limit) {}

bool LostRuns::Add(LostRun run) {
  if (this->count >= this->max_runs) return false;
  ++this->count;
  this->runs[run.endpoint].push_back(std::move(run));
  return true;
}

void LostRuns::OnProgress(const std::vector<CrashSuspect>& suspects) {
  const auto is_cleared = [&](const CrashSuspect& suspect) {
    return std::find(suspects.begin(), suspects.end(), suspect) !=
           suspects.end();
  };
  for (auto& [endpoint, lost] : this->runs) {
    for (auto& run : lost) std::erase_if(run.suspects, is_cleared);
  }
}

std::vector<LostRun> LostRuns::Take(const EndpointIncarnation& endpoint) {
  const auto found = this->runs.extract(endpoint);
  if (found.empty()) return {};
  auto lost = std::move(found.mapped());
  this->count -= lost.size();
  std::erase_if(lost, [](const LostRun& run) { return run.suspects.empty(); });
  return lost;
}

}  // namespace gypsumtrack::policy
