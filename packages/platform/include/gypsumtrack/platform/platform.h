#ifndef GYPSUMTRACK_PLATFORM_PLATFORM_H_
#define GYPSUMTRACK_PLATFORM_PLATFORM_H_

#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/vm_list.h"

/// Clients and stand-ins of the platform that the project runs on.
namespace gypsumtrack::platform {

/// The services that the platform offers to a process, as hooks.
struct Platform {
  base::Table table;
  base::ObjectStore objects;
  /// Lists the VMs of the deployment.
  base::VmList vms;
};

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_PLATFORM_H_
