#include "gypsumtrack/gateway/serving/job_service.h"

#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "../../src/serving/job_store.h"
#include "../test_caller.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"
#include "serving_fixture.h"

namespace gypsumtrack::gateway {
namespace {

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};

/// A store client that can delay the responses to reads of one table, and that
/// knows how far the owner table was followed.
class DelayingClient {
 public:
  explicit DelayingClient(base::RowStore row_store)
      : inner(std::move(row_store)), client(this->inner) {
    this->client.read = [this](const base::RowRange& range,
                               base::Instant deadline, auto handler) {
      if (range.table != this->delayed_table) {
        return this->inner.read(range, deadline, std::move(handler));
      }
      this->delayed_read = [this, range, deadline, handler] {
        this->inner.read(range, deadline, handler);
      };
    };
    this->client.feed = [this](const base::FeedRequest& request,
                               base::Instant deadline, auto handler) {
      if (request.table == layout::kOwnerTable)
        this->followed_version = request.after_version;
      this->inner.feed(request, deadline, std::move(handler));
    };
  }

  base::RowStore inner;
  base::RowStore client;
  std::string delayed_table;
  /// Carries out the read that waits; empty if none does.
  std::function<void()> delayed_read;
  /// Version up to which the daemon has applied the owner table's changes.
  std::uint64_t followed_version = 0;
};

/// One daemon and its store.
class JobServiceFixture {
 public:
  JobServiceFixture()
      : store(this->rows.Client()),
        daemon(this->store.client, "vm-1", MakeWire()),
        jobs(this->daemon.serving, this->daemon.fleet) {}

  /// Starts the daemon and runs it until it may take jobs over.
  void Start() {
    this->daemon.fleet.Start();
    this->jobs.Start();
    this->daemon.RunUntil([this] { return this->daemon.fleet.HoldsLease(); });
  }

  /// Another daemon accepts a job of one item and leaves without running it.
  void AcceptElsewhere() {
    const auto item = Item();
    const auto acceptance =
        RunCoroutine(AcceptJob(this->Other(), kKey, "sheets", {item}, "body", 0,
                               base::kNever, [] { return true; }));
    REQUIRE(acceptance.owner_version != 0);
    OwnedJob job{kKey,
                 acceptance.row,
                 {item},
                 policy::JobRun(ToJobItems({item}), {}, {}),
                 acceptance.owner_version};
    REQUIRE(RunCoroutine(HandOver(this->Other(), job)));
  }

  /// Another daemon ends the job for its caller. Returns the store's version in
  /// which it has ended.
  std::uint64_t EndElsewhere() {
    const auto ended = RunCoroutine(EndJob(this->Other(), kKey, base::kNever));
    REQUIRE(ended.ok());
    return this->StoreVersion();
  }

  std::optional<base::VersionedRow> OwnerRow() const {
    return this->rows.Find(
        {layout::kOwnerTable, kKey.organisation.text, kKey.job.text});
  }

  testing::MemoryRowStore rows;
  DelayingClient store;
  ServingFixture daemon;
  JobService jobs;

 private:
  static SubmittedItem Item() {
    SubmittedItem item;
    item.id = "a";
    item.tokens = 100;
    return item;
  }

  static Wire MakeWire() {
    Wire wire;
    wire.read_submission = [](std::string_view) {
      return base::Outcome<std::vector<SubmittedItem>>({Item()});
    };
    return wire;
  }

  std::uint64_t StoreVersion() {
    base::RowRange range;
    range.table = layout::kOwnerTable;
    return RunCoroutine(ReadRows(this->store.inner, range, base::kNever))
        ->store_version;
  }

  JobStore Other() {
    return {this->store.inner, this->daemon.clock, {"vm-2", 1}};
  }
};

/// Another daemon has accepted the job and left. This one has taken it over
/// and waits for the last row that it reads to run it.
class TakeoverFixture : public JobServiceFixture {
 public:
  TakeoverFixture() {
    this->AcceptElsewhere();
    this->store.delayed_table = layout::kPartialTable;
    this->Start();
    this->daemon.RunUntil(
        [this] { return this->store.delayed_read != nullptr; });
    REQUIRE(layout::ParseOwner(this->OwnerRow()->value)->name == "vm-1");
  }

  /// Carries out the read and what follows from it.
  void FinishTakeover() {
    this->store.delayed_read();
    this->daemon.Poll();
  }
};

TEST_CASE("a job whose owner left is taken over and run") {
  TakeoverFixture takeover;
  takeover.FinishTakeover();
  CHECK(takeover.jobs.CountWaitingItems() == 1);
}

// Guards against items that reach endpoints after the end of their job was
// acknowledged, because a daemon took the job over while it was being ended.
TEST_CASE("a job that ends while it is taken over isn't run") {
  TakeoverFixture takeover;
  const auto end_version = takeover.EndElsewhere();
  takeover.daemon.RunUntil(
      [&] { return takeover.store.followed_version >= end_version; });
  takeover.FinishTakeover();
  CHECK(takeover.jobs.CountWaitingItems() == 0);
}

// Guards against a refusal that tells the caller never to submit the job again.
TEST_CASE("a submission arrives too slowly") {
  JobServiceFixture fixture;
  policy::RouteRule route;
  AccessDecision access;
  access.rules = std::make_shared<const policy::ServingRules>();
  access.route = &route;
  Router router;
  router.Add("*", "/", [&](Exchange& exchange) {
    return fixture.jobs.HandleSubmission(exchange, {}, access);
  });
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.slow_body_grace = std::chrono::milliseconds(20);
  HttpServer server(fixture.daemon.context.get_executor(), fixture.daemon.clock,
                    std::move(options), std::move(router));
  REQUIRE(server.Start().ok());
  TestCaller caller(server.address());
  caller.SendRaw("POST /s HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\na");
  auto pending =
      std::async(std::launch::async, [&caller] { return caller.Read(); });
  fixture.daemon.RunUntil([&pending] {
    return pending.wait_for(base::Duration::zero()) ==
           std::future_status::ready;
  });
  CHECK(pending.get().status == 408);
}

}  // namespace
}  // namespace gypsumtrack::gateway
