#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>

#include "gypsumtrack/base/log.h"
#include "gypsumtrack/gateway/daemon.h"
#include "gypsumtrack/gateway/settings.h"

/// The daemon: settings and signals only.
namespace gypsumtrack {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr base::Logger kLog{"main"};

int RunDaemon(const gateway::Settings& settings) {
  gateway::Daemon daemon(settings);
  const auto started = daemon.Start();
  if (!started.ok()) {
    kLog.Error("Can't start: {}.", started.error().message);
    return kExitFailure;
  }
  boost::asio::io_context signal_context;
  boost::asio::signal_set signals(signal_context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& failure, int) {
    if (!failure) daemon.Shutdown();
  });
  std::thread signal_thread([&] { signal_context.run(); });
  daemon.Run();
  signal_context.stop();
  signal_thread.join();
  return 0;
}

int Main(int argc, char** argv) {
  const auto request =
      gateway::ParseSettings(argc, argv, gateway::ProcessEnvironment());
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
  return RunDaemon(request->settings);
}

}  // namespace
}  // namespace gypsumtrack

int main(int argc, char** argv) { return gypsumtrack::Main(argc, argv); }
