#include <fmt/format.h>
#ifdef __GLIBC__
#include <malloc.h>
#endif

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/base/log.h"
#include "gypsumtrack/gateway/daemon.h"
#include "gypsumtrack/gateway/serving/serving_daemon.h"
#include "gypsumtrack/gateway/settings.h"
#include "gypsumtrack/site/adapter.h"

/// The entry point of the daemon: parses the settings and handles signals.
namespace gypsumtrack {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr base::Logger kLog{"main"};

/// Sets ServingSettings::second_try_share.
constexpr const char* kSecondTryVariable = "GYPSUMTRACK_SECOND_TRY_SHARE";
constexpr double kMaxSecondTryShare = 0.2;

/// Returns nullopt unless the text is a share that is allowed.
std::optional<double> ParseShare(const std::string& text) {
  double share = 0;
  const auto* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, share);
  const bool is_share = error == std::errc() && parsed_end == end &&
                        share >= 0 && share <= kMaxSecondTryShare;
  return is_share ? std::optional(share) : std::nullopt;
}

/// Runs the daemon of a platform deployment with the settings file of the
/// platform. Returns the exit code.
int RunOnPlatform(const std::string& settings_file,
                  const gateway::Environment& environment) {
  auto settings = site::ReadSettingsFile(settings_file);
  if (!settings.ok()) {
    kLog.Error("Can't start: {}.", settings.error().message);
    return kExitUsage;
  }
  if (const auto share = environment(kSecondTryVariable)) {
    const auto value = ParseShare(*share);
    if (!value) {
      kLog.Error("Can't start: {} is \"{}\", allowed: a number from 0 to {}.",
                 kSecondTryVariable, *share, kMaxSecondTryShare);
      return kExitUsage;
    }
    settings->second_try_share = *value;
  }
  auto adapter = site::MakeAdapter(settings_file, *settings);
  gateway::ServingDaemon daemon(*settings, std::move(adapter));
  const auto started = daemon.Start();
  if (!started.ok()) {
    kLog.Error("Can't start: {}.", started.error().message);
    return kExitFailure;
  }
  daemon.Run();
  return 0;
}

/// Runs the daemon with settings from flags and environment variables, until
/// SIGTERM or SIGINT. Returns the exit code.
int RunWithSettings(const gateway::Settings& settings) {
  gateway::Daemon daemon(settings);
  const auto started = daemon.Start();
  if (!started.ok()) {
    kLog.Error("Can't start: {}.", started.error().message);
    return kExitFailure;
  }
  boost::asio::io_context signal_context;
  boost::asio::signal_set signals(signal_context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) daemon.Shutdown();
  });
  std::thread signal_thread([&] { signal_context.run(); });
  daemon.Run();
  signal_context.stop();
  signal_thread.join();
  return 0;
}

/// Returns memory of large blocks to the system when they are freed. By default
/// glibc keeps blocks of up to 32 MB, once it has freed one of that size, and
/// what a crowd of clients held stays in the process.
void ConfigureAllocator() {
#ifdef __GLIBC__
  constexpr int kLargeBlockBytes = 64 * 1024;
  constexpr int kMaxFreeBytes = 1024 * 1024;
  constexpr int kMaxArenas = 2;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeBytes);
  mallopt(M_ARENA_MAX, kMaxArenas);
#endif
}

int Main(int argc, char** argv) {
  ConfigureAllocator();
  const auto environment = gateway::ProcessEnvironment();
  const auto settings_file = site::FindSettingsFile(environment);
  if (settings_file && argc == 1)
    return RunOnPlatform(*settings_file, environment);
  const auto request = gateway::ParseSettings(argc, argv, environment);
  if (!request.ok()) {
    fmt::print(stderr, "gypsumtrackd: {}\n", request.error().message);
    return kExitUsage;
  }
  switch (request->mode) {
    case gateway::StartMode::kHelp:
      fmt::print("{}", gateway::SettingsHelp());
      return 0;
    case gateway::StartMode::kVersion:
      fmt::print("gypsumtrackd {}\n", GYPSUMTRACK_VERSION);
      return 0;
    case gateway::StartMode::kCheck:
      fmt::print("All settings are valid.\n");
      return 0;
    case gateway::StartMode::kRun:
      break;
  }
  base::SetLogLevel(request->settings.log_level);
  return RunWithSettings(request->settings);
}

}  // namespace
}  // namespace gypsumtrack

int main(int argc, char** argv) {
  const int code = gypsumtrack::Main(argc, argv);
  // Writes the lines that are still queued.
  gypsumtrack::base::FlushEventLog();
  return code;
}
