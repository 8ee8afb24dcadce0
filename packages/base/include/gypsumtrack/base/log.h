#ifndef GYPSUMTRACK_BASE_LOG_H_
#define GYPSUMTRACK_BASE_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "gypsumtrack/base/enum_table.h"

/// Leveled text messages, written to the event log (event_log.h).
namespace gypsumtrack::base {

/// Severity in rising order; `kOff` as the minimum disables text messages.
enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

/// Names of the levels in settings and log lines.
inline constexpr auto kLogLevelNames = MakeEnumTable<LogLevel>({
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
    {LogLevel::kOff, "off"},
});

/// Sets the minimum level of the process. Messages below it are discarded.
/// Thread-safe.
void SetLogLevel(LogLevel level);

/// Whether messages of this level are written. Thread-safe.
bool LogEnabled(LogLevel level);

/// Writes one message without checking the level. Never pass an API key or a
/// prompt. Thread-safe.
void WriteLog(LogLevel level, std::string_view prefix, std::string_view text);

/// Logger of one component; `prefix` names the component.
///
///     constexpr base::Logger kLog{"peer"};
///     kLog.Info("Connected to {}.", address);
struct Logger {
  std::string_view prefix;

  /// Formats and writes a message if its level is enabled. Thread-safe, as are
  /// the methods below.
  template <typename... Args>
  void Debug(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kDebug, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Info(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kInfo, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Warning(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kWarning, format, std::forward<Args>(args)...);
  }
  template <typename... Args>
  void Error(fmt::format_string<Args...> format, Args&&... args) const {
    this->Write(LogLevel::kError, format, std::forward<Args>(args)...);
  }

 private:
  template <typename... Args>
  void Write(LogLevel level, fmt::format_string<Args...> format,
             Args&&... args) const {
    if (!LogEnabled(level)) return;
    WriteLog(level, this->prefix,
             fmt::format(format, std::forward<Args>(args)...));
  }
};

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_LOG_H_
