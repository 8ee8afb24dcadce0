#include "gypsumtrack/gateway/serving/serving_daemon.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <limits>
#include <map>
#include <optional>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "../run_handlers.h"
#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/client_limits.h"
#include "gypsumtrack/gateway/serving/crash_service.h"
#include "gypsumtrack/gateway/serving/endpoint_path_service.h"
#include "gypsumtrack/gateway/serving/gossip_service.h"
#include "gypsumtrack/gateway/serving/job_service.h"
#include "gypsumtrack/gateway/serving/relay_service.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/serving_context.h"
#include "gypsumtrack/gateway/serving/stream_version_service.h"
#include "gypsumtrack/policy/serving/attempts.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Time for which the listener and idle connections stay open after the daemon
/// stops being ready. The load balancer checks readiness once a second and
/// removes a daemon after two failed checks.
constexpr base::Duration kDrainGracePeriod = std::chrono::milliseconds(3000);
/// How long before the process is killed the jobs must have been handed over.
constexpr base::Duration kJobHandoverMargin = std::chrono::milliseconds(1500);
/// How long before the process is killed the daemon stops waiting for callers.
constexpr base::Duration kShutdownMargin = std::chrono::milliseconds(500);
/// How long before that the requests that still run are ended, so that their
/// answers reach their callers.
constexpr base::Duration kLastAnswersMargin = std::chrono::milliseconds(300);
/// Time in which all but this fraction of the requests were answered.
constexpr double kSlowFraction = 0.01;
/// The same of a daemon that has answered none.
constexpr base::Duration kDefaultAnswerTime = std::chrono::milliseconds(2000);
/// With an older store view the daemon reports that it isn't ready, so that the
/// load balancer sends callers to other daemons.
constexpr base::Duration kMaxReadyViewAge = std::chrono::milliseconds(2600);
/// Interval at which expired endpoints are removed.
constexpr base::Duration kExpiryCheckInterval = std::chrono::milliseconds(250);
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr std::uint32_t kMaxIdleConnectionsPerEndpoint = 8;
/// Maximum size of a response that isn't a stream. As much as a deployment lets
/// callers send; a VM may have 140 MB in all.
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{4} * 1024 * 1024;
/// Longest usual time from making a gossip message to its receipt through two
/// other daemons.
constexpr base::Duration kMaxGossipDelay = std::chrono::milliseconds(600);
/// Interval at which the settings are reloaded, since their file may change
/// without a SIGHUP.
constexpr base::Duration kReloadInterval = std::chrono::seconds(5);
/// Interval at which requests that wait for the start of the daemon look for
/// it.
constexpr base::Duration kStartPollInterval = std::chrono::milliseconds(5);

EndpointClientOptions ClientOptions(const Wire& wire,
                                    const ClientLimits& limits) {
  EndpointClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.max_idle_per_endpoint = kMaxIdleConnectionsPerEndpoint;
  options.max_body_bytes = kMaxResponseBytes;
  options.max_held_bytes = limits.answer_bytes;
  options.protocol.request_id_header = wire.request_id_header;
  options.protocol.set_host_to_address = false;
  options.protocol.accepts_close_delimited_body = true;
  options.protocol.reports_draining = wire.reports_draining;
  options.protocol.reports_not_run = [wire](const ResponseHead& head) {
    const auto response = wire.read_response(head);
    return response.not_run || response.wrong_endpoint;
  };
  return options;
}

/// How long a request has usually taken here, by the longest answers.
base::Duration UsualAnswerTime(const telemetry::LatencyHistogram& answers) {
  const auto slowest = answers.QuantileSeconds(1 - kSlowFraction);
  if (!slowest) return kDefaultAnswerTime;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(*slowest));
}

policy::FleetQuotaOptions QuotaOptions(const ServingSettings& settings) {
  policy::FleetQuotaOptions options;
  options.random_seed = std::random_device{}();
  options.excess_fraction = settings.quota_excess_fraction;
  options.excess_requests = settings.quota_excess_requests;
  options.starts_without_peers = true;
  return options;
}

policy::SecondTryOptions TryOptions(const ServingSettings& settings) {
  policy::SecondTryOptions options;
  options.max_share = settings.second_try_share;
  return options;
}

/// Returns the wall-clock time, which differs for each start on a VM.
std::uint64_t NewIncarnation(const base::Clock& clock) {
  return static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
}

}  // namespace

/// The components of a daemon. All run on the thread of Run(), except for the
/// store view, which is updated on a thread of its own.
class ServingDaemon::State {
 public:
  State(const ServingSettings& settings, ServingAdapter serving_adapter)
      : adapter(std::move(serving_adapter)),
        client_limits(MakeClientLimits(settings)),
        clock(base::SystemClock()),
        context(1),
        view_context(1),
        work(asio::make_work_guard(this->context)),
        view_work(asio::make_work_guard(this->view_context)),
        store(this->adapter.make_store(this->context.get_executor(),
                                       this->clock)),
        view_store(this->adapter.make_store(this->view_context.get_executor(),
                                            this->clock)),
        store_view(
            this->view_context.get_executor(), this->clock, this->view_store,
            this->adapter.store_view_source,
            [this] {
              asio::post(this->context, [this] { this->ApplyStoreView(); });
            },
            [this](const policy::EndpointRowsRead& read) {
              asio::post(this->context,
                         [this, read] { this->crashes->OnEndpointRows(read); });
            }),
        client(this->context.get_executor(), this->clock,
               ClientOptions(this->adapter.wire, this->client_limits)),
        serving{.settings = settings,
                .self = {},
                .wire = this->adapter.wire,
                .clock = this->clock,
                .executor = this->context.get_executor(),
                .store = this->store,
                .store_view = this->store_view,
                .client = this->client,
                .registry = this->registry,
                .metrics = ServingMetrics(this->registry),
                .endpoints = policy::EndpointRegistry({}),
                .quota = policy::FleetQuota(QuotaOptions(settings)),
                .batch_starts = policy::BatchStartLimiter({}),
                .random = std::minstd_rand(std::random_device{}()),
                .second_tries = policy::SecondTries(TryOptions(settings)),
                .output_memory = std::make_shared<base::MemoryBudget>(
                    this->client_limits.output_bytes)},
        signals(this->context, SIGTERM, SIGINT, SIGHUP) {
    if (this->client_limits.memory.limit_bytes > 0) {
      this->client_account =
          std::make_shared<ClientAccount>(this->client_limits.memory);
    }
    this->serving.self = {this->serving.settings.vm_name,
                          NewIncarnation(this->clock)};
    this->fleet = std::make_unique<FleetService>(
        this->serving.executor, this->clock, this->store,
        this->serving.settings, this->serving.self,
        [this](const std::vector<PeerDaemon>& peers) {
          this->SetPeers(peers);
        });
    GossipHooks hooks;
    hooks.make_message = [this](const GossipDue& due) {
      return this->MakeGossipMessage(due);
    };
    hooks.on_message = [this](const GossipMessage& message) {
      this->OnGossipMessage(message);
    };
    this->gossip = std::make_unique<GossipService>(
        this->serving.executor, this->clock, this->fleet->self_daemon(),
        GossipOptions{}, std::move(hooks));
    this->jobs = std::make_unique<JobService>(this->serving, *this->fleet);
    this->crashes = std::make_unique<CrashService>(this->serving, *this->fleet);
    this->stream_versions =
        std::make_unique<StreamVersionService>(this->serving, *this->fleet);
    this->paths = std::make_unique<EndpointPathService>(this->serving);
    this->AddGauges();
  }

  base::Status Start() {
    this->started_at = this->clock.now();
    this->MakeServers();
    for (auto* server :
         {this->caller_server.get(), this->readiness_server.get(),
          this->metrics_server.get()}) {
      auto started = server->Start();
      if (!started.ok()) return started;
    }
    auto gossip_started =
        this->gossip->Start(this->serving.settings.gossip_listen);
    if (!gossip_started.ok()) return gossip_started;
    auto tunnels_started = this->paths->Start(this->fleet->self_daemon());
    if (!tunnels_started.ok()) return tunnels_started;
    this->store_view.Start();
    this->fleet->Start();
    this->jobs->Start();
    this->crashes->Start();
    this->stream_versions->Start();
    asio::co_spawn(
        this->context, [this] { return this->RunPeriodicTasks(); },
        asio::detached);
    this->WaitForSignal();
    base::LogEvent("started",
                   {{"vm", this->serving.self.name},
                    {"incarnation", this->serving.self.incarnation},
                    {"domain", this->serving.settings.location.domain.text},
                    {"version", GYPSUMTRACK_VERSION}});
    return base::Done{};
  }

  void Run() {
    const auto on_exception = [this](const std::string& reason) {
      this->OnHandlerException(reason);
    };
    std::thread view_thread(
        [&] { RunHandlers(this->view_context, on_exception); });
    RunHandlers(this->context, on_exception);
    this->view_context.stop();
    view_thread.join();
    base::LogEvent("stopped", {{"vm", this->serving.self.name}});
    base::FlushEventLog();
  }

 private:
  void OnHandlerException(const std::string& reason) {
    this->serving.metrics.handler_exceptions.Add();
    base::LogEvent("handler_exception", {{"reason", reason}});
  }

  // Store view.

  void ApplyStoreView() {
    const auto view = this->store_view.Current();
    const auto now = this->clock.now();
    if (view->rules && view->rules != this->rules) {
      this->rules = view->rules;
      this->serving.quota.SetRules(this->rules->organisations, now);
      this->serving.endpoints.SetColdStartRules(this->rules->cold_starts);
      this->organisations_by_hash.clear();
      for (const auto& each : this->rules->organisations) {
        this->organisations_by_hash[HashName(each.name.text)] = each.name;
      }
    }
    this->serving.endpoints.SetEvacuatedDomains(view->evacuated_domains);
    if (!view->has_endpoints) return;
    this->serving.endpoints.ReplaceEntries(view->endpoints,
                                           view->store_recovered_at, now);
    this->endpoints_applied = true;
    this->paths->SetEndpoints(view->endpoints);
    this->RemoveExpiredEndpoints(now);
    for (const auto& each : view->endpoints) {
      this->endpoints_by_hash[HashName(each.id.text)] = each.id;
    }
  }

  void RemoveExpiredEndpoints(base::Instant now) {
    for (const auto& id : this->serving.endpoints.RemoveExpired(now)) {
      this->endpoints_by_hash.erase(HashName(id.text));
    }
  }

  bool IsReady() const {
    const auto view = this->store_view.Current();
    return !this->serving.shutting_down && view->rules &&
           this->endpoints_applied &&
           this->serving.StoreViewAge() < kMaxReadyViewAge;
  }

  // Other daemons.

  void SetPeers(const std::vector<PeerDaemon>& peers) {
    std::vector<std::string> names;
    for (const auto& peer : peers) names.push_back(peer.vm.name);
    this->serving.quota.SetPeers(names, this->clock.now());
    this->gossip->SetPeers(peers);
    this->paths->SetPeers(peers);
    this->UpdateFleetPosition();
  }

  /// Does nothing while the other daemons have never been read.
  void UpdateFleetPosition() {
    if (!this->fleet->KnowsFleet()) return;
    const auto now = this->clock.now();
    const auto peers = this->serving.quota.PeerNames();
    policy::FleetPosition position;
    position.index = static_cast<std::size_t>(std::count_if(
        peers.begin(), peers.end(),
        [this](const auto& name) { return name < this->serving.self.name; }));
    position.daemon_count = peers.size() + 1;
    position.wall_offset =
        this->clock.wall().time_since_epoch() - now.time_since_epoch();
    this->serving.endpoints.SetFleetPosition(position, now);
  }

  std::optional<GossipMessage> MakeGossipMessage(const GossipDue& due) {
    GossipMessage message;
    message.sender = this->serving.self;
    message.holds_lease = this->fleet->HoldsLease();
    message.opens_tunnels = this->paths->OpensTunnels();
    for (const auto& [id, load] : this->serving.endpoints.OwnLoads()) {
      message.loads.emplace_back(HashName(id.text), load);
    }
    constexpr std::uint32_t kMaxWaitingItems =
        std::numeric_limits<std::uint16_t>::max();
    message.waiting_items = static_cast<std::uint16_t>(
        std::min(this->jobs->CountWaitingItems(), kMaxWaitingItems));
    const auto now = this->clock.now();
    for (const auto& change : this->serving.endpoints.OwnRateLimitChanges(now))
      message.limits.push_back(MakeLimitEntry(change, now));
    const auto admitted = this->serving.quota.OwnAdmittedTotal();
    const bool unchanged =
        message == this->last_gossip && admitted == this->last_gossip_admitted;
    if (unchanged && !due.is_due) return std::nullopt;
    this->last_gossip = message;
    this->last_gossip_admitted = admitted;
    const auto own_counts =
        this->serving.quota.NextCountsMessage(now, due.reaches_all);
    message.is_full = own_counts.is_full;
    message.wants_full = own_counts.wants_full;
    for (const auto& [name, count] : own_counts.counts) {
      message.admitted.emplace_back(HashName(name.text),
                                    static_cast<std::uint32_t>(count));
    }
    return message;
  }

  void OnGossipMessage(const GossipMessage& received) {
    const auto now = this->clock.now();
    if (received.holds_lease) this->fleet->OnHolderReport(received.sender);
    this->paths->OnGossip(received);
    policy::EndpointLoads loads;
    for (const auto& [name_hash, load] : received.loads) {
      const auto found = this->endpoints_by_hash.find(name_hash);
      if (found != this->endpoints_by_hash.end()) loads[found->second] = load;
    }
    this->serving.endpoints.SetPeerLoads(received.sender.name, std::move(loads),
                                         now);
    this->serving.batch_starts.SetPeerWaitingItems(received.sender.name,
                                                   received.waiting_items, now);
    policy::CountsMessage counts;
    counts.is_full = received.is_full;
    counts.wants_full = received.wants_full;
    for (const auto& [name_hash, count] : received.admitted) {
      const auto found = this->organisations_by_hash.find(name_hash);
      if (found != this->organisations_by_hash.end()) {
        counts.counts[found->second] = count;
      }
    }
    this->serving.quota.OnPeerCounts(received.sender, counts, now);
    for (const auto& limit : received.limits) this->OnPeerLimit(limit, now);
  }

  static LimitEntry MakeLimitEntry(const policy::RateLimitChange& change,
                                   base::Instant now) {
    LimitEntry entry;
    entry.endpoint = HashName(change.endpoint.text);
    entry.incarnation = change.incarnation;
    entry.per_second = change.report.per_second;
    entry.age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - change.report.as_of);
    return entry;
  }

  void OnPeerLimit(const LimitEntry& limit, base::Instant now) {
    const auto found = this->endpoints_by_hash.find(limit.endpoint);
    if (found == this->endpoints_by_hash.end()) return;
    policy::RateLimitReport report;
    report.per_second = limit.per_second;
    // The message was made a moment ago. A limit named since must stay.
    report.as_of = now - limit.age;
    if (!report.per_second) report.as_of -= kMaxGossipDelay;
    const bool changed = this->serving.endpoints.OnRateLimit(
        found->second, limit.incarnation, report, false, now);
    if (!changed) return;
    base::LogEvent("endpoint_limit",
                   {{"endpoint", found->second.text},
                    {"incarnation", limit.incarnation},
                    {"limited", report.per_second ? 1 : 0},
                    {"per_second", report.per_second.value_or(0)},
                    {"source", "peer"}});
  }

  // Servers.

  void MakeServers() {
    const auto& settings = this->serving.settings;
    const auto callers = this->client_limits.caller_connections;
    const auto others = this->client_limits.other_connections;
    Router caller_routes;
    caller_routes.Add("*", "/", [this](Exchange& exchange) {
      return this->ServeCaller(exchange);
    });
    this->caller_server = this->MakeServer(settings.callers_listen, callers,
                                           std::move(caller_routes));
    Router readiness_routes;
    readiness_routes.Add(
        "GET", this->serving.wire.ready_path,
        [this](Exchange& exchange) { return this->ServeReadiness(exchange); });
    this->readiness_server = this->MakeServer(settings.ready_listen, others,
                                              std::move(readiness_routes));
    Router metrics_routes;
    metrics_routes.Add("GET", "/metrics", [this](Exchange& exchange) {
      return this->ServeMetrics(exchange);
    });
    this->metrics_server = this->MakeServer(settings.metrics_listen, others,
                                            std::move(metrics_routes));
  }

  std::unique_ptr<HttpServer> MakeServer(const std::string& address,
                                         std::uint32_t max_connections,
                                         Router router) {
    HttpServerOptions options;
    options.max_connections = max_connections;
    options.client_account = this->client_account;
    options.address = address;
    options.request_id_header.clear();
    options.drain_grace = kDrainGracePeriod;
    options.limits = [this] { return this->ConnectionLimits(); };
    return std::make_unique<HttpServer>(this->serving.executor, this->clock,
                                        std::move(options), std::move(router));
  }

  CallerLimits ConnectionLimits() const {
    CallerLimits limits;
    const auto rules_in_force = this->store_view.Current()->rules;
    if (!rules_in_force) return limits;
    limits.max_header_bytes = rules_in_force->max_header_bytes;
    limits.idle_timeout = rules_in_force->idle_timeout;
    limits.header_timeout = rules_in_force->header_timeout;
    return limits;
  }

  asio::awaitable<void> ServeCaller(Exchange& exchange) {
    auto metadata = this->serving.wire.read_request(exchange.request());
    auto job_request = this->serving.wire.read_job_request(exchange.request());
    if (job_request.kind != JobRequestKind::kNone) {
      co_await this->jobs->HandleJobRequest(exchange, std::move(metadata),
                                            std::move(job_request));
      co_return;
    }
    co_await this->WaitForStart(metadata.requested_timeout);
    auto access = DecideAccess(this->serving, exchange.request(), metadata);
    if (access.refusal.code.empty()) {
      if (access.route->kind == policy::RequestKind::kBatch) {
        co_await this->jobs->HandleSubmission(exchange, std::move(metadata),
                                              std::move(access));
      } else {
        co_await RelayRequest(this->serving, exchange, std::move(metadata),
                              std::move(access));
      }
      co_return;
    }
    co_await SendRefusal(this->serving, exchange,
                         std::move(metadata.request_id),
                         std::move(access.refusal));
  }

  /// Waits a moment while the daemon has just started and knows no rules or
  /// endpoints yet.
  asio::awaitable<void> WaitForStart(std::optional<base::Duration> timeout) {
    const auto wait_until =
        policy::StartWaitDeadline(this->started_at, this->clock.now(), timeout);
    while (!this->HasStarted() && !this->serving.shutting_down &&
           this->clock.now() < wait_until) {
      co_await Pause(kStartPollInterval);
    }
  }

  bool HasStarted() const {
    return this->store_view.Current()->rules && this->endpoints_applied;
  }

  asio::awaitable<void> ServeReadiness(Exchange& exchange) {
    const bool is_ready = this->IsReady();
    if (is_ready != this->last_ready) {
      base::LogEvent(
          "readiness",
          {{"ready", is_ready ? 1 : 0},
           {"belief_age_ms", this->serving.StoreViewAge().count() / 1000},
           {"leaving", this->serving.shutting_down ? 1 : 0}});
      this->last_ready = is_ready;
    }
    ResponseHead head;
    head.status = is_ready ? status::kOk : status::kUnavailable;
    std::ignore = co_await exchange.Send(std::move(head), std::string());
  }

  asio::awaitable<void> ServeMetrics(Exchange& exchange) {
    ResponseHead head;
    head.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    auto text = this->registry.FormatPrometheus();
    std::ignore = co_await exchange.Send(std::move(head), std::move(text));
  }

  void AddGauges() {
    this->registry.AddGauge(
        "gypsumtrack_belief_age_seconds", "", "Age of the rules in force.",
        [this] {
          return std::chrono::duration<double>(this->serving.StoreViewAge())
              .count();
        });
    this->registry.AddGauge(
        "gypsumtrack_rules_version", "", "Version of the rules in force.",
        [this] {
          return this->rules ? static_cast<double>(this->rules->version) : 0;
        });
    this->registry.AddGauge(
        "gypsumtrack_endpoints", "", "Endpoints known.",
        [this] { return static_cast<double>(this->serving.endpoints.size()); });
    this->registry.AddGauge(
        "gypsumtrack_evacuated_domains", "",
        "Failure domains whose endpoints get no new requests.", [this] {
          const auto& domains = this->serving.endpoints.evacuated_domains();
          return static_cast<double>(domains.size());
        });
    this->registry.AddGauge(
        "gypsumtrack_cold_endpoints", "",
        "Endpoints that get requests at a bounded rate after their start.",
        [this] {
          return static_cast<double>(
              this->serving.endpoints.CountCold(this->clock.now()));
        });
    this->registry.AddGauge(
        "gypsumtrack_held_answer_bytes", "",
        "Bodies of answers, other than streams, that aren't complete yet.",
        [this] { return static_cast<double>(this->client.held_bytes()); });
    this->registry.AddGauge(
        "gypsumtrack_item_output_bytes", "",
        "Outputs of items of batch jobs that aren't committed yet.", [this] {
          return static_cast<double>(this->serving.output_memory->held_bytes());
        });
    this->registry.AddGauge(
        "gypsumtrack_client_bytes", "",
        "Memory that callers' requests and answers hold.", [this] {
          return this->client_account
                     ? static_cast<double>(this->client_account->held_bytes())
                     : 0.0;
        });
    this->registry.AddGauge(
        "gypsumtrack_clients_cut_off", "",
        "Stalled connections that were closed for lack of memory.", [this] {
          return this->client_account
                     ? static_cast<double>(
                           this->client_account->cut_off_count())
                     : 0.0;
        });
    this->registry.AddGauge("gypsumtrack_cut_from_endpoints", "",
                            "1 while this VM is cut from all endpoints.",
                            [this] {
                              const auto path = this->serving.FindPath();
                              return path.kind == PathKind::kDirect ? 0.0 : 1.0;
                            });
    this->registry.AddGauge(
        "gypsumtrack_tunnels", "", "Tunnels of other VMs to endpoints.",
        [this] { return static_cast<double>(this->paths->tunnel_count()); });
    this->registry.AddGauge(
        "gypsumtrack_log_dropped_lines", "",
        "Log lines dropped since the start.",
        [] { return static_cast<double>(base::ReadEventLogTotals().dropped); });
  }

  // Running.

  asio::awaitable<void> RunPeriodicTasks() {
    auto reload_at = this->clock.now() + kReloadInterval;
    for (;;) {
      co_await Pause(kExpiryCheckInterval);
      const auto now = this->clock.now();
      this->RemoveExpiredEndpoints(now);
      if (now < reload_at) continue;
      reload_at = now + kReloadInterval;
      this->Reload("checked");
    }
  }

  /// `trigger` is logged as the reason of the reload.
  void Reload(std::string_view trigger) {
    const auto settings = this->adapter.reload();
    if (!settings.ok()) {
      base::LogEvent("settings_unreadable",
                     {{"reason", settings.error().message}});
      return;
    }
    auto& freshness = this->serving.settings.freshness;
    const bool unchanged =
        freshness.withdrawal_bound == settings->freshness.withdrawal_bound &&
        freshness.change_bound == settings->freshness.change_bound &&
        this->serving.settings.stop_grace_period == settings->stop_grace_period;
    if (unchanged && trigger == "checked") return;
    freshness = settings->freshness;
    this->serving.settings.stop_grace_period = settings->stop_grace_period;
    base::LogEvent("settings_read",
                   {{"why", trigger}, {"changed", unchanged ? 0 : 1}});
  }

  void WaitForSignal() {
    this->signals.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) return;
          if (signal == SIGHUP) {
            this->Reload("signal");
          } else {
            this->BeginShutdown();
          }
          this->WaitForSignal();
        });
  }

  void BeginShutdown() {
    if (this->serving.shutting_down) return;
    this->serving.shutting_down = true;
    const auto killed_at =
        this->clock.now() + this->serving.settings.stop_grace_period;
    const auto usual_time =
        UsualAnswerTime(this->serving.metrics.complete_response);
    this->serving.planned_stop.Begin(
        killed_at - kShutdownMargin - kLastAnswersMargin, usual_time);
    base::LogEvent(
        "leaving",
        {{"vm", this->serving.self.name},
         {"grace_ms", this->serving.settings.stop_grace_period.count() / 1000},
         {"usual_answer_ms", usual_time.count() / 1000}});
    asio::co_spawn(
        this->context, [this, killed_at] { return this->ShutDown(killed_at); },
        asio::detached);
  }

  /// Drains callers' connections, hands the jobs over and stops the daemon
  /// before `killed_at`, when the process is killed.
  asio::awaitable<void> ShutDown(base::Instant killed_at) {
    this->caller_server->Drain([this] { this->callers_drained = true; });
    this->paths->Drain();
    co_await this->jobs->ShutDown(killed_at - kJobHandoverMargin);
    base::LogEvent("jobs_handed_over", {});
    co_await this->WaitForCallers(this->serving.planned_stop.answers_until());
    this->serving.planned_stop.EndRequests();
    co_await this->WaitForCallers(killed_at - kShutdownMargin);
    base::LogEvent("callers_gone", {{"all", this->callers_drained ? 1 : 0},
                                    {"tunnels", this->paths->tunnel_count()}});
    co_await this->fleet->Deregister();
    this->gossip->Stop();
    this->context.stop();
  }

  /// Waits until no caller and no tunnel is connected any more.
  asio::awaitable<void> WaitForCallers(base::Instant wait_until) {
    while ((!this->callers_drained || this->paths->tunnel_count() > 0) &&
           this->clock.now() < wait_until) {
      co_await Pause(std::chrono::milliseconds(50));
    }
  }

  ServingAdapter adapter;
  const ClientLimits client_limits;
  /// Null if the VM's memory isn't known.
  std::shared_ptr<ClientAccount> client_account;
  base::Clock clock;
  asio::io_context context;
  asio::io_context view_context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::executor_work_guard<asio::io_context::executor_type> view_work;
  base::RowStore store;
  base::RowStore view_store;
  telemetry::Registry registry;
  StoreViewService store_view;
  EndpointClient client;
  ServingContext serving;
  asio::signal_set signals;
  std::unique_ptr<FleetService> fleet;
  std::unique_ptr<GossipService> gossip;
  std::unique_ptr<JobService> jobs;
  std::unique_ptr<CrashService> crashes;
  std::unique_ptr<StreamVersionService> stream_versions;
  std::unique_ptr<EndpointPathService> paths;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::shared_ptr<const policy::ServingRules> rules;
  std::unordered_map<NameHash, base::EndpointId> endpoints_by_hash;
  std::unordered_map<NameHash, base::Organisation> organisations_by_hash;
  /// The last gossip message, without the counts, and the number of requests
  /// admitted by then.
  GossipMessage last_gossip;
  std::uint64_t last_gossip_admitted = 0;
  /// Whether the endpoints of a store view are in use. They are read on another
  /// thread, which publishes them a moment before.
  bool endpoints_applied = false;
  bool callers_drained = false;
  base::Instant started_at{};
  bool last_ready = false;
};

ServingDaemon::ServingDaemon(const ServingSettings& settings,
                             ServingAdapter adapter)
    : state(std::make_unique<State>(settings, std::move(adapter))) {}

ServingDaemon::~ServingDaemon() = default;

base::Status ServingDaemon::Start() { return this->state->Start(); }

void ServingDaemon::Run() { this->state->Run(); }

}  // namespace gypsumtrack::gateway
