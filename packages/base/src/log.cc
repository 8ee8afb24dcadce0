#include "gypsumtrack/base/log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>

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
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  const auto line =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}\n",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                  millis, kLogLevelNames.Name(level), prefix, text);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace gypsumtrack::base
