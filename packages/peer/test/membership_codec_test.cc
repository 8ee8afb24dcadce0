#include "gypsumtrack/peer/membership_codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::peer {
namespace {

policy::MemberUpdate AnyUpdate() {
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

TEST_CASE("membership messages survive the wire") {
  rc::prop("a message is read back as it was", [] {
    policy::MembershipMessage message;
    message.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    message.generation = *rc::gen::arbitrary<std::uint32_t>();
    message.digest = *rc::gen::arbitrary<std::uint64_t>();
    const auto count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) message.updates.push_back(AnyUpdate());
    message.heartbeats.push_back({base::FailureDomain("tartu-a"), 7});
    message.draining_endpoints.emplace_back("worker-1");
    const auto read = MembershipMessageFromJson(ToJson(message));
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == message);
  });
  SECTION("a sync request too") {
    const policy::SyncRequest request{{{"tartu-a", ~0ULL}, {"tartu-b", 0}}};
    CHECK(*SyncRequestFromJson(ToJson(request)) == request);
  }
  SECTION("and nonsense is refused") {
    CHECK_FALSE(MembershipMessageFromJson(Json::Value(7)).ok());
    Json::Value bad(Json::objectValue);
    bad["u"].append("x");
    CHECK_FALSE(MembershipMessageFromJson(bad).ok());
    bad = Json::Value(Json::objectValue);
    bad["i"] = "minus";
    CHECK_FALSE(MembershipMessageFromJson(bad).ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::peer
