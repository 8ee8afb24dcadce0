#ifndef GYPSUMTRACK_PEER_MEMBERSHIP_CODEC_H_
#define GYPSUMTRACK_PEER_MEMBERSHIP_CODEC_H_

#include <json/value.h>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/membership.h"

/// Encodes membership messages as JSON. Member names are short because these
/// messages are the most frequent. All functions are thread-safe.
namespace gypsumtrack::peer {

/// Method names of the membership protocol.
inline constexpr auto kMembershipPing = "m.ping";
inline constexpr auto kMembershipSync = "m.sync";

/// Encodes a membership message.
Json::Value ToJson(const policy::MembershipMessage& message);
/// Decodes a membership message. Errors: kInvalid.
base::Outcome<policy::MembershipMessage> MembershipMessageFromJson(
    const Json::Value& in);

/// Encodes a sync request as an object of digests by failure domain.
Json::Value ToJson(const policy::SyncRequest& request);
/// Decodes a sync request. Errors: kInvalid.
base::Outcome<policy::SyncRequest> SyncRequestFromJson(const Json::Value& in);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_MEMBERSHIP_CODEC_H_
