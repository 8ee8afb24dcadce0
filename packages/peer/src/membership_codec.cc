#include "gypsumtrack/peer/membership_codec.h"

#include <exception>
#include <utility>

namespace gypsumtrack::peer {
namespace {

Json::Value NumberToJson(std::uint64_t number) {
  return Json::Value(static_cast<Json::UInt64>(number));
}

/// An array: name, incarnation, generation, status, shutting down, address,
/// failure domain, region.
Json::Value ToJson(const policy::MemberUpdate& update) {
  Json::Value out(Json::arrayValue);
  out.append(update.id.name);
  out.append(NumberToJson(update.id.incarnation));
  out.append(update.generation);
  out.append(static_cast<int>(update.status));
  out.append(update.shutting_down ? 1 : 0);
  out.append(update.address);
  out.append(update.location.domain.text);
  out.append(update.location.region.text);
  return out;
}

policy::MemberUpdate UpdateFromJson(const Json::Value& in) {
  constexpr Json::ArrayIndex kFields = 8;
  if (!in.isArray() || in.size() != kFields) {
    throw Json::LogicError("a member update must have eight fields");
  }
  policy::MemberUpdate update;
  update.id.name = in[0].asString();
  update.id.incarnation = in[1].asUInt64();
  update.generation = in[2].asUInt();
  const auto status = in[3].asUInt();
  if (status > static_cast<unsigned>(policy::MemberStatus::kLost)) {
    throw Json::LogicError("unknown member status");
  }
  update.status = static_cast<policy::MemberStatus>(status);
  update.shutting_down = in[4].asUInt() != 0;
  update.address = in[5].asString();
  update.location.domain.text = in[6].asString();
  update.location.region.text = in[7].asString();
  return update;
}

/// Decodes an object with `read`; exceptions of the JSON library become
/// kInvalid.
template <typename T, typename Read>
base::Outcome<T> DecodeObject(const Json::Value& in, const Read& read) {
  try {
    if (!in.isObject()) throw Json::LogicError("not an object");
    return read(in);
  } catch (const std::exception& error) {
    return base::Error(base::Errc::kInvalid, error.what());
  }
}

policy::MembershipMessage MessageFromJson(const Json::Value& in) {
  policy::MembershipMessage message;
  message.incarnation = in["i"].asUInt64();
  message.generation = in["g"].asUInt();
  message.digest = in["d"].asUInt64();
  for (const auto& update : in["u"]) {
    message.updates.push_back(UpdateFromJson(update));
  }
  for (const auto& heartbeat : in["b"]) {
    message.heartbeats.push_back({base::FailureDomain(heartbeat[0].asString()),
                                  heartbeat[1].asUInt64()});
  }
  for (const auto& endpoint : in["e"]) {
    message.draining_endpoints.emplace_back(endpoint.asString());
  }
  return message;
}

policy::SyncRequest RequestFromJson(const Json::Value& in) {
  policy::SyncRequest request;
  for (const auto& domain : in.getMemberNames()) {
    request.digests[domain] = in[domain].asUInt64();
  }
  return request;
}

}  // namespace

Json::Value ToJson(const policy::MembershipMessage& message) {
  Json::Value out(Json::objectValue);
  out["i"] = NumberToJson(message.incarnation);
  if (message.generation != 0) out["g"] = message.generation;
  out["d"] = NumberToJson(message.digest);
  for (const auto& update : message.updates) out["u"].append(ToJson(update));
  for (const auto& heartbeat : message.heartbeats) {
    Json::Value pair(Json::arrayValue);
    pair.append(heartbeat.domain.text);
    pair.append(NumberToJson(heartbeat.counter));
    out["b"].append(std::move(pair));
  }
  for (const auto& id : message.draining_endpoints) out["e"].append(id.text);
  return out;
}

base::Outcome<policy::MembershipMessage> MembershipMessageFromJson(
    const Json::Value& in) {
  return DecodeObject<policy::MembershipMessage>(in, MessageFromJson);
}

Json::Value ToJson(const policy::SyncRequest& request) {
  Json::Value out(Json::objectValue);
  for (const auto& [domain, digest] : request.digests) {
    out[domain] = NumberToJson(digest);
  }
  return out;
}

base::Outcome<policy::SyncRequest> SyncRequestFromJson(const Json::Value& in) {
  return DecodeObject<policy::SyncRequest>(in, RequestFromJson);
}

}  // namespace gypsumtrack::peer
