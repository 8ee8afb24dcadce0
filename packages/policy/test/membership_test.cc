#include "gypsumtrack/policy/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace gypsumtrack::policy {
namespace {

using std::chrono::seconds;

const base::Location kOwnLocation{base::FailureDomain("domain-0"),
                                  base::Region("region-0")};
const base::Location kOtherLocation{base::FailureDomain("domain-1"),
                                    base::Region("region-1")};

/// A VM that knows one VM of another domain, which is suspect there.
class SuspectFixture {
 public:
  SuspectFixture() {
    MembershipMessage message;
    message.updates = {MakeUpdate(0, MemberStatus::kSuspect)};
    this->membership.HandleSyncReply(this->now, message);
    this->RunFor(seconds(1));
    this->pings.clear();
  }

  static MemberUpdate MakeUpdate(std::uint32_t generation,
                                 MemberStatus status) {
    return {.id = {"entry-1", 1},
            .generation = generation,
            .status = status,
            .address = "10.1.0.1:8082",
            .location = kOtherLocation};
  }

  void Receive(const MemberUpdate& update) {
    MembershipMessage message;
    message.updates = {update};
    this->membership.HandleSyncReply(this->now, message);
  }

  void RunFor(base::Duration time) {
    const auto end = this->now + time;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(250);
      if (this->domain_responds) this->ReceiveHeartbeat();
      for (const auto& ping : this->membership.Tick(this->now).pings) {
        this->pings.push_back(ping);
      }
    }
  }

  PeerState State() const {
    return this->membership.PeerStateOf(this->now, "entry-1");
  }

  /// Whether the heartbeats of the suspect's domain arrive.
  bool domain_responds = true;
  /// The pings sent to the suspect.
  std::vector<PingAction> pings;
  base::Instant now{seconds(1000)};
  MembershipOptions options = MakeOptions();
  Membership membership{
      this->options, {"entry-0", 1}, "10.0.0.1:8082", kOwnLocation, 1};

 private:
  void ReceiveHeartbeat() {
    MembershipMessage message;
    message.heartbeats = {{kOtherLocation.domain, ++this->heartbeat}};
    this->membership.HandleSyncReply(this->now, message);
  }

  /// Without the regular pings between domains, which the representatives send.
  static MembershipOptions MakeOptions() {
    MembershipOptions options;
    options.domain_ping_period = std::chrono::hours(1);
    return options;
  }

  std::uint64_t heartbeat = 0;
};

TEST_CASE("a suspect of another domain is pinged if its state stays unknown") {
  SuspectFixture fixture;
  REQUIRE(fixture.State() == PeerState::kSuspect);
  fixture.RunFor(fixture.options.verification_period - seconds(2));
  REQUIRE(fixture.pings.empty());
  SECTION("not if its domain reports that it refuted the suspicion") {
    fixture.Receive(SuspectFixture::MakeUpdate(1, MemberStatus::kAlive));
    fixture.RunFor(seconds(60));
    CHECK(fixture.pings.empty());
  }
  SECTION("not if its domain reports that it is lost") {
    fixture.Receive(SuspectFixture::MakeUpdate(0, MemberStatus::kLost));
    fixture.RunFor(seconds(60));
    CHECK(fixture.pings.empty());
  }
  SECTION("not while its whole domain is unresponsive") {
    fixture.domain_responds = false;
    fixture.RunFor(fixture.options.domain_timeout);
    fixture.pings.clear();
    fixture.RunFor(seconds(60));
    CHECK(fixture.pings.empty());
    fixture.domain_responds = true;
    fixture.RunFor(seconds(1));
    CHECK(fixture.pings.size() == 1);
  }
  SECTION("until it answers") {
    fixture.RunFor(seconds(2));
    REQUIRE(fixture.pings.size() == 1);
    const auto& ping = fixture.pings.front();
    CHECK(ping.target == "entry-1");
    // The suspect needs to know the suspicion to refute it.
    const auto suspicion =
        SuspectFixture::MakeUpdate(0, MemberStatus::kSuspect);
    CHECK(std::count(ping.message.updates.begin(), ping.message.updates.end(),
                     suspicion) == 1);
    fixture.membership.HandlePingFailure(fixture.now, "entry-1");
    CHECK(fixture.State() == PeerState::kSuspect);
    fixture.RunFor(fixture.options.verification_period);
    REQUIRE(fixture.pings.size() == 2);
    MembershipMessage ack;
    ack.incarnation = 1;
    ack.generation = 1;
    fixture.membership.HandleAck(fixture.now, "entry-1", ack);
    fixture.RunFor(seconds(60));
    CHECK(fixture.pings.size() == 2);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
