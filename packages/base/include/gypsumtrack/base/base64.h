#ifndef GYPSUMTRACK_BASE_BASE64_H_
#define GYPSUMTRACK_BASE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

/// Base64 encoding and decoding (RFC 4648 section 4, with padding).
namespace gypsumtrack::base {

/// Encodes bytes as Base64 text. Thread-safe.
std::string EncodeBase64(std::string_view bytes);
/// Decodes Base64 text; `nullopt` if the text isn't valid Base64. Thread-safe.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_BASE64_H_
