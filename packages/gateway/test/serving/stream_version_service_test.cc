#include "gypsumtrack/gateway/serving/stream_version_service.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"
#include "serving_fixture.h"

namespace gypsumtrack::gateway {
namespace {

const base::Service kService("clocks");
const policy::OutputOrigin kOld{kService, "v1"};
const policy::OutputOrigin kNew{kService, "v2"};

/// Two daemons that share a store.
class StreamVersionFixture {
 public:
  StreamVersionFixture()
      : store(this->rows.Client()),
        first(this->store, "vm-1", {}),
        second(this->store, "vm-2", {}),
        first_versions(this->first.serving, this->first.fleet),
        second_versions(this->second.serving, this->second.fleet) {
    this->first_versions.Start();
    this->second_versions.Start();
  }

  std::shared_ptr<StreamRecord> Record(const std::string& request,
                                       std::uint32_t attempt,
                                       const policy::OutputOrigin& origin) {
    return this->first.serving.stream_versions.record(
        request, attempt, origin,
        this->first.clock.now() + std::chrono::seconds(5));
  }

  /// Records at the first daemon and waits until that is done.
  void RecordWhole(const std::string& request, std::uint32_t attempt,
                   const policy::OutputOrigin& origin) {
    const auto record = this->Record(request, attempt, origin);
    this->first.RunUntil([&] { return record->is_written; });
  }

  /// Asks the second daemon, which knows nothing of the first one's streams.
  base::Outcome<policy::OutputOrigin> Find(const std::string& request) {
    return RunCoroutine(
        this->second.serving.stream_versions.find_origin(request, kService));
  }

  void WriteDefault(const std::string& version) {
    base::RowTransaction put;
    put.puts.push_back({{layout::kVersionTable, "", kService.text},
                        layout::SerializeDefaultVersion(version)});
    this->store.transact(std::move(put), base::kNever, [](const auto&) {});
  }

  testing::MemoryRowStore rows;
  base::RowStore store;
  ServingFixture first;
  ServingFixture second;
  StreamVersionService first_versions;
  StreamVersionService second_versions;
};

TEST_CASE("any daemon can tell which version began a stream") {
  StreamVersionFixture fixture;
  SECTION("by its record") {
    fixture.WriteDefault("v1");
    fixture.RecordWhole("r-1", 0, kNew);
    const auto found = fixture.Find("r-1");
    REQUIRE(found.ok());
    CHECK(*found == kNew);
    CHECK(fixture.rows.Table(layout::kStreamTable).size() == 1);
  }
  SECTION("by the record of the last attempt, whenever the others arrive") {
    fixture.rows.SetFaults({.delay = 1});
    fixture.RecordWhole("r-1", 0, kNew);
    fixture.RecordWhole("r-1", 1, kOld);
    fixture.rows.CarryOutLate();
    const auto found = fixture.Find("r-1");
    REQUIRE(found.ok());
    CHECK(*found == kOld);
  }
  SECTION("a record whose answer is lost may have been written") {
    fixture.rows.SetFaults({.delay = 1});
    const auto record = fixture.Record("r-1", 0, kNew);
    fixture.first.RunUntil([&] { return record->may_be_written; });
    record->is_abandoned = true;
    fixture.first.Poll();
    CHECK_FALSE(record->is_written);
    CHECK(record->may_be_written);
  }
  SECTION("by the default version, if there is no record") {
    fixture.RecordWhole("r-1", 0, kNew);
    fixture.WriteDefault("v1");
    const auto found = fixture.Find("r-2");
    REQUIRE(found.ok());
    CHECK(*found == kOld);
  }
  SECTION("unless there is no default version yet") {
    CHECK(fixture.Find("r-1").error().Is(base::Errc::kNotFound));
  }
  SECTION("unless no request is named or the store can't be read") {
    fixture.WriteDefault("v1");
    CHECK_FALSE(fixture.Find("").ok());
    fixture.rows.SetFaults({.down = true});
    CHECK_FALSE(fixture.Find("r-1").ok());
  }
}

TEST_CASE("all daemons learn the default version of a service") {
  StreamVersionFixture fixture;
  const auto knows = [](ServingFixture& daemon, const std::string& version) {
    daemon.Poll();
    return daemon.serving.stream_versions.default_version(kService) == version;
  };
  CHECK_FALSE(fixture.first.serving.stream_versions.default_version(kService));
  fixture.WriteDefault("v1");
  fixture.first.RunUntil([&] { return knows(fixture.second, "v1"); });
  fixture.WriteDefault("v2");
  fixture.first.RunUntil([&] { return knows(fixture.second, "v2"); });
  CHECK(knows(fixture.first, "v2"));
}

TEST_CASE("a store that fails delays the record of a stream") {
  StreamVersionFixture fixture;
  const auto& hooks = fixture.first.serving.stream_versions;
  CHECK(hooks.can_record());
  fixture.rows.SetFaults({.down = true});
  const auto record = fixture.Record("r-1", 0, kNew);
  fixture.first.RunUntil([&] { return !hooks.can_record(); });
  CHECK_FALSE(record->is_written);
  CHECK_FALSE(record->may_be_written);
  SECTION("the record of an attempt that was given up isn't written") {
    record->is_abandoned = true;
    fixture.rows.SetFaults({});
    fixture.RecordWhole("r-2", 0, kNew);
    CHECK(fixture.rows.Table(layout::kStreamTable).size() == 1);
    return;
  }
  fixture.rows.SetFaults({});
  fixture.first.RunUntil([&] { return record->is_written; });
  CHECK(hooks.can_record());
}

}  // namespace
}  // namespace gypsumtrack::gateway
