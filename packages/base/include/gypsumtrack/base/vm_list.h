#ifndef GYPSUMTRACK_BASE_VM_LIST_H_
#define GYPSUMTRACK_BASE_VM_LIST_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// The platform's list of VMs, both entry VMs and endpoints. It may lag behind
/// the actual state.
namespace gypsumtrack::base {

/// What a listed VM runs.
enum class VmRole {
  kEntry,     ///< runs a daemon of the system
  kEndpoint,  ///< runs a model engine or a plain service
};

/// Names of the roles in the platform's JSON.
inline constexpr auto kVmRoleNames = MakeEnumTable<VmRole>({
    {VmRole::kEntry, "entry"},
    {VmRole::kEndpoint, "endpoint"},
});

/// Whether a listed VM is in service or about to stop.
enum class VmState {
  kLive,      ///< in service
  kDraining,  ///< about to stop
};

/// Names of the states in the platform's JSON.
inline constexpr auto kVmStateNames = MakeEnumTable<VmState>({
    {VmState::kLive, "live"},
    {VmState::kDraining, "leaving"},
});

/// One VM in the list.
struct ListedVm {
  std::string name;
  VmRole role = VmRole::kEntry;
  VmState state = VmState::kLive;
  /// `ip:port` of the peer listener (entry VM) or of the endpoint.
  std::string address;
  Location location;
  /// Endpoints only, like all members below.
  Service service;
  std::vector<Model> models;
  /// Maximum number of concurrent requests.
  std::uint32_t slots = 0;
  /// Rejects requests with an outdated fencing token.
  bool checks_fencing = false;

  bool operator==(const ListedVm&) const = default;
};

/// Receives the list or an error.
using VmListHandler = std::function<void(Outcome<std::vector<ListedVm>>)>;

/// Fetches the list. The handler is called exactly once, by the deadline.
using VmList = std::function<void(Instant deadline, VmListHandler)>;

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_VM_LIST_H_
