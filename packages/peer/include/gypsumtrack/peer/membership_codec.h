#ifndef GYPSUMTRACK_PEER_MEMBERSHIP_CODEC_H_
#define GYPSUMTRACK_PEER_MEMBERSHIP_CODEC_H_

#include <json/value.h>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/membership.h"

/// Membership messages as JSON, with short names since they are sent all the
/// time. Readers answer kInvalid for what is malformed. All thread-safe.
namespace gypsumtrack::peer {

inline constexpr auto kMembershipPing = "m.ping";
inline constexpr auto kMembershipSync = "m.sync";

Json::Value ToJson(const policy::MembershipMessage& message);
base::Outcome<policy::MembershipMessage> MembershipMessageFromJson(
    const Json::Value& in);

Json::Value ToJson(const policy::SyncRequest& request);
base::Outcome<policy::SyncRequest> SyncRequestFromJson(const Json::Value& in);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_MEMBERSHIP_CODEC_H_
