#include "gypsumtrack/gateway/serving/crash_service.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/testing/memory_row_store.h"
#include "serving_fixture.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Parts = std::vector<base::PromptPart>;
using Suspects = std::vector<policy::CrashSuspect>;

const Parts kParts{base::PromptPart("common"), base::PromptPart("bad")};
const Parts kCommon{base::PromptPart("common")};

/// Two daemons that share a store, and endpoints of which only the port
/// matters.
class CrashServiceFixture {
 public:
  CrashServiceFixture()
      : store(this->rows.Client()),
        first(this->store, "vm-1", {}),
        second(this->store, "vm-2", {}),
        first_crashes(this->first.serving, this->first.fleet),
        second_crashes(this->second.serving, this->second.fleet) {
    this->first_crashes.Start();
    this->second_crashes.Start();
  }

  /// A run at the daemon is lost before its first event.
  static void LoseRun(ServingFixture& daemon, const std::string& request,
                      const std::string& endpoint, const std::string& address,
                      const Suspects& suspects = policy::ToSuspects(kParts)) {
    policy::EndpointEntry entry;
    entry.id = base::EndpointId(endpoint);
    entry.incarnation = 1;
    entry.address = address;
    daemon.serving.crash_hooks.on_lost(suspects, request, entry);
  }

  /// The address of a port on which nothing listens.
  std::string ClosedAddress() {
    tcp::acceptor acceptor(this->first.context,
                           {asio::ip::make_address("127.0.0.1"), 0});
    return AddressOf(acceptor);
  }

  static std::string AddressOf(const tcp::acceptor& acceptor) {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  static bool IsQuarantined(const ServingFixture& daemon, const Parts& parts) {
    return IsQuarantined(daemon, policy::ToSuspects(parts));
  }

  static bool IsQuarantined(const ServingFixture& daemon,
                            const Suspects& suspects) {
    return daemon.serving.crash_hooks.find_quarantined(suspects).has_value();
  }

  std::size_t CountReports() const {
    return this->rows.Table(layout::kCrashTable).size();
  }

  /// Runs both daemons until the condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    this->first.RunUntil([&] {
      this->second.Poll();
      return condition();
    });
  }

  testing::MemoryRowStore rows;
  base::RowStore store;
  ServingFixture first;
  ServingFixture second;
  CrashService first_crashes;
  CrashService second_crashes;
};

TEST_CASE("daemons add up the crashes that each of them has seen") {
  CrashServiceFixture fixture;
  const auto closed = fixture.ClosedAddress();
  CrashServiceFixture::LoseRun(fixture.first, "r-1", "e-1", closed);
  CrashServiceFixture::LoseRun(fixture.first, "r-1", "e-2", closed);
  CrashServiceFixture::LoseRun(fixture.second, "r-2", "e-3", closed);
  fixture.RunUntil([&] {
    return CrashServiceFixture::IsQuarantined(fixture.first, kParts) &&
           CrashServiceFixture::IsQuarantined(fixture.second, kParts);
  });
  SECTION("and clear a part as soon as a run with it gets an event") {
    fixture.second.serving.crash_hooks.on_progress(policy::ToSuspects(kCommon));
    fixture.RunUntil([&] {
      return !CrashServiceFixture::IsQuarantined(fixture.first, kCommon) &&
             !CrashServiceFixture::IsQuarantined(fixture.second, kCommon);
    });
    CHECK(fixture.CountReports() == 2);
    CHECK(CrashServiceFixture::IsQuarantined(fixture.first, kParts));
  }
  SECTION("a daemon that starts later reads them") {
    ServingFixture third(fixture.store, "vm-3", {});
    CrashService crashes(third.serving, third.fleet);
    crashes.Start();
    third.RunUntil(
        [&] { return CrashServiceFixture::IsQuarantined(third, kParts); });
  }
}

TEST_CASE("daemons add up the crashes under a request that comes again") {
  CrashServiceFixture fixture;
  const auto closed = fixture.ClosedAddress();
  const Suspects request{{policy::SuspectKind::kRequest, "f00d"}};
  const Suspects part_of_that_name{{policy::SuspectKind::kPromptPart, "f00d"}};
  const auto is_quarantined = [&](const ServingFixture& daemon) {
    return CrashServiceFixture::IsQuarantined(daemon, request);
  };
  CrashServiceFixture::LoseRun(fixture.first, "r-1", "e-1", closed, request);
  CrashServiceFixture::LoseRun(fixture.first, "r-1", "e-2", closed, request);
  CrashServiceFixture::LoseRun(fixture.second, "r-2", "e-3", closed, request);
  fixture.RunUntil([&] {
    return is_quarantined(fixture.first) && is_quarantined(fixture.second);
  });
  CHECK_FALSE(
      CrashServiceFixture::IsQuarantined(fixture.first, part_of_that_name));
  SECTION("and clear it as soon as a run of it gets its whole answer") {
    fixture.second.serving.crash_hooks.on_progress(request);
    fixture.RunUntil([&] {
      return !is_quarantined(fixture.first) && !is_quarantined(fixture.second);
    });
    CHECK(fixture.CountReports() == 0);
  }
}

TEST_CASE("a lost run whose endpoint still listens isn't a crash") {
  CrashServiceFixture fixture;
  tcp::acceptor alive(fixture.first.context,
                      {asio::ip::make_address("127.0.0.1"), 0});
  const auto alive_address = CrashServiceFixture::AddressOf(alive);
  CrashServiceFixture::LoseRun(fixture.first, "r-1", "e-1", alive_address);
  // The report on a crash that came later shows that the first was looked at.
  CrashServiceFixture::LoseRun(fixture.first, "r-2", "e-2",
                               fixture.ClosedAddress());
  fixture.RunUntil([&] { return fixture.CountReports() == 2; });
  for (const auto& row : fixture.rows.Table(layout::kCrashTable)) {
    const auto report = layout::ParseCrashReport(row.value);
    REQUIRE(report.ok());
    REQUIRE(report->runs.size() == 1);
    CHECK(report->runs.begin()->endpoint.text == "e-2");
  }
}

// Guards against crashes that don't count because as many endpoints are being
// probed as may be at the same time.
TEST_CASE("very many endpoints crash at once") {
  constexpr std::size_t kEndpoints = 100;
  CrashServiceFixture fixture;
  const auto closed = fixture.ClosedAddress();
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const auto number = std::to_string(i);
    CrashServiceFixture::LoseRun(fixture.first, "r-" + number, "e-" + number,
                                 closed);
  }
  const auto& crashed_runs = fixture.first.serving.metrics.crashed_runs;
  const auto deadline = fixture.first.clock.now() + std::chrono::seconds(5);
  fixture.RunUntil([&] {
    return crashed_runs.Value() == kEndpoints ||
           fixture.first.clock.now() >= deadline;
  });
  CHECK(crashed_runs.Value() == kEndpoints);
}

/// A daemon whose connections say whether an endpoint has ended. Its one
/// endpoint has lost a run.
class LostRunFixture {
 public:
  explicit LostRunFixture(policy::Liveness found)
      : told(found),
        store(this->rows.Client()),
        daemon(this->store, "vm-1", {}),
        crashes(this->Prepared().serving, this->daemon.fleet) {
    this->crashes.Start();
    this->daemon.serving.path_hooks.check_liveness =
        [this](const TunnelTarget&) { return this->Tell(); };
    this->read.as_of = 1;
    this->read.written.push_back({base::EndpointId("e-1"), 1, 1});
    this->Read();
    tcp::acceptor closed(this->daemon.context,
                         {asio::ip::make_address("127.0.0.1"), 0});
    const auto address = CrashServiceFixture::AddressOf(closed);
    closed.close();
    CrashServiceFixture::LoseRun(this->daemon, "r-1", "e-1", address);
    const bool counts = found == policy::Liveness::kEnded;
    this->daemon.RunUntil([&] {
      return this->has_asked && this->crashed_runs() == (counts ? 1 : 0);
    });
  }

  /// Passes a read of the endpoints' rows to the daemon, after which the next
  /// one is prepared.
  void Read() {
    this->read.sent_at = this->daemon.clock.now();
    this->crashes.OnEndpointRows(this->read);
    this->read.written.clear();
    this->read.removed.clear();
    ++this->read.as_of;
  }

  std::uint64_t crashed_runs() const {  // NOLINT
    return this->daemon.serving.metrics.crashed_runs.Value();
  }

  static constexpr base::Duration kPeriod = std::chrono::milliseconds(10);

  policy::Liveness told;
  testing::MemoryRowStore rows;
  base::RowStore store;
  ServingFixture daemon;
  CrashService crashes;
  policy::EndpointRowsRead read;

 private:
  ServingFixture& Prepared() {
    this->daemon.serving.settings.endpoint_heartbeat_period = kPeriod;
    return this->daemon;
  }

  asio::awaitable<policy::Liveness> Tell() {
    this->has_asked = true;
    co_return this->told;
  }

  bool has_asked = false;
};

TEST_CASE("connections don't show whether an endpoint has crashed") {
  LostRunFixture fixture(policy::Liveness::kUnknown);
  const auto expire = [&] {
    const auto expires_at =
        fixture.daemon.clock.now() + 3 * LostRunFixture::kPeriod;
    fixture.daemon.RunUntil(
        [&] { return fixture.daemon.clock.now() >= expires_at; });
    fixture.read.removed.emplace_back("e-1");
    fixture.Read();
  };
  SECTION("its crash counts once its row has expired") {
    expire();
    CHECK(fixture.crashed_runs() == 1);
    fixture.daemon.RunUntil([&] {
      return fixture.rows.Table(layout::kCrashTable).size() == kParts.size();
    });
  }
  SECTION("its crash counts when it has started again") {
    fixture.read.written.push_back({base::EndpointId("e-1"), 2, 2});
    fixture.Read();
    CHECK(fixture.crashed_runs() == 1);
  }
  SECTION("it didn't crash if it renews its row") {
    fixture.Read();
    fixture.read.written.push_back(
        {base::EndpointId("e-1"), 1, fixture.read.as_of});
    fixture.Read();
    expire();
    CHECK(fixture.crashed_runs() == 0);
  }
  SECTION("the run counts for nothing that made progress meanwhile") {
    fixture.daemon.serving.crash_hooks.on_progress(policy::ToSuspects(kParts));
    expire();
    CHECK(fixture.crashed_runs() == 0);
  }
}

// Guards against sound requests that are blamed because a daemon lost its path
// to some endpoints while others answered.
TEST_CASE("connections show a crash of an endpoint that lives") {
  LostRunFixture fixture(policy::Liveness::kEnded);
  const auto reports = [&] {
    return fixture.rows.Table(layout::kCrashTable).size();
  };
  fixture.daemon.RunUntil([&] { return reports() == kParts.size(); });
  fixture.Read();
  fixture.read.written.push_back(
      {base::EndpointId("e-1"), 1, fixture.read.as_of});
  fixture.Read();
  fixture.daemon.RunUntil([&] { return reports() == 0; });
}

TEST_CASE("reports are written once the store is reachable again") {
  CrashServiceFixture fixture;
  fixture.rows.SetFaults({.down = true});
  const auto closed = fixture.ClosedAddress();
  CrashServiceFixture::LoseRun(fixture.first, "r-1", "e-1", closed);
  CrashServiceFixture::LoseRun(fixture.first, "r-2", "e-2", closed);
  CrashServiceFixture::LoseRun(fixture.first, "r-2", "e-3", closed);
  fixture.RunUntil([&] {
    return CrashServiceFixture::IsQuarantined(fixture.first, kParts);
  });
  CHECK(fixture.CountReports() == 0);
  fixture.rows.SetFaults({});
  fixture.RunUntil([&] {
    return CrashServiceFixture::IsQuarantined(fixture.second, kParts);
  });
}

TEST_CASE("a report that can't be read does no harm") {
  CHECK_FALSE(layout::ParseCrashReport("").ok());
  CHECK_FALSE(layout::ParseCrashReport(R"({"part":"a","vm":"b"})").ok());
  CHECK_FALSE(
      layout::ParseCrashReport(R"({"vm":"b","last_crash":1,"runs":[]})").ok());
  CHECK_FALSE(layout::ParseCrashReport(
                  R"({"part":"a","vm":"b","last_crash":1,"runs":[1]})")
                  .ok());
}

}  // namespace
}  // namespace gypsumtrack::gateway
