#include "gypsumtrack/testing/platform_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "gypsumtrack/platform/http_platform.h"

namespace gypsumtrack::testing {
namespace {

/// Runs the stand-in and its client on one thread until a call has answered.
struct Bench {
  boost::asio::io_context context;
  base::Clock clock = base::SystemClock();
  /// The stand-in's clock stands still.
  PlatformServer server{
      context.get_executor(),
      {.now = [] { return base::Instant(); }, .wall = nullptr}};
  platform::Platform platform;

  Bench() {
    REQUIRE(this->server.Start("127.0.0.1:0").ok());
    this->platform = platform::MakeHttpPlatform(
        this->context.get_executor(), this->server.Address(), this->clock,
        base::FailureDomain("tartu-a"));
  }

  base::Instant Deadline() const {
    return this->clock.now() + std::chrono::seconds(60);
  }

  template <typename T>
  T Await(std::optional<T>& slot) {
    while (!slot) this->context.run_one();
    return *slot;
  }

  base::Status Commit(const base::TableCommit& commit) {
    std::optional<base::Status> answer;
    this->platform.table.commit(commit, this->Deadline(),
                                [&](auto status) { answer = status; });
    return this->Await(answer);
  }

  base::Outcome<base::ScanReply> Scan(const std::string& prefix) {
    std::optional<base::Outcome<base::ScanReply>> answer;
    this->platform.table.scan({.prefix = prefix}, this->Deadline(),
                              [&](auto reply) { answer = reply; });
    return this->Await(answer);
  }
};

TEST_CASE("a table is changed and read over HTTP") {
  Bench bench;
  const std::string bytes("\x01\xff\"\n\0z", 6);
  REQUIRE(bench.Commit({"op-1", {{"a/1", 0}}, {{"a/1", bytes}}}).ok());
  SECTION("bytes of any value come back") {
    const auto reply = bench.Scan("a/");
    REQUIRE(reply.ok());
    REQUIRE(reply->rows.size() == 1);
    CHECK(reply->rows.front() == base::Row{"a/1", 1, bytes});
  }
  SECTION("a condition that no longer holds is a conflict") {
    const auto late = bench.Commit({"op-2", {{"a/1", 0}}, {{"a/1", "two"}}});
    CHECK(late.error().Is(base::Errc::kConflict));
  }
  SECTION("a row is removed") {
    REQUIRE(bench.Commit({"op-3", {}, {{"a/1", std::nullopt}}}).ok());
    CHECK(bench.Scan("a/")->rows.empty());
  }
  SECTION("an answer lost on a kept connection is settled by sending again") {
    bench.server.SetFaults({.lose_answers = 1});
    CHECK(bench.Commit({"op-4", {{"a/2", 0}}, {{"a/2", "x"}}}).ok());
    CHECK(bench.Scan("a/2")->rows.front().version == 1);
  }
  SECTION("two answers lost leave the change unknown, and it took effect") {
    bench.server.SetFaults({.lose_answers = 2});
    const auto lost = bench.Commit({"op-5", {{"a/2", 0}}, {{"a/2", "x"}}});
    CHECK(lost.error().Is(base::Errc::kUnknown));
    CHECK(bench.Commit({"op-5", {{"a/2", 0}}, {{"a/2", "x"}}}).ok());
  }
  SECTION("the platform's refusal to hurry is told apart") {
    bench.server.SetFaults({.writes_per_second = 1});
    (void)bench.Commit({"op-6", {}, {{"b", "x"}}});
    const auto second = bench.Commit({"op-7", {}, {{"b", "y"}}});
    CHECK(second.error().Is(base::Errc::kThrottled));
  }
  SECTION("a domain cut off from the platform reads nothing") {
    bench.server.SetFaults({.refused_domains = {"tartu-a"}});
    CHECK(bench.Scan("a/").error().Is(base::Errc::kUnavailable));
    bench.server.SetFaults({.refused_domains = {"tallinn-a"}});
    CHECK(bench.Scan("a/").ok());
  }
}

TEST_CASE("objects of several megabytes are stored whole") {
  Bench bench;
  std::string bytes(5UL * 1024 * 1024, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<char>(i * 31 % 257);
  }
  std::optional<base::Status> put;
  bench.platform.objects.put("jobs/a b/100%?#", bytes, bench.Deadline(),
                             [&](auto status) { put = status; });
  REQUIRE(bench.Await(put).ok());
  std::optional<base::Outcome<std::string>> got;
  bench.platform.objects.get("jobs/a b/100%?#", bench.Deadline(),
                             [&](auto object) { got = object; });
  CHECK(*bench.Await(got) == bytes);
  std::optional<base::Status> removed;
  bench.platform.objects.remove("jobs/a b/100%?#", bench.Deadline(),
                                [&](auto status) { removed = status; });
  CHECK(bench.Await(removed).ok());
  std::optional<base::Outcome<std::string>> gone;
  bench.platform.objects.get("jobs/a b/100%?#", bench.Deadline(),
                             [&](auto object) { gone = object; });
  CHECK(bench.Await(gone).error().Is(base::Errc::kNotFound));
}

TEST_CASE("the list of VMs names daemons and endpoints") {
  Bench bench;
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
  bench.server.SetVms(vms);
  std::optional<base::Outcome<std::vector<base::ListedVm>>> got;
  bench.platform.vms(bench.Deadline(), [&](auto listed) { got = listed; });
  CHECK(*bench.Await(got) == vms);
}

}  // namespace
}  // namespace gypsumtrack::testing
