#include "gypsumtrack/peer/membership_codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::peer {
namespace {

policy::MemberUpdate ArbitraryUpdate() {
  policy::MemberUpdate update;
  update.id = {*rc::gen::arbitrary<std::string>(),
               *rc::gen::arbitrary<std::uint64_t>()};
  update.generation = *rc::gen::arbitrary<std::uint32_t>();
  update.status = *rc::gen::element(policy::MemberStatus::kAlive,
                                    policy::MemberStatus::kSuspect,
                                    policy::MemberStatus::kLost);
  update.shutting_down = *rc::gen::arbitrary<bool>();
  update.address = *rc::gen::arbitrary<std::string>();
  update.location.domain.text = *rc::gen::arbitrary<std::string>();
  update.location.region.text = *rc::gen::arbitrary<std::string>();
  return update;
}

TEST_CASE("membership messages are encoded and decoded") {
  rc::prop("a message is decoded as it was encoded", [] {
    policy::MembershipMessage message;
    message.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    message.generation = *rc::gen::arbitrary<std::uint32_t>();
    message.digest = *rc::gen::arbitrary<std::uint64_t>();
    const auto count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i)
      message.updates.push_back(ArbitraryUpdate());
    message.heartbeats.push_back({base::FailureDomain("tartu-a"), 7});
    message.draining_endpoints.emplace_back("worker-1");
    const auto decoded = MembershipMessageFromJson(ToJson(message));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == message);
  });
  SECTION("a sync request is decoded as it was encoded") {
    const policy::SyncRequest request{{{"tartu-a", ~0ULL}, {"tartu-b", 0}}};
    CHECK(*SyncRequestFromJson(ToJson(request)) == request);
  }
  SECTION("malformed messages are refused") {
    CHECK_FALSE(MembershipMessageFromJson(Json::Value(7)).ok());
    Json::Value malformed(Json::objectValue);
    malformed["u"].append("x");
    CHECK_FALSE(MembershipMessageFromJson(malformed).ok());
    malformed = Json::Value(Json::objectValue);
    malformed["i"] = "minus";
    CHECK_FALSE(MembershipMessageFromJson(malformed).ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::peer
