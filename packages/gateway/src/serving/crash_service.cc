#include "gypsumtrack/gateway/serving/crash_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../connection_probe.h"
#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "gypsumtrack/policy/serving/endpoint_liveness.h"
#include "gypsumtrack/policy/serving/lost_runs.h"
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
/// Maximum number of connections that probes open at the same time.
constexpr std::size_t kMaxProbes = 32;
constexpr base::Duration kProbeQueueInterval = std::chrono::milliseconds(5);
/// Maximum number of lost runs whose endpoints may have crashed.
constexpr std::size_t kMaxLostRuns = 4096;

policy::EndpointLivenessOptions LivenessOptions(
    const ServingSettings& settings) {
  policy::EndpointLivenessOptions options;
  options.heartbeat_period = settings.endpoint_heartbeat_period;
  return options;
}

base::RowKey ReportRowKey(const policy::CrashReportKey& key) {
  return {layout::kCrashTable, "", layout::CrashReportRowKey(key)};
}

}  // namespace

class CrashService::State : public std::enable_shared_from_this<State> {
 public:
  State(ServingContext& serving, const FleetService& fleet_service)
      : context(serving),
        fleet(fleet_service),
        quarantine(serving.self.name, {}),
        lost_runs(kMaxLostRuns),
        liveness(LivenessOptions(serving.settings)) {}

  void Start() {
    this->SetHooks();
    this->FollowReports();
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->Loop(); },
        asio::detached);
  }

  void OnEndpointRows(const policy::EndpointRowsRead& read) {
    this->liveness.OnRead(read, this->context.clock.now());
    this->ApplyVerdicts();
  }

 private:
  /// What showed whether an endpoint has ended.
  enum class Evidence { kConnections, kHeartbeats };

  static constexpr auto kEvidenceNames =
      base::MakeEnumTable<Evidence>({{Evidence::kConnections, "connections"},
                                     {Evidence::kHeartbeats, "heartbeats"}});

  void SetHooks() {
    using Suspects = std::vector<policy::CrashSuspect>;
    auto& hooks = this->context.crash_hooks;
    hooks.find_quarantined = [this](const Suspects& suspects) {
      return this->quarantine.Find(suspects, this->context.clock.wall());
    };
    hooks.on_progress = [this](const Suspects& suspects) {
      this->lost_runs.OnProgress(suspects);
      this->quarantine.OnProgress(suspects, this->context.clock.now(),
                                  this->context.NextRandom());
    };
    hooks.on_lost = [this](const Suspects& suspects, const std::string& request,
                           const policy::EndpointEntry& endpoint) {
      policy::LostRun run;
      run.suspects = suspects;
      run.request = request;
      run.endpoint = {endpoint.id, endpoint.incarnation};
      run.lost_at = this->context.clock.now();
      run.lost_at_wall = this->context.clock.wall();
      this->OnLost(std::move(run), endpoint.address);
    };
  }

  // Crashes.

  void OnLost(policy::LostRun run, const std::string& address) {
    if (run.suspects.empty()) return;
    const auto endpoint = run.endpoint;
    const auto lost_at = run.lost_at;
    if (!this->lost_runs.Add(std::move(run))) {
      base::LogEvent("lost_run_not_kept",
                     {{"endpoint", endpoint.id.text},
                      {"incarnation", endpoint.incarnation},
                      {"kept", this->lost_runs.size()}});
      return;
    }
    this->liveness.Watch(endpoint, lost_at);
    if (!this->probed.insert(endpoint).second) return;
    auto probe = [self = this->shared_from_this(), endpoint, address] {
      return self->Probe(endpoint, address);
    };
    asio::co_spawn(this->context.executor, std::move(probe), asio::detached);
  }

  /// Connections also close for other reasons, such as a fault of the network.
  /// Nothing listens any more where an endpoint has crashed.
  asio::awaitable<void> Probe(policy::EndpointIncarnation endpoint,
                              std::string address) {
    const auto found = co_await this->CheckLiveness(endpoint, address);
    this->probed.erase(endpoint);
    if (found != policy::Liveness::kUnknown) {
      this->Settle(endpoint, found, Evidence::kConnections);
    } else if (this->liveness.IsWatched(endpoint)) {
      base::LogEvent("crash_undecided",
                     {{"endpoint", endpoint.id.text},
                      {"incarnation", endpoint.incarnation}});
    } else {
      this->Settle(endpoint, found, Evidence::kHeartbeats);
    }
  }

  /// Whether the endpoint has ended, and not this daemon's path to endpoints.
  asio::awaitable<policy::Liveness> CheckLiveness(
      policy::EndpointIncarnation endpoint, std::string address) {
    if (this->IsPathDirect()) {
      const auto result = co_await this->ProbePort(address);
      if (result != ProbeResult::kRefused) co_return policy::Liveness::kAlive;
    }
    const auto& check = this->context.path_hooks.check_liveness;
    if (!check) co_return policy::Liveness::kEnded;
    TunnelTarget target{endpoint.id, endpoint.incarnation};
    const auto found = co_await check(std::move(target));
    if (found != policy::Liveness::kEnded || !this->IsPathDirect())
      co_return found;
    // The path may have been lost when the port refused, and be back since.
    const auto result = co_await this->ProbePort(std::move(address));
    co_return result == ProbeResult::kRefused ? policy::Liveness::kEnded
                                              : policy::Liveness::kUnknown;
  }

  bool IsPathDirect() const {
    return this->context.FindPath().kind == PathKind::kDirect;
  }

  asio::awaitable<ProbeResult> ProbePort(std::string address) {
    while (this->open_probes >= kMaxProbes) co_await Pause(kProbeQueueInterval);
    ++this->open_probes;
    const auto result = co_await ProbeConnection(
        std::move(address), this->context.clock, kProbeTimeout);
    --this->open_probes;
    co_return result;
  }

  void ApplyVerdicts() {
    const auto verdicts =
        this->liveness.TakeVerdicts(this->context.clock.now());
    for (const auto& verdict : verdicts) {
      const bool probe_decides =
          verdict.liveness == policy::Liveness::kUnknown &&
          this->probed.contains(verdict.endpoint);
      if (probe_decides) continue;
      this->Settle(verdict.endpoint, verdict.liveness, Evidence::kHeartbeats);
      if (verdict.liveness == policy::Liveness::kAlive)
        this->Withdraw(verdict.endpoint);
    }
  }

  /// Forgets what was counted as a crash of the endpoint: other endpoints
  /// answered, and the path to this one was lost.
  void Withdraw(const policy::EndpointIncarnation& endpoint) {
    const auto suspects = this->quarantine.OnAlive(endpoint);
    if (suspects == 0) return;
    base::LogEvent("crash_withdrawn", {{"endpoint", endpoint.id.text},
                                       {"incarnation", endpoint.incarnation},
                                       {"suspects", suspects}});
  }

  /// Counts the lost runs of an endpoint as crashed if it has ended, and
  /// forgets them. What connections have shown is checked by the heartbeats.
  void Settle(const policy::EndpointIncarnation& endpoint,
              policy::Liveness found, Evidence evidence) {
    const auto lost = this->lost_runs.Take(endpoint);
    if (lost.empty()) return;
    const bool has_ended = found == policy::Liveness::kEnded;
    const auto waited = this->context.clock.now() - lost.front().lost_at;
    base::LogEvent(has_ended ? "crash_confirmed" : "crash_not_confirmed",
                   {{"endpoint", endpoint.id.text},
                    {"incarnation", endpoint.incarnation},
                    {"liveness", policy::kLivenessNames.Name(found)},
                    {"evidence", kEvidenceNames.Name(evidence)},
                    {"runs", lost.size()},
                    {"after_ms", waited.count() / 1000}});
    if (!has_ended) return;
    for (const auto& run : lost) this->OnCrashed(run);
    // Written at once: each further request with a suspect costs an endpoint.
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->WriteReports(); },
        asio::detached);
  }

  void OnCrashed(const policy::LostRun& run) {
    const auto& endpoint = run.endpoint;
    this->context.metrics.crashed_runs.Add();
    base::LogEvent("run_crashed", {{"run_of", run.request},
                                   {"suspects", FormatSuspects(run.suspects)},
                                   {"endpoint", endpoint.id.text},
                                   {"incarnation", endpoint.incarnation}});
    this->quarantine.OnCrash(run.suspects,
                             {endpoint.id, endpoint.incarnation, run.request},
                             run.lost_at_wall, run.lost_at);
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
      this->ApplyVerdicts();
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
  policy::LostRuns lost_runs;
  policy::EndpointLiveness liveness;
  /// The endpoints that are being probed.
  std::set<policy::EndpointIncarnation> probed;
  std::size_t open_probes = 0;
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

void CrashService::OnEndpointRows(const policy::EndpointRowsRead& read) {
  this->state->OnEndpointRows(read);
}

}  // namespace gypsumtrack::gateway
