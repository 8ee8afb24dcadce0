#include "gypsumtrack/base/log.h"

#include <atomic>

#include "gypsumtrack/base/event_log.h"

namespace gypsumtrack::base {
namespace {

std::atomic<LogLevel> minimum_level{LogLevel::kInfo};

}  // namespace

void SetLogLevel(LogLevel level) {
  minimum_level.store(level, std::memory_order_relaxed);
}

bool LogEnabled(LogLevel level) {
  return level >= minimum_level.load(std::memory_order_relaxed);
}

void WriteLog(LogLevel level, std::string_view prefix, std::string_view text) {
  LogEvent("note", {{"level", kLogLevelNames.Name(level)},
                    {"part", prefix},
                    {"text", text}});
}

}  // namespace gypsumtrack::base
