#include "gypsumtrack/policy/serving/endpoint_registry.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Service kClocks("clocks");
const base::Place kHere{base::FailureDomain("cairo"), base::Region("delta")};
const base::Place kNear{base::FailureDomain("alex"), base::Region("delta")};
const base::Place kFar{base::FailureDomain("aswan"), base::Region("upper")};
const base::Instant kStart(seconds(100));
/// Rounds up.
constexpr std::uint64_t kDice = 0;

EndpointEntry MakeEndpoint(const std::string& id, const base::Place& place) {
  EndpointEntry entry;
  entry.id = base::EndpointId(id);
  entry.incarnation = 1;
  entry.address = id + ":80";
  entry.location = place;
  entry.service = kClocks;
  entry.slots = 8;
  return entry;
}

EndpointQuery MakeQuery() {
  EndpointQuery query;
  query.service = kClocks;
  query.origin = kHere;
  return query;
}

base::EndpointId Id(const std::string& id) { return base::EndpointId(id); }

void SendMany(EndpointRegistry& book, const std::string& id, int count,
              WorkKind kind = WorkKind::kOnline) {
  for (int i = 0; i < count; ++i) book.OnAttemptStarted(Id(id), kind);
}

TEST_CASE("an online request goes where it begins soonest") {
  EndpointRegistry book({});
  book.ReplaceEntries({MakeEndpoint("here", kHere), MakeEndpoint("near", kNear),
                       MakeEndpoint("far", kFar)},
                      {}, kStart);
  SECTION("an idle endpoint of its own failure domain comes first") {
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("here"));
  }
  SECTION("one with free places in the region beats a queue here") {
    SendMany(book, "here", 8);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("near"));
  }
  SECTION("another region is used when this one is full") {
    SendMany(book, "here", 8);
    SendMany(book, "near", 8);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("far"));
  }
  SECTION("nothing is sent beyond what begins in time") {
    for (const auto* id : {"here", "near", "far"}) SendMany(book, id, 10);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).status ==
          ChoiceStatus::kNoCapacity);
  }
  SECTION("an unknown service has no endpoint") {
    auto query = MakeQuery();
    query.service = base::Service("sand");
    CHECK(book.ChooseOnline(query, kStart).status == ChoiceStatus::kNoEndpoint);
  }
  SECTION("a request that was at an endpoint goes to another") {
    auto query = MakeQuery();
    query.tried = {Id("here")};
    CHECK(book.ChooseOnline(query, kStart).endpoint.id == Id("near"));
  }
}

TEST_CASE("what other daemons sent counts like what was sent here") {
  EndpointRegistry book({});
  book.ReplaceEntries({MakeEndpoint("a", kHere), MakeEndpoint("b", kHere)}, {},
                      kStart);
  book.SetPeerLoads("vm-2", {{Id("a"), {7, 1}}}, kStart);
  SECTION("their load moves requests elsewhere") {
    CHECK(book.Load(Id("a"), kStart).total() == 8);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("b"));
  }
  SECTION("without news it is forgotten") {
    const auto later = kStart + seconds(2);
    book.RemoveExpired(later);
    CHECK(book.Load(Id("a"), later).total() == 0);
  }
  SECTION("its next message replaces what it said before") {
    book.SetPeerLoads("vm-3", {{Id("a"), {1, 0}}}, kStart);
    book.SetPeerLoads("vm-2", {{Id("b"), {2, 0}}}, kStart);
    CHECK(book.Load(Id("a"), kStart).total() == 1);
    CHECK(book.Load(Id("b"), kStart).total() == 2);
  }
  SECTION("an endpoint that is listed after its load was told has it all") {
    book.SetPeerLoads("vm-2", {{Id("c"), {3, 1}}}, kStart);
    book.ReplaceEntries({MakeEndpoint("a", kHere), MakeEndpoint("c", kHere)},
                        {}, kStart);
    CHECK(book.Load(Id("c"), kStart).total() == 4);
    // One that doesn't say when it started as well.
    auto unborn = MakeEndpoint("d", kHere);
    unborn.incarnation = 0;
    book.SetPeerLoads("vm-3", {{Id("d"), {2, 0}}}, kStart);
    book.ReplaceEntries({MakeEndpoint("c", kHere), unborn}, {}, kStart);
    CHECK(book.Load(Id("d"), kStart).total() == 2);
    book.SetPeerLoads("vm-2", {}, kStart);
    CHECK(book.Load(Id("c"), kStart).total() == 0);
  }
  SECTION("an endpoint's own count shows what nobody told") {
    book.OnReport(Id("b"), {6, 1}, kStart);
    CHECK(book.Load(Id("b"), kStart).total() == 7);
    book.OnAttemptStarted(Id("b"), WorkKind::kOnline);
    CHECK(book.Load(Id("b"), kStart).total() == 8);
    CHECK(book.Load(Id("b"), kStart + seconds(1)).total() == 1);
  }
}

/// Connections made for two requests at a time, a hundred times, before ten
/// endpoints of the own failure domain.
std::size_t CountNewConnections(const EndpointRegistryOptions& options) {
  EndpointRegistry book(options);
  std::vector<EndpointEntry> entries;
  for (int i = 0; i < 10; ++i) {
    entries.push_back(MakeEndpoint("e" + std::to_string(i), kHere));
  }
  book.ReplaceEntries(entries, {}, kStart);
  std::set<std::string> idle;
  auto query = MakeQuery();
  query.has_idle_connection = [&](const std::string& address) {
    return idle.contains(address);
  };
  std::size_t made = 0;
  for (std::uint64_t round = 0; round < 100; ++round) {
    std::vector<EndpointEntry> under_way;
    for (std::uint64_t i = 0; i < 2; ++i) {
      query.random_value = round * 7919 + i * 104729;
      under_way.push_back(book.ChooseOnline(query, kStart).endpoint);
      book.OnAttemptStarted(under_way.back().id, WorkKind::kOnline);
      if (idle.erase(under_way.back().address) == 0) ++made;
    }
    // An endpoint drops what stands idle beyond a while.
    idle.clear();
    for (const auto& endpoint : under_way) {
      book.OnAttemptEnded(endpoint.id, WorkKind::kOnline,
                          AttemptResult::kSuccess, kStart);
      idle.insert(endpoint.address);
    }
  }
  return made;
}

TEST_CASE("few requests a daemon before many endpoints reuse connections") {
  CHECK(CountNewConnections({}) <= 4);
  SECTION("which by load alone they hardly do") {
    EndpointRegistryOptions options;
    options.new_connection = {};
    CHECK(CountNewConnections(options) > 100);
  }
  SECTION("but load that others sent there goes before a connection") {
    EndpointRegistry book({});
    book.ReplaceEntries({MakeEndpoint("a", kHere), MakeEndpoint("b", kHere)},
                        {}, kStart);
    auto query = MakeQuery();
    query.has_idle_connection = [](const std::string& address) {
      return address == "a:80";
    };
    CHECK(book.ChooseOnline(query, kStart).endpoint.id == Id("a"));
    book.SetPeerLoads("vm-2", {{Id("a"), {6, 0}}}, kStart);
    CHECK(book.ChooseOnline(query, kStart).endpoint.id == Id("b"));
  }
}

TEST_CASE("an endpoint that fails is left alone, and tried again") {
  EndpointRegistry book({});
  book.ReplaceEntries({MakeEndpoint("a", kHere), MakeEndpoint("b", kNear)}, {},
                      kStart);
  const auto fail = [&](AttemptResult verdict, base::Instant now) {
    book.OnAttemptStarted(Id("a"), WorkKind::kOnline);
    book.OnAttemptEnded(Id("a"), WorkKind::kOnline, verdict, now);
  };
  SECTION("one that can't be reached, at once") {
    fail(AttemptResult::kUnreachable, kStart);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("b"));
    const auto later = kStart + seconds(1);
    CHECK(book.ChooseOnline(MakeQuery(), later).endpoint.id == Id("a"));
  }
  SECTION("one whose answer broke off, the second time in a row") {
    fail(AttemptResult::kBadResponse, kStart);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("a"));
    fail(AttemptResult::kBadResponse, kStart);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("b"));
  }
  SECTION("after its pause it gets one request to show itself by") {
    fail(AttemptResult::kUnreachable, kStart);
    fail(AttemptResult::kUnreachable, kStart + seconds(1));
    const auto later = kStart + seconds(4);
    book.OnAttemptStarted(Id("a"), WorkKind::kOnline);
    CHECK(book.ChooseOnline(MakeQuery(), later).endpoint.id == Id("b"));
    book.OnAttemptEnded(Id("a"), WorkKind::kOnline, AttemptResult::kSuccess,
                        later);
    CHECK(book.ChooseOnline(MakeQuery(), later).endpoint.id == Id("a"));
  }
  SECTION("when nearly all seem to fail they are used all the same") {
    fail(AttemptResult::kUnreachable, kStart);
    book.OnAttemptStarted(Id("b"), WorkKind::kOnline);
    book.OnAttemptEnded(Id("b"), WorkKind::kOnline, AttemptResult::kUnreachable,
                        kStart);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).status ==
          ChoiceStatus::kChosen);
  }
  SECTION("a later start under the same id has a clean record") {
    fail(AttemptResult::kUnreachable, kStart);
    auto restarted = MakeEndpoint("a", kHere);
    restarted.incarnation = 2;
    book.ReplaceEntries({restarted, MakeEndpoint("b", kNear)}, {}, kStart);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("a"));
  }
}

TEST_CASE("entries that lapse in an outage of the platform come back") {
  EndpointRegistry book({});
  book.ReplaceEntries({MakeEndpoint("a", kHere), MakeEndpoint("b", kHere)}, {},
                      kStart);
  SECTION("without an outage a missing entry is gone at once") {
    book.ReplaceEntries({MakeEndpoint("b", kHere)}, {}, kStart);
    CHECK(book.RemoveExpired(kStart) == std::vector{Id("a")});
  }
  SECTION("right after an outage it is kept for a while") {
    book.ReplaceEntries({MakeEndpoint("b", kHere)}, kStart, kStart);
    CHECK(book.RemoveExpired(kStart + seconds(1)).empty());
    CHECK(book.AcceptsRequests(Id("a"), 1));
    SECTION("and is gone if it doesn't come back") {
      CHECK(book.RemoveExpired(kStart + seconds(2)) == std::vector{Id("a")});
    }
    SECTION("and stays if it does") {
      book.ReplaceEntries({MakeEndpoint("a", kHere), MakeEndpoint("b", kHere)},
                          kStart, kStart + seconds(1));
      CHECK(book.RemoveExpired(kStart + seconds(5)).empty());
    }
  }
  SECTION("one that says that it leaves takes nothing from then on") {
    auto leaving = MakeEndpoint("a", kHere);
    leaving.draining = true;
    book.ReplaceEntries({leaving, MakeEndpoint("b", kHere)}, kStart, kStart);
    CHECK_FALSE(book.AcceptsRequests(Id("a"), 1));
  }
}

TEST_CASE("batch fills the valleys and yields at the tops") {
  EndpointRegistry book({});
  book.ReplaceEntries({MakeEndpoint("a", kHere)}, {}, kStart);
  SECTION("it leaves places free for online") {
    SendMany(book, "a", 5, WorkKind::kBatch);
    CHECK(book.ChooseBatch(MakeQuery(), 2, kStart).status ==
          ChoiceStatus::kChosen);
    book.OnAttemptStarted(Id("a"), WorkKind::kBatch);
    CHECK(book.ChooseBatch(MakeQuery(), 2, kStart).status ==
          ChoiceStatus::kNoCapacity);
    CHECK(book.ChooseBatch(MakeQuery(), 0, kStart).status ==
          ChoiceStatus::kChosen);
    CHECK(book.ChooseOnline(MakeQuery(), kStart).status ==
          ChoiceStatus::kChosen);
  }
  SECTION("an endpoint without online requests keeps its items") {
    SendMany(book, "a", 8, WorkKind::kBatch);
    CHECK(book.BatchToYield(Id("a"), kDice, kStart) == 0);
  }
  SECTION("a top of online requests takes the places of items, one ahead") {
    SendMany(book, "a", 5, WorkKind::kBatch);
    SendMany(book, "a", 5, WorkKind::kOnline);
    CHECK(book.BatchToYield(Id("a"), kDice, kStart) == 3);
  }
  SECTION("outside a top only requests that wait take places") {
    SendMany(book, "a", 7, WorkKind::kBatch);
    SendMany(book, "a", 2, WorkKind::kOnline);
    CHECK(book.BatchToYield(Id("a"), kDice, kStart) == 1);
  }
  SECTION("an endpoint whose places are just taken keeps its items") {
    SendMany(book, "a", 5, WorkKind::kBatch);
    SendMany(book, "a", 3, WorkKind::kOnline);
    CHECK(book.BatchToYield(Id("a"), kDice, kStart) == 0);
  }
  SECTION("daemons yield in proportion to their items") {
    SendMany(book, "a", 2, WorkKind::kBatch);
    book.SetPeerLoads("vm-2", {{Id("a"), {4, 4}}}, kStart);
    // Three of six must go: one of two here.
    CHECK(book.BatchToYield(Id("a"), kDice, kStart) == 1);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
