#ifndef GYPSUMTRACK_PLATFORM_PLATFORM_H_
#define GYPSUMTRACK_PLATFORM_PLATFORM_H_

#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/vm_list.h"

/// All that the platform offers a process.
namespace gypsumtrack::platform {

struct Platform {
  base::Table table;
  base::ObjectStore objects;
  base::VmList vms;
};

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_PLATFORM_H_
