#ifndef GYPSUMTRACK_BASE_UTF8_H_
#define GYPSUMTRACK_BASE_UTF8_H_

#include <string_view>

/// Validation of UTF-8 text (RFC 3629).
namespace gypsumtrack::base {

/// Whether the bytes are well-formed UTF-8: no stray, missing or overlong
/// bytes, no surrogates, nothing above U+10FFFF. JSON with other text can be
/// written but not parsed. Thread-safe.
bool IsUtf8(std::string_view bytes);

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_UTF8_H_
