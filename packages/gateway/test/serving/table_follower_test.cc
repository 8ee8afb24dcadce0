#include "gypsumtrack/gateway/serving/table_follower.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "gypsumtrack/testing/memory_row_store.h"

namespace gypsumtrack::gateway {
namespace {

/// A follower of the table "owner" whose copy a test can look at.
class FollowerFixture {
 public:
  FollowerFixture() : client(this->rows.Client()) {}

  void Start() {
    TableFollowerOptions options;
    options.table = "owner";
    options.all_partitions = this->all_partitions;
    options.first_retry = std::chrono::milliseconds(1);
    options.last_retry = std::chrono::milliseconds(2);
    TableFollowerHooks hooks;
    hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& all,
                               std::uint64_t as_of) {
      this->copy.clear();
      this->snapshots++;
      this->complete_to = as_of;
      this->Take(all);
    };
    hooks.on_changes = [this](const std::vector<base::VersionedRow>& changed) {
      this->Take(changed);
    };
    hooks.on_failure = [this](const base::Error&) { this->failures++; };
    this->follower = std::make_shared<TableFollower>(
        this->context.get_executor(), base::SystemClock(), this->client,
        options, std::move(hooks));
    this->follower->Start();
    this->Run();
  }

  /// Until the follower waits for news.
  void Run() {
    this->context.restart();
    this->context.run_for(std::chrono::milliseconds(30));
  }

  std::uint64_t Put(const std::string& partition, const std::string& key) {
    base::RowTransaction put;
    put.puts.push_back({{"owner", partition, key}, "x"});
    std::uint64_t version = 0;
    this->rows.Client().transact(
        put, base::kNever, [&](const base::Outcome<base::TransactionReply>& r) {
          version = r->version;
        });
    return version;
  }

  void Take(const std::vector<base::VersionedRow>& changed) {
    for (const auto& row : changed) {
      if (row.removed) {
        this->copy.erase(row.at.key);
      } else {
        this->copy[row.at.key] = row.version;
      }
    }
  }

  boost::asio::io_context context;
  testing::MemoryRowStore rows;
  base::RowStore client;
  std::shared_ptr<TableFollower> follower;
  std::map<std::string, std::uint64_t> copy;
  bool all_partitions = true;
  std::uint64_t complete_to = 0;
  int snapshots = 0;
  int failures = 0;
};

TEST_CASE("a table of one partition is read once from the start") {
  // Its only row may be large, and all daemons read it at the same time.
  FollowerFixture fixture;
  fixture.all_partitions = false;
  const auto version = fixture.Put("", "a");
  int reads = 0;
  const auto read = fixture.client.read;
  fixture.client.read = [&](const base::RowRange& range, base::Instant by,
                            auto handler) {
    ++reads;
    CHECK(range.transfer_deadline > by);
    read(range, by, std::move(handler));
  };
  fixture.Start();
  CHECK(reads == 1);
  CHECK(fixture.copy.size() == 1);
  CHECK(fixture.complete_to == version);
}

TEST_CASE("a follower's copy misses no row") {
  FollowerFixture fixture;
  fixture.Put("club", "a");
  SECTION("rows there from the start, rows that come, rows that go") {
    fixture.Start();
    CHECK(fixture.copy.size() == 1);
    fixture.Put("events", "b");
    fixture.Run();
    CHECK(fixture.copy.size() == 2);
  }
  SECTION("a partition that appears while the table is read") {
    // All daemons start at once, and a job is accepted in between.
    const auto list = fixture.client.list_partitions;
    std::uint64_t version = 0;
    fixture.client.list_partitions = [&](const std::string& table,
                                         base::Instant by, auto handler) {
      list(table, by, std::move(handler));
      if (version == 0) version = fixture.Put("events", "b");
    };
    fixture.Start();
    CHECK(fixture.copy.contains("b"));
    CHECK(fixture.complete_to < version);
  }
  SECTION("the store forgets its history") {
    fixture.Start();
    fixture.rows.ForgetHistory();
    fixture.Put("events", "b");
    fixture.rows.ExpireFeeds();
    fixture.Run();
    CHECK(fixture.snapshots == 2);
    CHECK(fixture.copy.size() == 2);
  }
  SECTION("the store is away for a while") {
    fixture.Start();
    fixture.rows.SetFaults({.down = true});
    fixture.rows.ExpireFeeds();
    fixture.Run();
    CHECK(fixture.failures > 0);
    fixture.rows.SetFaults({});
    fixture.Put("events", "b");
    fixture.Run();
    CHECK(fixture.copy.size() == 2);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
