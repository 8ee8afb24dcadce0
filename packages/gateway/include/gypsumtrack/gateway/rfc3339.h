#ifndef GYPSUMTRACK_GATEWAY_RFC3339_H_
#define GYPSUMTRACK_GATEWAY_RFC3339_H_

#include <optional>
#include <string>
#include <string_view>

#include "gypsumtrack/base/time.h"

/// Calendar times as callers write them.
namespace gypsumtrack::gateway {

/// Reads `2026-12-01T08:00:00Z`, with an optional fraction and an offset such
/// as `+02:00` in place of the Z. Thread-safe.
std::optional<base::WallTime> ParseRfc3339(std::string_view text);

/// In UTC, with milliseconds. Thread-safe.
std::string FormatRfc3339(base::WallTime time);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_RFC3339_H_
