#ifndef GYPSUMTRACK_BASE_EVENT_LOG_H_
#define GYPSUMTRACK_BASE_EVENT_LOG_H_

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Structured log on standard output. A background thread writes the lines, so
/// that callers never wait for output. Lines above the limits on queued bytes
/// and bytes per second are dropped and counted.
///
///     time=2026-01-02T03:04:05.678Z event=refused request=9c41 reason=no_room
namespace gypsumtrack::base {

/// A named value in a log line. Floating-point values have three decimals.
struct LogField {
  std::string_view name;
  std::string value;

  LogField(std::string_view field, std::string_view text)  // NOLINT
      : name(field), value(text) {}
  LogField(std::string_view field, const char* text)  // NOLINT
      : name(field), value(text) {}
  LogField(std::string_view field, const std::string& text)  // NOLINT
      : name(field), value(text) {}
  template <std::integral T>
  LogField(std::string_view field, T number)  // NOLINT
      : name(field), value(fmt::to_string(number)) {}
  LogField(std::string_view field, double number)  // NOLINT
      : name(field), value(fmt::format("{:.3f}", number)) {}
};

/// Queues one line. Never pass an API key, a prompt or a model output.
/// Thread-safe; never blocks on output.
void LogEvent(std::string_view event, std::initializer_list<LogField> fields);

/// Formats a line without timestamp and line feed. Values that are empty or
/// contain spaces, quotes, `=`, backslashes, tabs or line breaks are quoted,
/// with control characters replaced by spaces. Thread-safe.
std::string FormatEvent(std::string_view event,
                        std::initializer_list<LogField> fields);

/// Totals since the process started.
struct EventLogTotals {
  std::uint64_t lines = 0;    ///< accepted for writing
  std::uint64_t bytes = 0;    ///< of the accepted lines
  std::uint64_t dropped = 0;  ///< lines above a limit
};

/// Returns the totals of the process's log. Thread-safe.
EventLogTotals ReadEventLogTotals();

/// Writes all queued lines. Call it before the process exits. Thread-safe;
/// blocks until they are written.
void FlushEventLog();

namespace detail {

/// A queue of lines, bounded by queued bytes and by bytes accepted per second.
/// Not thread-safe.
class LogBuffer {
 public:
  LogBuffer(std::size_t max_queued_bytes, std::uint64_t bytes_per_second);

  /// Queues the line. Returns false, and counts it as dropped, above a limit.
  /// `now_millis` is in milliseconds since the epoch.
  bool Add(std::string_view line, std::uint64_t now_millis);
  /// Removes and returns all queued lines. A `log_dropped` line comes first if
  /// lines were dropped since the last call.
  std::string TakeAll();

  /// Totals since construction.
  const EventLogTotals& totals() const { return this->counters; }  // NOLINT

 private:
  std::size_t max_queued_bytes;
  std::uint64_t bytes_per_second;
  /// Second since the epoch to which `bytes_this_second` applies.
  std::uint64_t current_second = 0;
  std::uint64_t bytes_this_second = 0;
  std::uint64_t dropped_unreported = 0;
  std::string queued;
  EventLogTotals counters;
};

}  // namespace detail

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_EVENT_LOG_H_
