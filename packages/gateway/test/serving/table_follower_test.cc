#include "gypsumtrack/gateway/serving/table_follower.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "gypsumtrack/testing/memory_row_store.h"

namespace gypsumtrack::gateway {
namespace {

/// A follower of the table "owner" that maintains a copy of it.
class FollowerFixture {
 public:
  FollowerFixture() : client(this->rows.Client()) {}

  void Start() {
    TableFollowerOptions options;
    options.table = "owner";
    options.all_partitions = this->all_partitions;
    options.initial_backoff = std::chrono::milliseconds(1);
    options.max_backoff = std::chrono::milliseconds(2);
    TableFollowerHooks hooks;
    hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                               std::uint64_t as_of) {
      this->copy.clear();
      this->snapshot_count++;
      this->complete_up_to = as_of;
      this->Apply(rows);
    };
    hooks.on_changes = [this](const std::vector<base::VersionedRow>& changed,
                              std::uint64_t as_of) {
      this->changes_up_to = as_of;
      this->Apply(changed);
    };
    hooks.on_failure = [this](const base::Error&) { this->failure_count++; };
    this->follower = std::make_shared<TableFollower>(
        this->context.get_executor(), base::SystemClock(), this->client,
        options, std::move(hooks));
    this->follower->Start();
    this->Run();
  }

  /// Runs until the follower waits for changes.
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

  void Apply(const std::vector<base::VersionedRow>& changed) {
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
  std::uint64_t complete_up_to = 0;
  std::uint64_t changes_up_to = 0;
  int snapshot_count = 0;
  int failure_count = 0;
};

TEST_CASE("a table of one partition is read with a single call") {
  // Its only row may be large, and all daemons may read it at the same time.
  FollowerFixture fixture;
  fixture.all_partitions = false;
  const auto version = fixture.Put("", "a");
  int read_count = 0;
  const auto read = fixture.client.read;
  fixture.client.read = [&](const base::RowRange& range, base::Instant deadline,
                            auto handler) {
    ++read_count;
    CHECK(range.transfer_deadline > deadline);
    read(range, deadline, std::move(handler));
  };
  fixture.Start();
  CHECK(read_count == 1);
  CHECK(fixture.copy.size() == 1);
  CHECK(fixture.complete_up_to == version);
}

TEST_CASE("a table follower's copy contains all rows") {
  FollowerFixture fixture;
  fixture.Put("club", "a");
  SECTION("rows from before the start and rows added later") {
    fixture.Start();
    CHECK(fixture.copy.size() == 1);
    const auto version = fixture.Put("events", "b");
    fixture.Run();
    CHECK(fixture.copy.size() == 2);
    CHECK(fixture.changes_up_to == version);
  }
  SECTION("a partition that is added while the table is read") {
    // Guards against a lost row: a job that was accepted after the follower had
    // listed the partitions, while all daemons were starting.
    const auto list = fixture.client.list_partitions;
    std::uint64_t version = 0;
    fixture.client.list_partitions = [&](const std::string& table,
                                         base::Instant deadline, auto handler) {
      list(table, deadline, std::move(handler));
      if (version == 0) version = fixture.Put("events", "b");
    };
    fixture.Start();
    CHECK(fixture.copy.contains("b"));
    CHECK(fixture.complete_up_to < version);
  }
  SECTION("the store discards the history of its feed") {
    fixture.Start();
    fixture.rows.ForgetHistory();
    fixture.Put("events", "b");
    fixture.rows.ExpireFeeds();
    fixture.Run();
    CHECK(fixture.snapshot_count == 2);
    CHECK(fixture.copy.size() == 2);
  }
  SECTION("the store is unavailable for a while") {
    fixture.Start();
    fixture.rows.SetFaults({.down = true});
    fixture.rows.ExpireFeeds();
    fixture.Run();
    CHECK(fixture.failure_count > 0);
    fixture.rows.SetFaults({});
    fixture.Put("events", "b");
    fixture.Run();
    CHECK(fixture.copy.size() == 2);
  }
  SECTION("a feed that hangs while the store is reached again") {
    fixture.Start();
    const auto feed = fixture.client.feed;
    base::StoreHandler<base::FeedPage> late;
    fixture.client.feed = [&](const base::FeedRequest&, base::Instant,
                              auto handler) { late = std::move(handler); };
    fixture.rows.ExpireFeeds();
    fixture.Run();
    REQUIRE(late);
    fixture.client.feed = feed;
    fixture.Put("events", "b");
    fixture.Run();
    CHECK(fixture.copy.size() == 1);
    fixture.follower->Retry();
    fixture.Run();
    CHECK(fixture.copy.size() == 2);
    CHECK(fixture.snapshot_count == 1);

    SECTION("and the response to the old call changes nothing") {
      const base::VersionedRow row{{"owner", "events", "b"}, {}, 1, true};
      late(base::FeedPage{{row}, 1, false});
      fixture.Run();
      CHECK(fixture.copy.size() == 2);
      fixture.Put("events", "c");
      fixture.Run();
      CHECK(fixture.copy.size() == 3);
    }
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
