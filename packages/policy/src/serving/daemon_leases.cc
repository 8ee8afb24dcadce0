#include "gypsumtrack/policy/serving/daemon_leases.h"

#include <utility>

namespace gypsumtrack::policy {

DaemonLeases::DaemonLeases(DaemonLeaseOptions options) : options(options) {}

void DaemonLeases::Observe(const std::vector<LeaseRow>& rows,
                           base::Instant now) {
  const bool reads_interrupted =
      now - this->read_at > 2 * this->options.heartbeat_period;
  std::map<std::string, Heartbeat> next;
  for (const auto& row : rows) {
    Heartbeat heartbeat{row.daemon.incarnation, row.version, now};
    const auto found = this->heartbeats.find(row.daemon.name);
    if (!reads_interrupted && found != this->heartbeats.end() &&
        found->second.version == row.version) {
      heartbeat.changed_at = found->second.changed_at;
    }
    next[row.daemon.name] = heartbeat;
  }
  this->heartbeats = std::move(next);
  this->read_at = now;
  this->has_read = true;
}

bool DaemonLeases::Expired(const Heartbeat& heartbeat) const {
  return this->read_at - heartbeat.changed_at >= this->options.lease_duration;
}

const DaemonLeases::Heartbeat* DaemonLeases::Find(
    const base::VmId& daemon) const {
  const auto found = this->heartbeats.find(daemon.name);
  if (found == this->heartbeats.end()) return nullptr;
  const bool same_incarnation = found->second.incarnation == daemon.incarnation;
  return same_incarnation ? &found->second : nullptr;
}

bool DaemonLeases::HasLostLease(const base::VmId& daemon) const {
  if (!this->has_read) return false;
  const auto* heartbeat = this->Find(daemon);
  return heartbeat == nullptr || this->Expired(*heartbeat);
}

bool DaemonLeases::MayServe(const base::VmId& daemon) const {
  const auto* heartbeat = this->Find(daemon);
  if (heartbeat == nullptr) return false;
  const auto unchanged_for = this->read_at - heartbeat->changed_at;
  return unchanged_for <
         this->options.lease_duration + this->options.serving_grace_period;
}

std::vector<base::VmId> DaemonLeases::Holders() const {
  std::vector<base::VmId> holders;
  for (const auto& [name, heartbeat] : this->heartbeats) {
    if (!this->Expired(heartbeat)) {
      holders.push_back({name, heartbeat.incarnation});
    }
  }
  return holders;
}

}  // namespace gypsumtrack::policy
