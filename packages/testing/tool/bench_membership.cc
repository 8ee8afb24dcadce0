#include <fmt/format.h>
#include <json/writer.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "bench.h"
#include "gypsumtrack/peer/membership_codec.h"
#include "gypsumtrack/testing/membership_fleet.h"

/// Measures membership traffic and failure detection times in virtual time.
namespace gypsumtrack::bench {
namespace {

using testing::MembershipFleet;
using testing::MembershipFleetOptions;

/// Bytes around each message: the JSON-RPC envelope (54), and the frame's
/// length, header and authentication tag (25).
constexpr std::size_t kEnvelopeBytes = 54 + 25;
constexpr auto kWarmUp = std::chrono::seconds(120);
constexpr auto kMeasuredTime = std::chrono::seconds(60);
constexpr auto kDetectionTimeout = std::chrono::seconds(180);
constexpr std::size_t kKilledDaemons = 3;

/// Dimensions of a simulated fleet.
struct FleetSize {
  int domains;
  int daemons_per_domain;
};

constexpr FleetSize kFleetSizes[] = {{3, 4}, {1, 57}, {7, 57}};

std::size_t WireSize(const policy::MembershipMessage& message) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, peer::ToJson(message)).size() +
         kEnvelopeBytes;
}

double ToSeconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

void ReportTraffic(MembershipFleet& fleet) {
  fleet.ResetTraffic();
  fleet.Run(kMeasuredTime);
  double messages = 0;
  double bytes = 0;
  double max_daemon_bytes = 0;
  const auto names = fleet.Names();
  for (const auto& name : names) {
    const auto traffic = fleet.TrafficOf(name);
    messages += static_cast<double>(traffic.messages);
    bytes += static_cast<double>(traffic.bytes);
    max_daemon_bytes =
        std::max(max_daemon_bytes, static_cast<double>(traffic.bytes));
  }
  const auto daemon_seconds =
      static_cast<double>(names.size()) * ToSeconds(kMeasuredTime);
  fmt::print(
      "  sent per daemon and second: {:.2f} messages, {:.0f} bytes; "
      "most of one daemon {:.0f} bytes\n",
      messages / daemon_seconds, bytes / daemon_seconds,
      max_daemon_bytes / ToSeconds(kMeasuredTime));
}

void ReportDetection(MembershipFleet& fleet) {
  double max_domain_seconds = 0;
  double max_fleet_seconds = 0;
  for (std::size_t i = 0; i < kKilledDaemons; ++i) {
    const auto killed = fleet.Alive()[i * 2];
    const auto domain = fleet.DomainOf(killed);
    fleet.Kill(killed);
    const auto lost = policy::PeerState::kLost;
    const auto domain_time =
        fleet.RunUntil([&] { return fleet.AllObserve(domain, killed, lost); },
                       kDetectionTimeout);
    const auto remaining_time = fleet.RunUntil(
        [&] { return fleet.AllObserve("", killed, lost); }, kDetectionTimeout);
    max_domain_seconds = std::max(max_domain_seconds, ToSeconds(domain_time));
    max_fleet_seconds =
        std::max(max_fleet_seconds, ToSeconds(domain_time + remaining_time));
  }
  fmt::print(
      "  dead VM lost to its domain within {:.2f} s, to all within "
      "{:.2f} s (worst of {})\n",
      max_domain_seconds, max_fleet_seconds, kKilledDaemons);
}

}  // namespace

int BenchMembership(const std::vector<std::string>&) {
  for (const auto& size : kFleetSizes) {
    fmt::print("{} domains of {} daemons\n", size.domains,
               size.daemons_per_domain);
    MembershipFleetOptions options;
    options.domains = size.domains;
    options.daemons_per_domain = size.daemons_per_domain;
    options.seed = 1;
    MembershipFleet fleet(options, WireSize);
    fleet.Run(kWarmUp);
    ReportTraffic(fleet);
    ReportDetection(fleet);
  }
  return 0;
}

}  // namespace gypsumtrack::bench
