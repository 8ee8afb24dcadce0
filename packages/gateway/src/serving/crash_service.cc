#include "gypsumtrack/gateway/serving/crash_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../connection_probe.h"
#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "send_to_endpoint.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// How long the store holds a read of the reports: long, since they hardly ever
/// change.
constexpr base::Duration kFeedHold = std::chrono::seconds(5);
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1200);
/// Interval at which changed reports are written and cleared ones removed.
constexpr base::Duration kActiveTick = std::chrono::milliseconds(20);
/// Interval at which expired reports are looked for.
constexpr base::Duration kIdleTick = std::chrono::seconds(1);
/// Delay after a report couldn't be written.
constexpr base::Duration kRetryDelay = std::chrono::milliseconds(400);
/// An endpoint that doesn't refuse connections within this time is taken to be
/// alive, or to be cut off.
constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(400);
/// Maximum number of rows that a transaction writes or removes.
constexpr std::size_t kMaxRowsPerTransaction = 50;
/// Maximum number of endpoints that are probed at the same time.
constexpr std::size_t kMaxProbes = 32;

base::RowKey ReportRowKey(const policy::CrashReportKey& key) {
  return {layout::kCrashTable, "", layout::CrashReportRowKey(key)};
}

}  // namespace

class CrashService::State : public std::enable_shared_from_this<State> {
 public:
  State(ServingContext& serving, const FleetService& fleet_service)
      : context(serving),
        fleet(fleet_service),
        quarantine(serving.self.name, {}) {}

  void Start() {
    this->SetHooks();
    this->FollowReports();
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->Loop(); },
        asio::detached);
  }

 private:
  /// A run whose connection closed before its suspects made progress.
  struct LostRun {
    std::vector<policy::CrashSuspect> suspects;
    /// Equal for runs of the same request or item.
    std::string request;
    policy::EndpointEntry endpoint;
  };

  /// The id of an endpoint and its incarnation.
  using EndpointIncarnation = std::pair<base::EndpointId, std::uint64_t>;

  void SetHooks() {
    using Suspects = std::vector<policy::CrashSuspect>;
    auto& hooks = this->context.crash_hooks;
    hooks.find_quarantined = [this](const Suspects& suspects) {
      return this->quarantine.Find(suspects, this->context.clock.wall());
    };
    hooks.on_progress = [this](const Suspects& suspects) {
      this->quarantine.OnProgress(suspects, this->context.clock.now(),
                                  this->context.NextRandom());
    };
    hooks.on_lost = [this](const Suspects& suspects, const std::string& request,
                           const policy::EndpointEntry& endpoint) {
      this->OnLost({suspects, request, endpoint});
    };
  }

  // Crashes.

  void OnLost(LostRun run) {
    if (run.suspects.empty()) return;
    const EndpointIncarnation endpoint{run.endpoint.id,
                                       run.endpoint.incarnation};
    const auto found = this->probed.find(endpoint);
    if (found != this->probed.end()) {
      found->second.push_back(std::move(run));
      return;
    }
    if (this->probed.size() >= kMaxProbes) return;
    const auto address = run.endpoint.address;
    this->probed[endpoint].push_back(std::move(run));
    auto probe = [self = this->shared_from_this(), endpoint, address] {
      return self->Probe(endpoint, address);
    };
    asio::co_spawn(this->context.executor, std::move(probe), asio::detached);
  }

  /// Connections also close for other reasons, such as a fault of the network.
  /// Nothing listens any more where an endpoint has crashed.
  asio::awaitable<void> Probe(EndpointIncarnation endpoint,
                              std::string address) {
    const bool has_ended =
        co_await this->HasEnded(endpoint, std::move(address));
    const auto lost = this->probed.extract(endpoint);
    if (!has_ended) co_return;
    for (const auto& run : lost.mapped()) this->OnCrashed(run);
    // Written at once: each further request with the suspect costs an endpoint.
    co_await this->WriteReports();
  }

  /// Whether the endpoint has ended, and not this daemon's path to endpoints.
  asio::awaitable<bool> HasEnded(EndpointIncarnation endpoint,
                                 std::string address) {
    if (this->context.FindPath().kind == PathKind::kDirect) {
      const auto result = co_await ProbeConnection(
          std::move(address), this->context.clock, kProbeTimeout);
      if (result != ProbeResult::kRefused) co_return false;
    }
    const auto& confirm = this->context.path_hooks.confirm_ended;
    if (!confirm) co_return true;
    TunnelTarget target{endpoint.first, endpoint.second};
    const bool has_ended = co_await confirm(std::move(target));
    if (!has_ended) {
      base::LogEvent("crash_not_confirmed", {{"endpoint", endpoint.first.text},
                                             {"incarnation", endpoint.second}});
    }
    co_return has_ended;
  }

  void OnCrashed(const LostRun& run) {
    this->context.metrics.crashed_runs.Add();
    base::LogEvent("run_crashed", {{"run_of", run.request},
                                   {"suspects", FormatSuspects(run.suspects)},
                                   {"endpoint", run.endpoint.id.text},
                                   {"incarnation", run.endpoint.incarnation}});
    this->quarantine.OnCrash(
        run.suspects, {run.endpoint.id, run.endpoint.incarnation, run.request},
        this->context.clock.wall(), this->context.clock.now());
  }

  // Reports.

  void FollowReports() {
    TableFollowerOptions options;
    options.table = layout::kCrashTable;
    options.long_poll_timeout = kFeedHold;
    TableFollowerHooks hooks;
    hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                               std::uint64_t /*as_of*/) {
      this->quarantine.ForgetReports();
      this->keys_by_row.clear();
      this->ApplyReports(rows);
    };
    hooks.on_changes = [this](const std::vector<base::VersionedRow>& rows,
                              std::uint64_t /*as_of*/) {
      this->ApplyReports(rows);
    };
    this->follower = std::make_shared<TableFollower>(
        this->context.executor, this->context.clock, this->context.store,
        options, std::move(hooks));
    this->follower->Start();
  }

  void ApplyReports(const std::vector<base::VersionedRow>& rows) {
    for (const auto& row : rows) {
      if (row.removed) {
        this->ApplyRemoval(row.at.key);
        continue;
      }
      auto report = layout::ParseCrashReport(row.value);
      if (!report.ok()) {
        base::LogEvent("crash_report_unreadable",
                       {{"row", row.at.key}, {"row_version", row.version}});
        continue;
      }
      this->keys_by_row[row.at.key] = report->key;
      LogReport(*report, row.version);
      const auto suspect = report->key.suspect;
      this->quarantine.ApplyReport(std::move(*report), row.version);
      this->LogQuarantine(suspect);
    }
  }

  void ApplyRemoval(const std::string& row_key) {
    const auto found = this->keys_by_row.find(row_key);
    if (found == this->keys_by_row.end()) return;
    const auto& suspect = found->second.suspect;
    base::LogEvent("crash_report_removed",
                   {{"kind", policy::kSuspectKindNames.Name(suspect.kind)},
                    {"suspect", suspect.id},
                    {"vm", found->second.daemon}});
    this->quarantine.ApplyRemoval(found->second);
    this->logged_suspects.erase(suspect);
    this->keys_by_row.erase(found);
  }

  void LogQuarantine(const policy::CrashSuspect& suspect) {
    const bool is_quarantined =
        this->quarantine.Find({suspect}, this->context.clock.wall())
            .has_value();
    if (!is_quarantined || !this->logged_suspects.insert(suspect).second)
      return;
    base::LogEvent("quarantined",
                   {{"kind", policy::kSuspectKindNames.Name(suspect.kind)},
                    {"suspect", suspect.id}});
  }

  static void LogReport(const policy::CrashReport& report,
                        std::uint64_t version) {
    const auto& suspect = report.key.suspect;
    base::LogEvent("crash_report",
                   {{"kind", policy::kSuspectKindNames.Name(suspect.kind)},
                    {"suspect", suspect.id},
                    {"vm", report.key.daemon},
                    {"runs", report.runs.size()},
                    {"row_version", version}});
  }

  asio::awaitable<void> Loop() {
    for (;;) {
      co_await Pause(this->NextPause());
      co_await this->WriteReports();
      co_await this->RemoveReports();
    }
  }

  base::Duration NextPause() const {
    if (!this->quarantine.has_pending_reports()) return kIdleTick;
    return this->write_failed ? kRetryDelay : kActiveTick;
  }

  asio::awaitable<void> WriteReports() {
    if (this->writing) co_return;
    this->writing = true;
    this->write_failed = false;
    auto reports =
        this->quarantine.TakeChangedReports(this->context.clock.now());
    while (!reports.empty()) {
      base::RowTransaction put;
      std::vector<policy::CrashReport> written;
      while (!reports.empty() && written.size() < kMaxRowsPerTransaction) {
        const auto& report = reports.back();
        put.puts.push_back(
            {ReportRowKey(report.key), layout::SerializeCrashReport(report)});
        written.push_back(report);
        reports.pop_back();
      }
      const auto reply =
          co_await Transact(this->context.store, std::move(put),
                            this->context.clock.now() + kCallTimeout);
      if (!reply.ok()) {
        base::LogEvent(
            "crash_report_not_written",
            {{"reports", written.size()}, {"reason", reply.error().message}});
        this->quarantine.OnWriteFailed(written);
        this->quarantine.OnWriteFailed(reports);
        this->write_failed = true;
        break;
      }
      if (reports.empty())
        reports =
            this->quarantine.TakeChangedReports(this->context.clock.now());
    }
    this->writing = false;
  }

  /// Each report is removed by itself: a changed one must not keep others.
  asio::awaitable<void> RemoveReports() {
    const auto removals = this->quarantine.TakeReportsToRemove(
        this->fleet.IsCollector(), this->context.clock.now(),
        this->context.clock.wall());
    for (const auto& [key, version] : removals) {
      base::RowTransaction removal;
      removal.expectations.push_back({ReportRowKey(key), version});
      removal.removals.push_back(ReportRowKey(key));
      const auto reply =
          co_await Transact(this->context.store, std::move(removal),
                            this->context.clock.now() + kCallTimeout);
      base::LogEvent(
          "crash_report_cleared",
          {{"kind", policy::kSuspectKindNames.Name(key.suspect.kind)},
           {"suspect", key.suspect.id},
           {"vm", key.daemon},
           {"removed", reply.ok() && reply->applied ? 1 : 0}});
    }
  }

  ServingContext& context;
  const FleetService& fleet;
  policy::CrashQuarantine quarantine;
  std::shared_ptr<TableFollower> follower;
  /// What the rows that were read are about, by their keys.
  std::map<std::string, policy::CrashReportKey> keys_by_row;
  /// The lost runs of the endpoints that are being probed.
  std::map<EndpointIncarnation, std::vector<LostRun>> probed;
  bool writing = false;
  /// Whether the last attempt to write reports failed.
  bool write_failed = false;
  /// Suspects whose quarantine was logged.
  std::set<policy::CrashSuspect> logged_suspects;
};

CrashService::CrashService(ServingContext& serving, const FleetService& fleet)
    : context(serving), state(std::make_shared<State>(serving, fleet)) {}

CrashService::~CrashService() { this->context.crash_hooks = {}; }

void CrashService::Start() { this->state->Start(); }

}  // namespace gypsumtrack::gateway
