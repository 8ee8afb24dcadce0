#ifndef GYPSUMTRACK_GATEWAY_SRC_ONLINE_REPLIES_H_
#define GYPSUMTRACK_GATEWAY_SRC_ONLINE_REPLIES_H_

#include <string>

#include "gypsumtrack/base/error.h"
#include "gypsumtrack/gateway/admission.h"
#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/gateway/error_reply.h"
#include "gypsumtrack/policy/access.h"

/// Error replies and model lists for callers of online requests. All functions
/// are thread-safe.
namespace gypsumtrack::gateway {

/// Returns the reply to a request without a valid key.
ErrorReply UnauthorizedReply();

/// Returns the reply to a request whose body couldn't be read.
ErrorReply BodyErrorReply(const base::Error& error);

/// Returns the reply to a request that no rule allows.
ErrorReply AccessErrorReply(const base::Error& error);

/// Returns the reply to a request that wasn't admitted. Precondition: the
/// decision isn't kAdmitted.
ErrorReply AdmissionErrorReply(const Admission& admission, base::Instant now);

/// Returns the reply to a request that got no complete response.
ErrorReply DispatchErrorReply(const DispatchResult& result, base::Instant now);

/// Returns the models that the organisation may call, as JSON.
std::string ModelListJson(const policy::AccessSnapshot& access,
                          const base::Organisation& organisation);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_ONLINE_REPLIES_H_
