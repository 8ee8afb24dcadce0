#include "gypsumtrack/testing/platform_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "gypsumtrack/platform/http_platform.h"

namespace gypsumtrack::testing {
namespace {

/// Runs the simulated platform and its client on one thread until a call
/// completes.
struct PlatformFixture {
  boost::asio::io_context context;
  base::Clock clock = base::SystemClock();
  /// Its clock is constant, so the window of the write rate limit never ends.
  PlatformServer server{
      context.get_executor(),
      {.now = [] { return base::Instant(); }, .wall = nullptr}};
  platform::Platform platform;

  PlatformFixture() {
    REQUIRE(this->server.Start("127.0.0.1:0").ok());
    this->platform = platform::MakeHttpPlatform(
        this->context.get_executor(), this->server.Address(), this->clock,
        base::FailureDomain("tartu-a"));
  }

  base::Instant Deadline() const {
    return this->clock.now() + std::chrono::seconds(60);
  }

  template <typename T>
  T Await(std::optional<T>& result) {
    while (!result) this->context.run_one();
    return *result;
  }

  base::Status Commit(const base::TableCommit& commit) {
    std::optional<base::Status> result;
    this->platform.table.commit(commit, this->Deadline(),
                                [&](auto status) { result = status; });
    return this->Await(result);
  }

  base::Outcome<base::ScanReply> Scan(const std::string& prefix) {
    std::optional<base::Outcome<base::ScanReply>> result;
    this->platform.table.scan({.prefix = prefix}, this->Deadline(),
                              [&](auto reply) { result = reply; });
    return this->Await(result);
  }
};

TEST_CASE("a table is written and read over HTTP") {
  PlatformFixture fixture;
  const std::string bytes("\x01\xff\"\n\0z", 6);
  REQUIRE(fixture.Commit({"op-1", {{"a/1", 0}}, {{"a/1", bytes}}}).ok());
  SECTION("values may contain arbitrary bytes") {
    const auto reply = fixture.Scan("a/");
    REQUIRE(reply.ok());
    REQUIRE(reply->rows.size() == 1);
    CHECK(reply->rows.front() == base::Row{"a/1", 1, bytes});
  }
  SECTION("a failed version condition is a conflict") {
    const auto conflicting =
        fixture.Commit({"op-2", {{"a/1", 0}}, {{"a/1", "two"}}});
    CHECK(conflicting.error().Is(base::Errc::kConflict));
  }
  SECTION("a row is removed") {
    REQUIRE(fixture.Commit({"op-3", {}, {{"a/1", std::nullopt}}}).ok());
    CHECK(fixture.Scan("a/")->rows.empty());
  }
  SECTION(
      "a response lost on a kept-alive connection is recovered by a retry") {
    fixture.server.SetFaults({.lose_answers = 1});
    CHECK(fixture.Commit({"op-4", {{"a/2", 0}}, {{"a/2", "x"}}}).ok());
    CHECK(fixture.Scan("a/2")->rows.front().version == 1);
  }
  SECTION(
      "two lost responses leave the outcome unknown, yet the write applies") {
    fixture.server.SetFaults({.lose_answers = 2});
    const auto lost = fixture.Commit({"op-5", {{"a/2", 0}}, {{"a/2", "x"}}});
    CHECK(lost.error().Is(base::Errc::kUnknown));
    CHECK(fixture.Commit({"op-5", {{"a/2", 0}}, {{"a/2", "x"}}}).ok());
  }
  SECTION("the write rate limit is reported as kThrottled") {
    fixture.server.SetFaults({.writes_per_second = 1});
    (void)fixture.Commit({"op-6", {}, {{"b", "x"}}});
    const auto second = fixture.Commit({"op-7", {}, {{"b", "y"}}});
    CHECK(second.error().Is(base::Errc::kThrottled));
  }
  SECTION("a failure domain partitioned from the platform cannot read") {
    fixture.server.SetFaults({.refused_domains = {"tartu-a"}});
    CHECK(fixture.Scan("a/").error().Is(base::Errc::kUnavailable));
    fixture.server.SetFaults({.refused_domains = {"tallinn-a"}});
    CHECK(fixture.Scan("a/").ok());
  }
}

TEST_CASE("objects of several megabytes are stored unchanged") {
  PlatformFixture fixture;
  std::string bytes(5UL * 1024 * 1024, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<char>(i * 31 % 257);
  }
  std::optional<base::Status> put;
  fixture.platform.objects.put("jobs/a b/100%?#", bytes, fixture.Deadline(),
                               [&](auto status) { put = status; });
  REQUIRE(fixture.Await(put).ok());
  std::optional<base::Outcome<std::string>> got;
  fixture.platform.objects.get("jobs/a b/100%?#", fixture.Deadline(),
                               [&](auto object) { got = object; });
  CHECK(*fixture.Await(got) == bytes);
  std::optional<base::Status> removed;
  fixture.platform.objects.remove("jobs/a b/100%?#", fixture.Deadline(),
                                  [&](auto status) { removed = status; });
  CHECK(fixture.Await(removed).ok());
  std::optional<base::Outcome<std::string>> after_removal;
  fixture.platform.objects.get("jobs/a b/100%?#", fixture.Deadline(),
                               [&](auto object) { after_removal = object; });
  CHECK(fixture.Await(after_removal).error().Is(base::Errc::kNotFound));
}

TEST_CASE("the list of VMs contains daemons and endpoints") {
  PlatformFixture fixture;
  const base::Location location{base::FailureDomain("tartu-a"),
                                base::Region("tartu")};
  const std::vector<base::ListedVm> vms{
      {.name = "vm-1", .address = "127.0.0.1:1", .location = location},
      {.name = "worker-1",
       .role = base::VmRole::kEndpoint,
       .state = base::VmState::kDraining,
       .address = "127.0.0.1:2",
       .location = location,
       .service = base::Service("fault-scribe"),
       .models = {base::Model("labels")},
       .slots = 8,
       .checks_fencing = true}};
  fixture.server.SetVms(vms);
  std::optional<base::Outcome<std::vector<base::ListedVm>>> got;
  fixture.platform.vms(fixture.Deadline(), [&](auto listed) { got = listed; });
  CHECK(*fixture.Await(got) == vms);
}

}  // namespace
}  // namespace gypsumtrack::testing
