#include <array>
#include <utility>

#include "gypsumtrack/peer/config_codec.h"

namespace gypsumtrack::peer {
namespace {

using policy::ConfigMessage;
using DecodeResult = std::optional<ConfigMessage>;

Json::Value NumberToJson(std::uint64_t number) {
  return Json::Value(static_cast<Json::UInt64>(number));
}

Json::Value MicrosToJson(base::Duration duration) {
  return Json::Value(static_cast<Json::Int64>(duration.count()));
}

std::uint32_t ToUint32(const Json::Value& value) {
  return value.isUInt() ? value.asUInt() : 0;
}

std::optional<base::Duration> ToDuration(const Json::Value& value) {
  if (!value.isInt64() || value.asInt64() < 0) return std::nullopt;
  return base::Duration(value.asInt64());
}

Json::Value EncodeStrings(const std::vector<std::string>& strings) {
  Json::Value value(Json::arrayValue);
  for (const auto& text : strings) value.append(text);
  return value;
}

std::optional<std::vector<std::string>> DecodeStrings(
    const Json::Value& value) {
  if (!value.isArray()) return std::nullopt;
  std::vector<std::string> strings;
  for (const auto& item : value) {
    if (!item.isString()) return std::nullopt;
    strings.push_back(item.asString());
  }
  return strings;
}

Json::Value EncodeCounts(const policy::RevisionCounts& counts) {
  Json::Value value(Json::arrayValue);
  for (const auto& [revision, vms] : counts) {
    value.append(NumberToJson(revision));
    value.append(vms);
  }
  return value;
}

std::optional<policy::RevisionCounts> DecodeCounts(const Json::Value& value) {
  if (!value.isArray() || value.size() % 2 != 0) return std::nullopt;
  policy::RevisionCounts counts;
  for (Json::ArrayIndex i = 0; i < value.size(); i += 2) {
    if (!value[i].isUInt64() || !value[i + 1].isUInt()) return std::nullopt;
    counts[value[i].asUInt64()] = value[i + 1].asUInt();
  }
  return counts;
}

/// Wire names of the messages, in the order of the alternatives of
/// ConfigMessage.
constexpr std::array<const char*, std::variant_size_v<ConfigMessage>>
    kMessageNames = {"announce", "push",        "fetch", "state",  "report",
                     "withdraw", "withdrawAck", "pend",  "status", "told"};

struct Encoder {
  Json::Value& value;

  void operator()(const policy::AnnounceHead& announce) const {
    this->value["revision"] = NumberToJson(announce.revision);
    if (announce.confirmation_age)
      this->value["age"] = MicrosToJson(*announce.confirmation_age);
    if (announce.outside_contact_age)
      this->value["outside"] = MicrosToJson(*announce.outside_contact_age);
    if (announce.withdrawals_digest != 0) {
      this->value["withdrawals"] = NumberToJson(announce.withdrawals_digest);
    }
  }
  void operator()(const policy::PushChanges& push) const {
    this->value["head"] = NumberToJson(push.head);
    auto& changes = this->value["changes"] = Json::Value(Json::arrayValue);
    for (const auto& change : push.changes) {
      changes.append(EncodeChange(change));
    }
  }
  void operator()(const policy::FetchChanges& fetch) const {
    this->value["after"] = NumberToJson(fetch.after);
  }
  void operator()(const policy::PushState& push) const {
    this->value["state"] = EncodeConfigState(push.state);
  }
  void operator()(const policy::ReportRevisions& report) const {
    this->value["revision"] = NumberToJson(report.revision);
    this->value["counts"] = EncodeCounts(report.counts);
  }
  void operator()(const policy::WithdrawKeys& message) const {
    this->value["round"] = message.round;
    this->value["hashes"] = EncodeStrings(message.hashes);
    if (message.fan_out) this->value["fanOut"] = true;
  }
  void operator()(const policy::WithdrawAck& ack) const {
    this->value["round"] = ack.round;
    this->value["inForce"] = ack.in_force;
    this->value["vms"] = ack.vms;
  }
  void operator()(const policy::PendingWithdrawals& pending) const {
    this->value["hashes"] = EncodeStrings(pending.hashes);
    if (pending.reply) this->value["reply"] = true;
  }
  void operator()(const policy::QueryStatus& query) const {
    this->value["round"] = query.round;
  }
  void operator()(const policy::ReportStatus& report) const {
    this->value["round"] = report.round;
    this->value["counts"] = EncodeCounts(report.counts);
    this->value["vms"] = report.vms;
  }
};

DecodeResult DecodeAnnounce(const Json::Value& value) {
  if (!value["revision"].isUInt64()) return std::nullopt;
  policy::AnnounceHead announce;
  announce.revision = value["revision"].asUInt64();
  announce.confirmation_age = ToDuration(value["age"]);
  announce.outside_contact_age = ToDuration(value["outside"]);
  if (value["withdrawals"].isUInt64()) {
    announce.withdrawals_digest = value["withdrawals"].asUInt64();
  }
  return announce;
}

DecodeResult DecodePush(const Json::Value& value) {
  if (!value["head"].isUInt64() || !value["changes"].isArray()) {
    return std::nullopt;
  }
  policy::PushChanges push;
  push.head = value["head"].asUInt64();
  for (const auto& item : value["changes"]) {
    auto change = DecodeChange(item);
    if (!change.ok()) return std::nullopt;
    push.changes.push_back(std::move(*change));
  }
  return push;
}

DecodeResult DecodeFetch(const Json::Value& value) {
  if (!value["after"].isUInt64()) return std::nullopt;
  return policy::FetchChanges{value["after"].asUInt64()};
}

DecodeResult DecodeState(const Json::Value& value) {
  auto state = DecodeConfigState(value["state"]);
  if (!state.ok()) return std::nullopt;
  return policy::PushState{std::move(*state)};
}

DecodeResult DecodeReport(const Json::Value& value) {
  auto counts = DecodeCounts(value["counts"]);
  if (!counts || !value["revision"].isUInt64()) return std::nullopt;
  return policy::ReportRevisions{value["revision"].asUInt64(),
                                 std::move(*counts)};
}

DecodeResult DecodeWithdraw(const Json::Value& value) {
  auto hashes = DecodeStrings(value["hashes"]);
  if (!hashes || !value["round"].isString()) return std::nullopt;
  return policy::WithdrawKeys{value["round"].asString(), std::move(*hashes),
                              value["fanOut"].isBool()};
}

DecodeResult DecodeAck(const Json::Value& value) {
  if (!value["round"].isString()) return std::nullopt;
  return policy::WithdrawAck{value["round"].asString(),
                             ToUint32(value["inForce"]),
                             ToUint32(value["vms"])};
}

DecodeResult DecodePending(const Json::Value& value) {
  auto hashes = DecodeStrings(value["hashes"]);
  if (!hashes) return std::nullopt;
  return policy::PendingWithdrawals{std::move(*hashes),
                                    value["reply"].isBool()};
}

DecodeResult DecodeQueryStatus(const Json::Value& value) {
  if (!value["round"].isString()) return std::nullopt;
  return policy::QueryStatus{value["round"].asString()};
}

DecodeResult DecodeReportStatus(const Json::Value& value) {
  auto counts = DecodeCounts(value["counts"]);
  if (!counts || !value["round"].isString()) return std::nullopt;
  return policy::ReportStatus{value["round"].asString(), std::move(*counts),
                              ToUint32(value["vms"])};
}

constexpr std::array<DecodeResult (*)(const Json::Value&), kMessageNames.size()>
    kDecoders = {DecodeAnnounce,    DecodePush,    DecodeFetch,
                 DecodeState,       DecodeReport,  DecodeWithdraw,
                 DecodeAck,         DecodePending, DecodeQueryStatus,
                 DecodeReportStatus};

}  // namespace

Json::Value EncodeConfigMessage(const ConfigMessage& message) {
  Json::Value value(Json::objectValue);
  auto& fields = value[kMessageNames[message.index()]];
  fields = Json::Value(Json::objectValue);
  std::visit(Encoder{fields}, message);
  return value;
}

base::Outcome<ConfigMessage> DecodeConfigMessage(const Json::Value& value) {
  const base::Error malformed(base::Errc::kInvalid,
                              "malformed configuration message");
  if (!value.isObject() || value.size() != 1) return malformed;
  for (std::size_t i = 0; i < kMessageNames.size(); ++i) {
    const auto& fields = value[kMessageNames[i]];
    if (!fields.isObject()) continue;
    auto message = kDecoders[i](fields);
    if (!message) return malformed;
    return std::move(*message);
  }
  return malformed;
}

}  // namespace gypsumtrack::peer
