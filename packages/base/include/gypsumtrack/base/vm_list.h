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

/// The platform's lagging list of VMs, entry VMs and endpoints alike.
namespace gypsumtrack::base {

enum class VmRole {
  kEntry,     ///< runs a daemon of the system
  kEndpoint,  ///< runs a model engine or a plain service
};

inline constexpr auto kVmRoleNames = MakeEnumTable<VmRole>({
    {VmRole::kEntry, "entry"},
    {VmRole::kEndpoint, "endpoint"},
});

enum class VmState { kLive, kLeaving };

inline constexpr auto kVmStateNames = MakeEnumTable<VmState>({
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
});

struct ListedVm {
  std::string name;
  VmRole role = VmRole::kEntry;
  VmState state = VmState::kLive;
  /// `ip:port` of the peer listener or of the endpoint.
  std::string address;
  Location location;
  /// Endpoints only, as are those below.
  Service service;
  std::vector<Model> models;
  /// Requests that it runs at once.
  std::uint32_t slots = 0;
  /// Refuses orders with an old fencing number.
  bool checks_fencing = false;

  bool operator==(const ListedVm&) const = default;
};

using VmListHandler = std::function<void(Outcome<std::vector<ListedVm>>)>;

/// The handler is called exactly once, by the deadline.
using VmList = std::function<void(Instant deadline, VmListHandler)>;

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_VM_LIST_H_
