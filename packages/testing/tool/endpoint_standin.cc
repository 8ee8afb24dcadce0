#include <fmt/format.h>
#include <getopt.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "gypsumtrack/testing/endpoint_server.h"

/// Runs a simulated endpoint until SIGINT or SIGTERM.
namespace gypsumtrack::testing {
namespace {

constexpr int kUsageError = 2;

constexpr const char* kUsage =
    "usage: endpoint_standin [OPTION]...\n"
    "  --listen IP:PORT         default 127.0.0.1:0\n"
    "  --slots N                concurrent requests, default 8\n"
    "  --tokens N               tokens per response, default 16\n"
    "  --prefill-us N           per kilobyte of prompt, default 2000\n"
    "  --decode-us N            per token, default 1000\n"
    "  --report-lag-ms N        age of load reports, default 1000\n"
    "  --model NAME             loaded at start; may be repeated\n"
    "  --ignore-fencing         accepts requests with old fencing numbers\n";

enum Option {
  kListen = 1,
  kSlots,
  kTokens,
  kPrefill,
  kDecode,
  kReportLag,
  kModel,
  kIgnoreFencing,
};

constexpr struct option kOptions[] = {
    {"listen", required_argument, nullptr, kListen},
    {"slots", required_argument, nullptr, kSlots},
    {"tokens", required_argument, nullptr, kTokens},
    {"prefill-us", required_argument, nullptr, kPrefill},
    {"decode-us", required_argument, nullptr, kDecode},
    {"report-lag-ms", required_argument, nullptr, kReportLag},
    {"model", required_argument, nullptr, kModel},
    {"ignore-fencing", no_argument, nullptr, kIgnoreFencing},
    {nullptr, 0, nullptr, 0},
};

bool ParseNumber(const char* text, std::uint32_t& out) {
  const std::string_view view(text);
  const auto parsed =
      std::from_chars(view.data(), view.data() + view.size(), out);
  return parsed.ec == std::errc() && parsed.ptr == view.data() + view.size();
}

bool ApplyOption(int option, const char* value,
                 EndpointServerOptions& options) {
  std::uint32_t number = 0;
  const bool numeric = option == kSlots || option == kTokens ||
                       option == kPrefill || option == kDecode ||
                       option == kReportLag;
  if (numeric && !ParseNumber(value, number)) return false;
  switch (option) {
    case kListen:
      options.address = value;
      return true;
    case kSlots:
      options.slots = number;
      return number > 0;
    case kTokens:
      options.default_tokens = number;
      return true;
    case kPrefill:
      options.timing.prefill_per_kilobyte = base::Duration(number);
      return true;
    case kDecode:
      options.timing.decode_step = base::Duration(number);
      return true;
    case kReportLag:
      options.report_lag = std::chrono::milliseconds(number);
      return true;
    case kModel:
      options.models.insert(value);
      return true;
    case kIgnoreFencing:
      options.checks_fencing = false;
      return true;
    default:
      return false;
  }
}

int Run(EndpointServerOptions options) {
  boost::asio::io_context context;
  EndpointServer server(context.get_executor(), std::move(options));
  const auto started = server.Start();
  if (!started.ok()) {
    fmt::print(stderr, "endpoint: {}\n", started.error().message);
    return EXIT_FAILURE;
  }
  fmt::print("{}\n", server.address());
  std::fflush(stdout);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gypsumtrack::testing

int main(int argc, char** argv) {
  using namespace gypsumtrack::testing;  // NOLINT
  EndpointServerOptions options;
  for (;;) {
    const int option = getopt_long(argc, argv, "", kOptions, nullptr);
    if (option == -1) break;
    if (ApplyOption(option, optarg, options)) continue;
    std::fputs(kUsage, stderr);
    return kUsageError;
  }
  return Run(std::move(options));
}
