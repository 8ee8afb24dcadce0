#include "gypsumtrack/policy/serving/daemon_leases.h"

#include <utility>

namespace gypsumtrack::policy {

DaemonLeases::DaemonLeases(DaemonLeaseOptions options) : options(options) {}

void DaemonLeases::Observe(const std::vector<LeaseRow>& rows,
                           base::Instant now) {
  const bool gap = now - this->read_at > 2 * this->options.heartbeat_period;
  std::map<std::string, Seen> next;
  for (const auto& row : rows) {
    Seen seen{row.daemon.incarnation, row.version, now};
    const auto found = this->daemons.find(row.daemon.name);
    if (!gap && found != this->daemons.end() &&
        found->second.version == row.version) {
      seen.changed_at = found->second.changed_at;
    }
    next[row.daemon.name] = seen;
  }
  this->daemons = std::move(next);
  this->read_at = now;
  this->has_read = true;
}

bool DaemonLeases::Expired(const Seen& seen) const {
  return this->read_at - seen.changed_at >= this->options.lease;
}

const DaemonLeases::Seen* DaemonLeases::Find(const base::VmId& daemon) const {
  const auto found = this->daemons.find(daemon.name);
  if (found == this->daemons.end()) return nullptr;
  const bool same = found->second.incarnation == daemon.incarnation;
  return same ? &found->second : nullptr;
}

bool DaemonLeases::HasLostLease(const base::VmId& daemon) const {
  if (!this->has_read) return false;
  const auto* seen = this->Find(daemon);
  return seen == nullptr || this->Expired(*seen);
}

bool DaemonLeases::MayServe(const base::VmId& daemon) const {
  const auto* seen = this->Find(daemon);
  if (seen == nullptr) return false;
  const auto still = this->read_at - seen->changed_at;
  return still < this->options.lease + this->options.serves_on;
}

std::vector<base::VmId> DaemonLeases::Holders() const {
  std::vector<base::VmId> holders;
  for (const auto& [name, seen] : this->daemons) {
    if (!this->Expired(seen)) holders.push_back({name, seen.incarnation});
  }
  return holders;
}

}  // namespace gypsumtrack::policy
