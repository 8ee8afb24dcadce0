#include "gypsumtrack/peer/config_codec.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <utility>

namespace gypsumtrack::peer {
namespace {

using policy::Change;
using policy::ChangeOrigin;
using policy::KeyGrant;
using policy::KeyWithdrawal;
using policy::Rule;
using policy::RuleEdit;
using policy::RulesDelta;

base::Error Malformed(const char* what) {
  return {base::Errc::kInvalid, std::string("malformed ") + what};
}

bool IsString(const Json::Value& object, const char* name) {
  return object[name].isString();
}

bool IsUint64(const Json::Value& object, const char* name) {
  return object[name].isUInt64();
}

Json::Value NumberToJson(std::uint64_t number) {
  return Json::Value(static_cast<Json::UInt64>(number));
}

Json::Value MillisToJson(base::WallTime at) {
  const auto millis = at.time_since_epoch().count();
  return Json::Value(static_cast<Json::Int64>(millis));
}

base::WallTime ToWallTime(const Json::Value& value) {
  return base::WallTime(std::chrono::milliseconds(value.asInt64()));
}

/// A rule is encoded as its canonical line in the rules file syntax.
std::optional<Rule> DecodeRule(const Json::Value& value) {
  if (!value.isString()) return std::nullopt;
  auto rules = policy::ParseRules(value.asString());
  if (!rules.ok() || rules->size() != 1) return std::nullopt;
  return std::move(rules->front());
}

Json::Value EncodeEdit(const RuleEdit& edit) {
  Json::Value value(Json::objectValue);
  if (edit.before) value["before"] = policy::FormatRule(*edit.before);
  if (edit.after) value["after"] = policy::FormatRule(*edit.after);
  if (edit.replaces != 0) value["replaces"] = NumberToJson(edit.replaces);
  return value;
}

std::optional<RuleEdit> DecodeEdit(const Json::Value& value) {
  if (!value.isObject()) return std::nullopt;
  RuleEdit edit;
  if (value.isMember("before")) {
    edit.before = DecodeRule(value["before"]);
    if (!edit.before) return std::nullopt;
  }
  if (value.isMember("after")) {
    edit.after = DecodeRule(value["after"]);
    if (!edit.after) return std::nullopt;
  }
  if (!edit.before && !edit.after) return std::nullopt;
  if (IsUint64(value, "replaces")) edit.replaces = value["replaces"].asUInt64();
  return edit;
}

Json::Value EncodeGrant(const KeyGrant& grant) {
  Json::Value value(Json::objectValue);
  value["hash"] = grant.hash;
  value["org"] = grant.organisation.text;
  value["label"] = grant.label;
  return value;
}

std::optional<KeyGrant> DecodeGrant(const Json::Value& value) {
  if (!value.isObject() || !IsString(value, "hash") ||
      !IsString(value, "org") || !IsString(value, "label")) {
    return std::nullopt;
  }
  return KeyGrant{value["hash"].asString(),
                  base::Organisation(value["org"].asString()),
                  value["label"].asString()};
}

struct BodyEncoder {
  Json::Value& value;

  void operator()(const RulesDelta& delta) const {
    auto& edits = this->value["edits"] = Json::Value(Json::arrayValue);
    for (const auto& edit : delta.edits) edits.append(EncodeEdit(edit));
  }
  void operator()(const KeyGrant& grant) const {
    this->value["grant"] = EncodeGrant(grant);
  }
  void operator()(const KeyWithdrawal& withdrawal) const {
    auto& hashes = this->value["withdrawn"] = Json::Value(Json::arrayValue);
    for (const auto& hash : withdrawal.hashes) hashes.append(hash);
  }
};

std::optional<RulesDelta> DecodeDelta(const Json::Value& edits) {
  if (!edits.isArray()) return std::nullopt;
  RulesDelta delta;
  for (const auto& item : edits) {
    auto edit = DecodeEdit(item);
    if (!edit) return std::nullopt;
    delta.edits.push_back(std::move(*edit));
  }
  return delta;
}

std::optional<KeyWithdrawal> DecodeWithdrawal(const Json::Value& hashes) {
  if (!hashes.isArray()) return std::nullopt;
  KeyWithdrawal withdrawal;
  for (const auto& hash : hashes) {
    if (!hash.isString()) return std::nullopt;
    withdrawal.hashes.push_back(hash.asString());
  }
  return withdrawal;
}

std::optional<policy::ChangeBody> DecodeBody(const Json::Value& value) {
  if (value.isMember("edits")) return DecodeDelta(value["edits"]);
  if (value.isMember("grant")) return DecodeGrant(value["grant"]);
  return DecodeWithdrawal(value["withdrawn"]);
}

Json::Value EncodeOrigin(const ChangeOrigin& origin) {
  Json::Value value(Json::objectValue);
  value["revision"] = NumberToJson(origin.revision);
  value["author"] = origin.author;
  value["at"] = MillisToJson(origin.changed_at);
  return value;
}

std::optional<ChangeOrigin> DecodeOrigin(const Json::Value& value) {
  if (!value.isObject() || !IsUint64(value, "revision") ||
      !IsString(value, "author") || !value["at"].isInt64()) {
    return std::nullopt;
  }
  return ChangeOrigin{value["revision"].asUInt64(), value["author"].asString(),
                      ToWallTime(value["at"])};
}

}  // namespace

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

base::Outcome<Json::Value> ReadJson(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  const char* begin = text.data();
  try {
    if (reader->parse(begin, begin + text.size(), &value, &errors)) {
      return value;
    }
  } catch (const std::exception& failure) {
    // JsonCpp throws when the nesting exceeds its stack limit.
    errors = failure.what();
  }
  return base::Error(base::Errc::kInvalid, "malformed JSON: " + errors);
}

Json::Value EncodeChange(const Change& change) {
  Json::Value value(Json::objectValue);
  value["revision"] = NumberToJson(change.revision);
  value["base"] = NumberToJson(change.base);
  value["operation"] = change.operation_id;
  value["author"] = change.author;
  value["at"] = MillisToJson(change.changed_at);
  std::visit(BodyEncoder{value}, change.body);
  return value;
}

base::Outcome<Change> DecodeChange(const Json::Value& value) {
  if (!value.isObject() || !IsUint64(value, "revision") ||
      !IsUint64(value, "base") || !IsString(value, "operation") ||
      !IsString(value, "author") || !value["at"].isInt64()) {
    return Malformed("change");
  }
  auto body = DecodeBody(value);
  if (!body) return Malformed("change body");
  return Change{value["revision"].asUInt64(),  value["base"].asUInt64(),
                value["operation"].asString(), value["author"].asString(),
                ToWallTime(value["at"]),       std::move(*body)};
}

Json::Value EncodeConfigState(const policy::ConfigState& state) {
  Json::Value value(Json::objectValue);
  value["revision"] = NumberToJson(state.revision);
  auto& rules = value["rules"] = Json::Value(Json::arrayValue);
  for (const auto& [id, entry] : state.rules) {
    auto item = EncodeOrigin(entry.origin);
    item["rule"] = policy::FormatRule(entry.rule);
    rules.append(std::move(item));
  }
  auto& keys = value["keys"] = Json::Value(Json::arrayValue);
  for (const auto& [hash, entry] : state.keys) {
    auto item = EncodeOrigin(entry.origin);
    item["grant"] = EncodeGrant(entry.grant);
    keys.append(std::move(item));
  }
  auto& withdrawn = value["withdrawn"] = Json::Value(Json::objectValue);
  for (const auto& [hash, revision] : state.withdrawn) {
    withdrawn[hash] = NumberToJson(revision);
  }
  return value;
}

base::Outcome<policy::ConfigState> DecodeConfigState(const Json::Value& value) {
  if (!value.isObject() || !IsUint64(value, "revision") ||
      !value["rules"].isArray() || !value["keys"].isArray() ||
      !value["withdrawn"].isObject()) {
    return Malformed("configuration");
  }
  policy::ConfigState state;
  state.revision = value["revision"].asUInt64();
  for (const auto& item : value["rules"]) {
    const auto origin = DecodeOrigin(item);
    const auto rule = DecodeRule(item["rule"]);
    if (!origin || !rule) return Malformed("rule entry");
    state.rules[rule->id] = {*rule, *origin};
  }
  for (const auto& item : value["keys"]) {
    const auto origin = DecodeOrigin(item);
    const auto grant = DecodeGrant(item["grant"]);
    if (!origin || !grant) return Malformed("key entry");
    state.keys[grant->hash] = {*grant, *origin};
  }
  for (const auto& hash : value["withdrawn"].getMemberNames()) {
    const auto& revision = value["withdrawn"][hash];
    if (!revision.isUInt64()) return Malformed("withdrawal");
    state.withdrawn[hash] = revision.asUInt64();
  }
  return state;
}

}  // namespace gypsumtrack::peer
