#ifndef GYPSUMTRACK_PEER_CONFIG_CODEC_H_
#define GYPSUMTRACK_PEER_CONFIG_CODEC_H_

#include <json/value.h>

#include <string>
#include <string_view>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/config_message.h"

/// Configuration changes and states as JSON, for peers, table rows and objects.
namespace gypsumtrack::peer {

/// JSON without spaces. Thread-safe, as are all functions here.
std::string WriteJson(const Json::Value& value);
/// Errors: kInvalid.
base::Outcome<Json::Value> ReadJson(std::string_view text);

Json::Value EncodeChange(const policy::Change& change);
/// Errors: kInvalid.
base::Outcome<policy::Change> DecodeChange(const Json::Value& value);

Json::Value EncodeConfigState(const policy::ConfigState& state);
/// Errors: kInvalid.
base::Outcome<policy::ConfigState> DecodeConfigState(const Json::Value& value);

/// An object with one member: the message's name and its fields.
Json::Value EncodeConfigMessage(const policy::ConfigMessage& message);
/// Errors: kInvalid.
base::Outcome<policy::ConfigMessage> DecodeConfigMessage(
    const Json::Value& value);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_CONFIG_CODEC_H_
