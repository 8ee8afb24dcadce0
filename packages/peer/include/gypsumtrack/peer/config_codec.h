#ifndef GYPSUMTRACK_PEER_CONFIG_CODEC_H_
#define GYPSUMTRACK_PEER_CONFIG_CODEC_H_

#include <json/value.h>

#include <string>
#include <string_view>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/config_message.h"

/// Encodes configuration changes, states and messages as JSON, for messages to
/// peers, table rows and stored objects. All functions are thread-safe.
namespace gypsumtrack::peer {

/// Formats a value as JSON text without whitespace.
std::string WriteJson(const Json::Value& value);
/// Parses JSON text in strict mode. Errors: kInvalid if it is malformed or
/// nested too deeply.
base::Outcome<Json::Value> ReadJson(std::string_view text);

/// Encodes a change, its rules as canonical lines.
Json::Value EncodeChange(const policy::Change& change);
/// Decodes what EncodeChange returns. Errors: kInvalid.
base::Outcome<policy::Change> DecodeChange(const Json::Value& value);

/// Encodes the whole configuration of a revision.
Json::Value EncodeConfigState(const policy::ConfigState& state);
/// Decodes what EncodeConfigState returns. Errors: kInvalid.
base::Outcome<policy::ConfigState> DecodeConfigState(const Json::Value& value);

/// Encodes a message as an object with one member: the name of the message,
/// and as its value an object of the message's fields.
Json::Value EncodeConfigMessage(const policy::ConfigMessage& message);
/// Decodes what EncodeConfigMessage returns. Errors: kInvalid.
base::Outcome<policy::ConfigMessage> DecodeConfigMessage(
    const Json::Value& value);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_CONFIG_CODEC_H_
