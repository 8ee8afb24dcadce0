#include "gypsumtrack/gateway/serving/stream_version_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "gypsumtrack/policy/serving/stream_versions.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// How long the store holds a read of the default versions: long, since they
/// hardly ever change.
constexpr base::Duration kFeedHold = std::chrono::seconds(5);
/// Shorter than the time for which callers wait for a first event.
constexpr base::Duration kRecordTimeout = std::chrono::milliseconds(300);
constexpr base::Duration kRecordRetryDelay = std::chrono::milliseconds(50);
/// Time after a record couldn't be written for which the store is taken to
/// fail.
constexpr base::Duration kRecordFailureBackoff = std::chrono::seconds(1);
constexpr base::Duration kLookupTimeout = std::chrono::milliseconds(400);
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1200);
constexpr base::Duration kObservePeriod = std::chrono::milliseconds(250);
/// Time beyond the timeout of its route for which callers may take a stream up.
constexpr base::Duration kTakeUpTime = std::chrono::seconds(5);
/// Records of streams are removed after one to two of these periods.
constexpr base::Duration kCollectPeriod = std::chrono::seconds(60);
constexpr std::size_t kMaxRemovalsPerTransaction = 90;

base::RowKey DefaultVersionKey(const base::Service& service) {
  return {layout::kVersionTable, "", service.text};
}

/// Returns the time after which no stream of these rules can be continued.
base::Duration StreamLifetime(const policy::ServingRules& rules) {
  base::Duration longest{0};
  for (const auto& route : rules.routes) {
    if (route.kind == policy::RequestKind::kStream)
      longest = std::max(longest, route.timeout);
  }
  return longest + kTakeUpTime;
}

std::set<base::Service> ServicesOf(const policy::ServingRules& rules) {
  std::set<base::Service> services;
  for (const auto& route : rules.routes) {
    for (const auto& each : route.services) services.insert(each.service);
  }
  return services;
}

}  // namespace

class StreamVersionService::State : public std::enable_shared_from_this<State> {
 public:
  State(ServingContext& serving, const FleetService& fleet_service)
      : context(serving), fleet(fleet_service) {}

  void Start() {
    this->SetHooks();
    this->FollowDefaults();
    auto observe = [self = this->shared_from_this()] {
      return self->ObserveLoop();
    };
    asio::co_spawn(this->context.executor, std::move(observe), asio::detached);
    auto collect = [self = this->shared_from_this()] {
      return self->CollectLoop();
    };
    asio::co_spawn(this->context.executor, std::move(collect), asio::detached);
  }

 private:
  void SetHooks() {
    auto& hooks = this->context.stream_versions;
    hooks.default_version = [this](const base::Service& service) {
      return this->defaults.Find(service);
    };
    hooks.can_record = [this] {
      return this->context.clock.now() >= this->failing_until;
    };
    hooks.record = [this](const std::string& request, std::uint32_t attempt,
                          const policy::OutputOrigin& origin,
                          base::Instant deadline) {
      return this->Record(request, attempt, origin, deadline);
    };
    hooks.find_origin = [this](std::string request, base::Service service) {
      return this->FindOrigin(std::move(request), std::move(service));
    };
  }

  // Default versions.

  void FollowDefaults() {
    TableFollowerOptions options;
    options.table = layout::kVersionTable;
    options.long_poll_timeout = kFeedHold;
    TableFollowerHooks hooks;
    hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                               std::uint64_t /*as_of*/) {
      this->has_defaults = true;
      this->defaults.ForgetRows();
      this->ApplyDefaults(rows);
    };
    hooks.on_changes = [this](const std::vector<base::VersionedRow>& rows,
                              std::uint64_t /*as_of*/) {
      this->ApplyDefaults(rows);
    };
    this->follower = std::make_shared<TableFollower>(
        this->context.executor, this->context.clock, this->context.store,
        options, std::move(hooks));
    this->follower->Start();
  }

  void ApplyDefaults(const std::vector<base::VersionedRow>& rows) {
    for (const auto& row : rows) {
      const base::Service service(row.at.key);
      if (row.removed) {
        this->defaults.ApplyRemoval(service);
        continue;
      }
      const auto version = layout::ParseDefaultVersion(row.value);
      if (!version.ok()) {
        base::LogEvent("default_version_unreadable",
                       {{"service", row.at.key}, {"row_version", row.version}});
        continue;
      }
      base::LogEvent("default_version", {{"service", row.at.key},
                                         {"version", *version},
                                         {"row_version", row.version}});
      this->defaults.ApplyRow(service, *version, row.version);
    }
  }

  asio::awaitable<void> ObserveLoop() {
    for (;;) {
      co_await Pause(kObservePeriod);
      const auto rules = this->context.store_view.Current()->rules;
      if (!rules) continue;
      const auto services = ServicesOf(*rules);
      const auto lifetime = StreamLifetime(*rules);
      this->defaults.OnEndpointsRead(
          this->context.store_view.endpoints_confirmed_at(), lifetime,
          this->context.clock.now());
      for (const auto& service : services) {
        this->defaults.Observe(service,
                               this->context.endpoints.CountByVersion(service),
                               lifetime, this->context.clock.now());
      }
      const bool may_change = this->has_defaults && this->KnowsEndpoints() &&
                              this->fleet.IsCollector();
      if (!may_change) continue;
      for (const auto& service : services) {
        const auto change =
            this->defaults.DueChange(service, this->context.clock.now());
        if (change) co_await this->WriteDefault(service, *change);
      }
    }
  }

  asio::awaitable<void> WriteDefault(base::Service service,
                                     policy::DefaultVersionChange change) {
    const auto key = DefaultVersionKey(service);
    base::RowTransaction put;
    put.expectations.push_back({key, change.expected_row_version});
    put.puts.push_back({key, layout::SerializeDefaultVersion(change.version)});
    const auto reply =
        co_await Transact(this->context.store, std::move(put),
                          this->context.clock.now() + kCallTimeout);
    const bool is_written = reply.ok() && reply->applied;
    base::LogEvent("default_version_due",
                   {{"service", service.text},
                    {"version", change.version},
                    {"expected_row_version", change.expected_row_version},
                    {"written", is_written ? 1 : 0}});
    if (is_written)
      this->defaults.ApplyRow(service, change.version, reply->version);
  }

  // Records of streams.

  std::shared_ptr<StreamRecord> Record(const std::string& request,
                                       std::uint32_t attempt,
                                       const policy::OutputOrigin& origin,
                                       base::Instant deadline) {
    auto record = std::make_shared<StreamRecord>();
    base::RowPut put{layout::StreamRowKey(request, attempt),
                     layout::SerializeStreamOrigin(origin)};
    auto write = [self = this->shared_from_this(), record, put = std::move(put),
                  deadline] {
      return self->WriteRecord(record, put, deadline);
    };
    asio::co_spawn(this->context.executor, std::move(write), asio::detached);
    return record;
  }

  /// The row is never written with another value, so the store may apply a call
  /// late whose response was lost.
  asio::awaitable<void> WriteRecord(std::shared_ptr<StreamRecord> record,
                                    base::RowPut row, base::Instant deadline) {
    while (!record->is_abandoned && this->context.clock.now() < deadline) {
      base::RowTransaction put;
      put.puts.push_back(row);
      const bool may_have_been_written =
          std::exchange(record->may_be_written, true);
      const auto reply =
          co_await Transact(this->context.store, std::move(put),
                            this->context.clock.now() + kRecordTimeout);
      if (!reply.ok() && !reply.error().Is(base::Errc::kUnknown))
        record->may_be_written = may_have_been_written;
      if (reply.ok()) {
        record->is_written = true;
        this->failing_until = {};
        co_return;
      }
      const auto now = this->context.clock.now();
      if (now >= this->failing_until) {
        base::LogEvent("stream_not_recorded",
                       {{"reason", reply.error().message}});
      }
      this->failing_until = now + kRecordFailureBackoff;
      co_await Pause(kRecordRetryDelay);
    }
  }

  asio::awaitable<base::Outcome<policy::OutputOrigin>> FindOrigin(
      std::string request, base::Service service) {
    auto origin = co_await this->ReadOrigin(request, service);
    // If the store can't be read, this daemon may be the only one that doesn't
    // know a new version.
    const bool is_unknown_to_store =
        !origin.ok() && origin.error().Is(base::Errc::kNotFound);
    if (!is_unknown_to_store || !this->KnowsEndpoints()) co_return origin;
    const auto sole =
        this->defaults.SoleVersion(service, this->context.clock.now());
    if (!sole) co_return origin;
    origin = policy::OutputOrigin{service, *sole};
    co_return origin;
  }

  /// Whether the list of endpoints is current.
  bool KnowsEndpoints() const {
    return policy::IsCurrentEndpointList(
        this->context.store_view.endpoints_confirmed_at(),
        this->context.clock.now());
  }

  asio::awaitable<base::Outcome<policy::OutputOrigin>> ReadOrigin(
      std::string request, base::Service service) {
    if (request.empty())
      co_return base::Error(base::Errc::kNotFound, "no request is named");
    auto range = layout::StreamRange(request);
    const auto records =
        co_await ReadRows(this->context.store, std::move(range),
                          this->context.clock.now() + kLookupTimeout);
    if (!records.ok()) co_return records.error();
    if (!records->rows.empty())
      co_return layout::ParseStreamOrigin(records->rows.back().value);
    // Read anew: another daemon may have changed the default and begun the
    // stream at the new one since this daemon learned of it.
    const auto row =
        co_await ReadRow(this->context.store, DefaultVersionKey(service),
                         this->context.clock.now() + kLookupTimeout);
    if (!row.ok()) co_return row.error();
    if (row->rows.empty())
      co_return base::Error(base::Errc::kNotFound, "no default version");
    const auto version = layout::ParseDefaultVersion(row->rows.front().value);
    if (!version.ok()) co_return version.error();
    policy::OutputOrigin origin{service, *version};
    co_return origin;
  }

  asio::awaitable<void> CollectLoop() {
    for (;;) {
      co_await Pause(kCollectPeriod);
      if (this->fleet.IsCollector()) {
        co_await this->RemoveOldRecords();
      } else {
        this->old_record_version = 0;
      }
    }
  }

  /// Removes the records that were already there one period ago.
  asio::awaitable<void> RemoveOldRecords() {
    const auto partitions =
        co_await ListPartitions(this->context.store, layout::kStreamTable,
                                this->context.clock.now() + kCallTimeout);
    if (!partitions.ok()) co_return;
    std::uint64_t newest = this->old_record_version;
    std::size_t removed = 0;
    for (const auto& partition : *partitions) {
      base::RowRange range;
      range.table = layout::kStreamTable;
      range.partition = partition;
      const auto page =
          co_await ReadAllRows(this->context.store, std::move(range),
                               this->context.clock.now() + kCallTimeout);
      if (!page.ok()) continue;
      newest = std::max(newest, page->store_version);
      std::vector<base::RowKey> old;
      for (const auto& row : page->rows) {
        if (row.version <= this->old_record_version) old.push_back(row.at);
      }
      const auto count = co_await this->Remove(std::move(old));
      removed += count;
    }
    this->old_record_version = newest;
    if (removed > 0)
      base::LogEvent("stream_records_removed", {{"count", removed}});
  }

  /// Returns how many of the rows, all of one partition, were removed.
  asio::awaitable<std::size_t> Remove(std::vector<base::RowKey> rows) {
    std::size_t removed = 0;
    while (!rows.empty()) {
      const auto count = std::min(rows.size(), kMaxRemovalsPerTransaction);
      const auto first = rows.end() - static_cast<std::ptrdiff_t>(count);
      base::RowTransaction removal;
      removal.removals.assign(first, rows.end());
      rows.erase(first, rows.end());
      const auto reply =
          co_await Transact(this->context.store, std::move(removal),
                            this->context.clock.now() + kCallTimeout);
      if (!reply.ok()) co_return removed;
      removed += count;
    }
    co_return removed;
  }

  ServingContext& context;
  const FleetService& fleet;
  policy::DefaultVersions defaults;
  std::shared_ptr<TableFollower> follower;
  /// Whether the default versions have been read.
  bool has_defaults = false;
  /// Until when the store is taken to fail, after a record wasn't written.
  base::Instant failing_until{};
  /// Version of the store at the last removal: records up to it are old.
  std::uint64_t old_record_version = 0;
};

StreamVersionService::StreamVersionService(ServingContext& serving,
                                           const FleetService& fleet)
    : context(serving), state(std::make_shared<State>(serving, fleet)) {}

StreamVersionService::~StreamVersionService() {
  this->context.stream_versions = {};
}

void StreamVersionService::Start() { this->state->Start(); }

}  // namespace gypsumtrack::gateway
