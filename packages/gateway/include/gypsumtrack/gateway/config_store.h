#ifndef GYPSUMTRACK_GATEWAY_CONFIG_STORE_H_
#define GYPSUMTRACK_GATEWAY_CONFIG_STORE_H_

#include <functional>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/platform/platform.h"
#include "gypsumtrack/policy/config_message.h"

/// Stores the configuration log in the platform's table.
///
/// Rows:
///  - `config/head`: the head's revision. Each append writes this row exactly
///    once, so the row's version equals the revision.
///  - `config/log/<revision>`: one change.
///  - `config/snapshot`: the name of the object that holds the last snapshot of
///    the full state. The name contains the snapshot's revision.
namespace gypsumtrack::gateway {

/// Receives the reply to a store request.
using StoreReplyHandler = std::function<void(policy::StoreReply)>;

/// Carries out a request to the log, in one or several calls to the platform.
/// `handler` is called once, by the deadline and on the platform's executor.
/// `vm` is part of the operation ids of commits, so that those of two VMs
/// differ. Errors are those of the platform's calls and of decoding the rows.
/// Thread-safe.
void CallConfigStore(const platform::Platform& platform, const base::VmId& vm,
                     const policy::StoreRequest& request,
                     base::Instant deadline, StoreReplyHandler handler);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_CONFIG_STORE_H_
