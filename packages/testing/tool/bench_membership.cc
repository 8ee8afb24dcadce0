#include <fmt/format.h>
#include <json/writer.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "bench.h"
#include "gypsumtrack/peer/membership_codec.h"
#include "gypsumtrack/testing/membership_fleet.h"

/// Traffic and detection times of membership, in virtual time.
namespace gypsumtrack::bench {
namespace {

using testing::MembershipFleet;
using testing::MembershipFleetOptions;

/// JSON-RPC's own words of a call, and the frame's length, header and tag.
constexpr std::size_t kEnvelopeBytes = 54 + 25;
constexpr auto kWarmUp = std::chrono::seconds(120);
constexpr auto kMeasured = std::chrono::seconds(60);
constexpr auto kLimit = std::chrono::seconds(180);
constexpr std::size_t kVictims = 3;

struct Size {
  int domains;
  int daemons_per_domain;
};

constexpr Size kSizes[] = {{3, 4}, {1, 57}, {7, 57}};

std::size_t BytesOf(const policy::MembershipMessage& message) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, peer::ToJson(message)).size() +
         kEnvelopeBytes;
}

double Seconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

void ReportTraffic(MembershipFleet& fleet) {
  fleet.ResetTraffic();
  fleet.Run(kMeasured);
  double messages = 0;
  double bytes = 0;
  double most_bytes = 0;
  const auto names = fleet.Names();
  for (const auto& name : names) {
    const auto traffic = fleet.TrafficOf(name);
    messages += static_cast<double>(traffic.messages);
    bytes += static_cast<double>(traffic.bytes);
    most_bytes = std::max(most_bytes, static_cast<double>(traffic.bytes));
  }
  const auto count = static_cast<double>(names.size()) * Seconds(kMeasured);
  fmt::print(
      "  sent per daemon and second: {:.2f} messages, {:.0f} bytes; "
      "most of one daemon {:.0f} bytes\n",
      messages / count, bytes / count, most_bytes / Seconds(kMeasured));
}

void ReportDetection(MembershipFleet& fleet) {
  double own_worst = 0;
  double all_worst = 0;
  for (std::size_t i = 0; i < kVictims; ++i) {
    const auto victim = fleet.Alive()[i * 2];
    const auto domain = fleet.DomainOf(victim);
    fleet.Kill(victim);
    const auto lost = policy::PeerState::kLost;
    const auto own = fleet.RunUntil(
        [&] { return fleet.AllSee(domain, victim, lost); }, kLimit);
    const auto rest =
        fleet.RunUntil([&] { return fleet.AllSee("", victim, lost); }, kLimit);
    own_worst = std::max(own_worst, Seconds(own));
    all_worst = std::max(all_worst, Seconds(own + rest));
  }
  fmt::print(
      "  dead VM lost to its domain within {:.2f} s, to all within "
      "{:.2f} s (worst of {})\n",
      own_worst, all_worst, kVictims);
}

}  // namespace

int BenchMembership(const std::vector<std::string>&) {
  for (const auto& size : kSizes) {
    fmt::print("{} domains of {} daemons\n", size.domains,
               size.daemons_per_domain);
    MembershipFleetOptions options;
    options.domains = size.domains;
    options.daemons_per_domain = size.daemons_per_domain;
    options.seed = 1;
    MembershipFleet fleet(options, BytesOf);
    fleet.Run(kWarmUp);
    ReportTraffic(fleet);
    ReportDetection(fleet);
  }
  return 0;
}

}  // namespace gypsumtrack::bench
