#ifndef GYPSUMTRACK_GATEWAY_SRC_ONLINE_REPLIES_H_
#define GYPSUMTRACK_GATEWAY_SRC_ONLINE_REPLIES_H_

#include <string>

#include "gypsumtrack/base/error.h"
#include "gypsumtrack/gateway/admission.h"
#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/gateway/error_reply.h"
#include "gypsumtrack/policy/access.h"

/// What callers are told. All thread-safe.
namespace gypsumtrack::gateway {

ErrorReply Unauthorized();

/// Why a body wasn't taken.
ErrorReply BodyReply(const base::Error& error);

/// Why a request isn't allowed.
ErrorReply GrantReply(const base::Error& error);

/// Precondition: the verdict is a refusal.
ErrorReply AdmissionReply(const Admission& admission, base::Instant now);

/// Why no whole answer came.
ErrorReply FailureReply(const DispatchResult& result, base::Instant now);

/// The models that the organisation may call, as JSON.
std::string ModelList(const policy::AccessSnapshot& access,
                      const base::Organisation& organisation);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_ONLINE_REPLIES_H_
