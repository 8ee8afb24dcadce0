#ifndef GYPSUMTRACK_GATEWAY_CONFIG_STORE_H_
#define GYPSUMTRACK_GATEWAY_CONFIG_STORE_H_

#include <functional>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/platform/platform.h"
#include "gypsumtrack/policy/config_message.h"

/// The log of changes in the platform's table.
///
/// Rows: `config/head` (its version is the head's revision, as each append
/// writes it once), `config/log/<revision>`, `config/snapshot` (revision and
/// object of the last whole state).
namespace gypsumtrack::gateway {

using StoreReplyHandler = std::function<void(policy::StoreReply)>;

/// Calls the platform; the handler is called once, by the deadline and on the
/// platform's executor. Thread-safe. `vm` keeps the commits of two VMs apart.
void CallConfigStore(const platform::Platform& platform, const base::VmId& vm,
                     const policy::StoreRequest& request,
                     base::Instant deadline, StoreReplyHandler handler);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_CONFIG_STORE_H_
