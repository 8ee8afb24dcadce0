#ifndef GYPSUMTRACK_GATEWAY_RFC3339_H_
#define GYPSUMTRACK_GATEWAY_RFC3339_H_

#include <optional>
#include <string>
#include <string_view>

#include "gypsumtrack/base/time.h"

/// Times in the format of RFC 3339.
namespace gypsumtrack::gateway {

/// Parses a time such as `2026-12-01T08:00:00Z`, with an optional fraction of a
/// second, and an offset such as `+02:00` in place of `Z`. Digits beyond
/// milliseconds are ignored. Returns none if the text is malformed.
/// Thread-safe.
std::optional<base::WallTime> ParseRfc3339(std::string_view text);

/// Formats the time in UTC, with milliseconds. Thread-safe.
std::string FormatRfc3339(base::WallTime time);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_RFC3339_H_
