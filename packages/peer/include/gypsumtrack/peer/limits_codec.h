#ifndef GYPSUMTRACK_PEER_LIMITS_CODEC_H_
#define GYPSUMTRACK_PEER_LIMITS_CODEC_H_

#include <json/value.h>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/limit_messages.h"

/// Messages about limits as JSON arrays, which are shorter than objects: the
/// kind, then the fields in the order of their declaration.
namespace gypsumtrack::peer {

/// Thread-safe.
Json::Value EncodeLimitMessage(const policy::LimitMessage& message);

/// Errors: kInvalid. Thread-safe.
base::Outcome<policy::LimitMessage> DecodeLimitMessage(const Json::Value& json);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_LIMITS_CODEC_H_
