#ifndef GYPSUMTRACK_PEER_LIMITS_CODEC_H_
#define GYPSUMTRACK_PEER_LIMITS_CODEC_H_

#include <json/value.h>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/limit_messages.h"

/// Encodes limit messages as JSON arrays, which are shorter than objects: the
/// index of the message in policy::LimitMessage, then its fields in a fixed
/// order.
namespace gypsumtrack::peer {

/// Encodes a message. Thread-safe.
Json::Value EncodeLimitMessage(const policy::LimitMessage& message);

/// Decodes what EncodeLimitMessage returns. Errors: kInvalid if a field is
/// missing, superfluous or of another type. Thread-safe.
base::Outcome<policy::LimitMessage> DecodeLimitMessage(const Json::Value& json);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_LIMITS_CODEC_H_
