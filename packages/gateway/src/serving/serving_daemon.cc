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
#include <thread>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/gossip_service.h"
#include "gypsumtrack/gateway/serving/job_service.h"
#include "gypsumtrack/gateway/serving/relay_service.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// The balancer asks each second and needs two misses: new connections come for
/// about so long after the daemon stops being ready.
constexpr base::Duration kDrainGrace = std::chrono::milliseconds(3000);
/// Before the process is killed, for jobs to be handed over and for the end.
constexpr base::Duration kJobsEndBefore = std::chrono::milliseconds(1500);
constexpr base::Duration kEndBefore = std::chrono::milliseconds(500);
/// A daemon whose belief is older sends callers elsewhere.
constexpr base::Duration kReadyAge = std::chrono::milliseconds(2600);
constexpr base::Duration kLapseCheck = std::chrono::milliseconds(100);
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr std::uint32_t kMaxIdlePerEndpoint = 8;
/// The settings file may change without a signal.
constexpr base::Duration kReloadCheck = std::chrono::seconds(5);

EndpointClientOptions ClientOptions(const Wire& wire) {
  EndpointClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.max_idle_per_endpoint = kMaxIdlePerEndpoint;
  options.dialect.request_id_header = wire.request_id_header;
  options.dialect.sends_address_as_host = false;
  options.dialect.accepts_unframed = true;
  options.dialect.says_leaving = wire.says_leaving;
  options.dialect.says_not_run = [wire](const ResponseHead& head) {
    const auto answer = wire.read_answer(head);
    return answer.not_run || answer.wrong_endpoint;
  };
  return options;
}

policy::FleetQuotaOptions QuotaOptions(const ServingSettings& settings) {
  policy::FleetQuotaOptions options;
  options.excess_fraction = settings.quota_excess_fraction;
  options.excess_requests = settings.quota_excess_requests;
  return options;
}

std::uint64_t NewIncarnation(const base::Clock& clock) {
  return static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
}

}  // namespace

class ServingDaemon::State {
 public:
  State(const ServingSettings& settings, ServingAdapter serving_adapter)
      : adapter(std::move(serving_adapter)),
        clock(base::SystemClock()),
        context(1),
        belief_context(1),
        work(asio::make_work_guard(this->context)),
        belief_work(asio::make_work_guard(this->belief_context)),
        store(this->adapter.make_store(this->context.get_executor(),
                                       this->clock)),
        belief_store(this->adapter.make_store(
            this->belief_context.get_executor(), this->clock)),
        store_view(this->belief_context.get_executor(), this->clock,
                   this->belief_store, this->adapter.store_view_source,
                   [this] {
                     asio::post(this->context, [this] { this->TakeBelief(); });
                   }),
        client(this->context.get_executor(), this->clock,
               ClientOptions(this->adapter.wire)),
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
                .random = std::minstd_rand(std::random_device{}())},
        signals(this->context, SIGTERM, SIGINT, SIGHUP) {
    this->serving.self = {this->serving.settings.vm_name,
                          NewIncarnation(this->clock)};
    this->fleet = std::make_unique<FleetService>(
        this->serving.executor, this->clock, this->store,
        this->serving.settings, this->serving.self,
        [this](const std::vector<PeerDaemon>& peers) {
          this->TakePeers(peers);
        });
    GossipHooks hooks;
    hooks.collect = [this] { return this->CollectGossip(); };
    hooks.on_message = [this](const GossipMessage& message) {
      this->TakeGossip(message);
    };
    this->gossip = std::make_unique<GossipService>(
        this->serving.executor, this->serving.self,
        this->serving.settings.location, GossipOptions{}, std::move(hooks));
    this->jobs = std::make_unique<JobService>(this->serving, *this->fleet);
    this->AddGauges();
  }

  base::Status Start() {
    this->MakeServers();
    for (auto* server :
         {this->callers.get(), this->ready.get(), this->metrics.get()}) {
      auto started = server->Start();
      if (!started.ok()) return started;
    }
    auto told = this->gossip->Start(this->serving.settings.gossip_listen);
    if (!told.ok()) return told;
    this->store_view.Start();
    this->fleet->Start();
    this->jobs->Start();
    asio::co_spawn(
        this->context, [this] { return this->Housekeeping(); }, asio::detached);
    this->WaitForSignal();
    base::LogEvent("started",
                   {{"vm", this->serving.self.name},
                    {"incarnation", this->serving.self.incarnation},
                    {"domain", this->serving.settings.location.domain.text},
                    {"version", GYPSUMTRACK_VERSION}});
    return base::Done{};
  }

  void Run() {
    std::thread belief_thread([this] { this->belief_context.run(); });
    this->context.run();
    this->belief_context.stop();
    belief_thread.join();
    base::LogEvent("stopped", {{"vm", this->serving.self.name}});
    base::FlushEventLog();
  }

 private:
  // Beliefs.

  void TakeBelief() {
    const auto belief = this->store_view.Current();
    const auto now = this->clock.now();
    if (belief->rules && belief->rules != this->rules) {
      this->rules = belief->rules;
      this->serving.quota.SetRules(this->rules->organisations, now);
      this->organisation_names.clear();
      for (const auto& each : this->rules->organisations) {
        this->organisation_names[DigestName(each.name.text)] = each.name;
      }
    }
    if (!belief->has_endpoints) return;
    this->serving.endpoints.ReplaceEntries(belief->endpoints,
                                           belief->store_back_at, now);
    this->DropLapsed(now);
    for (const auto& each : belief->endpoints) {
      this->endpoint_names[DigestName(each.id.text)] = each.id;
    }
  }

  void DropLapsed(base::Instant now) {
    for (const auto& id : this->serving.endpoints.RemoveExpired(now)) {
      this->endpoint_names.erase(DigestName(id.text));
    }
  }

  bool Ready() const {
    const auto belief = this->store_view.Current();
    return !this->serving.leaving && belief->rules && belief->has_endpoints &&
           this->serving.StoreViewAge() < kReadyAge;
  }

  // Other daemons.

  void TakePeers(const std::vector<PeerDaemon>& peers) {
    std::vector<std::string> names;
    for (const auto& peer : peers) names.push_back(peer.vm.name);
    this->serving.quota.SetPeers(names, this->clock.now());
    this->gossip->SetPeers(peers);
  }

  GossipMessage CollectGossip() {
    GossipMessage out;
    out.sender = this->serving.self;
    for (const auto& [id, load] : this->serving.endpoints.OwnLoads()) {
      out.loads[DigestName(id.text)] = load;
    }
    const auto counts =
        this->serving.quota.NextCountsMessage(this->clock.now());
    out.whole = counts.is_full;
    constexpr std::uint32_t kMost = std::numeric_limits<std::uint16_t>::max();
    out.waiting_items =
        static_cast<std::uint16_t>(std::min(this->jobs->WaitingItems(), kMost));
    for (const auto& [name, count] : counts.counts) {
      out.admitted[DigestName(name.text)] = static_cast<std::uint32_t>(count);
    }
    return out;
  }

  void TakeGossip(const GossipMessage& received) {
    const auto now = this->clock.now();
    policy::EndpointLoads loads;
    for (const auto& [digest, load] : received.loads) {
      const auto found = this->endpoint_names.find(digest);
      if (found != this->endpoint_names.end()) loads[found->second] = load;
    }
    this->serving.endpoints.SetPeerLoads(received.sender.name, std::move(loads),
                                         now);
    this->serving.batch_starts.SetPeerWaitingItems(received.sender.name,
                                                   received.waiting_items, now);
    policy::CountsMessage message;
    message.is_full = received.whole;
    for (const auto& [digest, count] : received.admitted) {
      const auto found = this->organisation_names.find(digest);
      if (found != this->organisation_names.end()) {
        message.counts[found->second] = count;
      }
    }
    this->serving.quota.OnPeerCounts(received.sender, message, now);
  }

  // Servers.

  void MakeServers() {
    const auto& settings = this->serving.settings;
    Router caller_routes;
    caller_routes.Add("*", "/", [this](Exchange& exchange) {
      return this->ServeCaller(exchange);
    });
    this->callers =
        this->MakeServer(settings.callers_listen, std::move(caller_routes));
    Router ready_routes;
    ready_routes.Add(
        "GET", this->serving.wire.ready_path,
        [this](Exchange& exchange) { return this->AnswerReady(exchange); });
    this->ready =
        this->MakeServer(settings.ready_listen, std::move(ready_routes));
    Router metrics_routes;
    metrics_routes.Add("GET", "/metrics", [this](Exchange& exchange) {
      return this->AnswerMetrics(exchange);
    });
    this->metrics =
        this->MakeServer(settings.metrics_listen, std::move(metrics_routes));
  }

  std::unique_ptr<HttpServer> MakeServer(const std::string& address,
                                         Router router) {
    HttpServerOptions options;
    options.address = address;
    options.request_id_header.clear();
    options.drain_grace = kDrainGrace;
    options.limits = [this] { return this->Limits(); };
    return std::make_unique<HttpServer>(this->serving.executor, this->clock,
                                        std::move(options), std::move(router));
  }

  CallerLimits Limits() const {
    CallerLimits limits;
    const auto current = this->store_view.Current()->rules;
    if (!current) return limits;
    limits.max_header_bytes = current->max_header_bytes;
    limits.idle_timeout = current->idle_timeout;
    limits.header_timeout = current->header_timeout;
    return limits;
  }

  asio::awaitable<void> ServeCaller(Exchange& exchange) {
    auto facts = this->serving.wire.read_request(exchange.request());
    auto call = this->serving.wire.read_batch_call(exchange.request());
    if (call.kind != BatchCallKind::kNone) {
      co_await this->jobs->Answer(exchange, std::move(facts), std::move(call));
      co_return;
    }
    auto access = DecideAccess(this->serving, exchange.request(), facts);
    if (access.refusal.code.empty()) {
      if (access.route->kind == policy::RequestKind::kBatch) {
        co_await this->jobs->Submit(exchange, std::move(facts),
                                    std::move(access));
      } else {
        co_await RelayRequest(this->serving, exchange, std::move(facts),
                              std::move(access));
      }
      co_return;
    }
    co_await SendRefusal(this->serving, exchange, std::move(facts.request_id),
                         std::move(access.refusal));
  }

  asio::awaitable<void> AnswerReady(Exchange& exchange) {
    const bool is_ready = this->Ready();
    if (is_ready != this->was_ready) {
      base::LogEvent(
          "readiness",
          {{"ready", is_ready ? 1 : 0},
           {"belief_age_ms", this->serving.StoreViewAge().count() / 1000},
           {"leaving", this->serving.leaving ? 1 : 0}});
      this->was_ready = is_ready;
    }
    ResponseHead head;
    head.status = is_ready ? status::kOk : status::kUnavailable;
    std::ignore = co_await exchange.Send(std::move(head), std::string());
  }

  asio::awaitable<void> AnswerMetrics(Exchange& exchange) {
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
        "gypsumtrack_log_dropped_lines", "",
        "Log lines dropped since the start.",
        [] { return static_cast<double>(base::ReadEventLogTotals().dropped); });
  }

  // Running.

  asio::awaitable<void> Housekeeping() {
    auto reload_at = this->clock.now() + kReloadCheck;
    for (;;) {
      co_await Pause(kLapseCheck);
      const auto now = this->clock.now();
      this->DropLapsed(now);
      if (now < reload_at) continue;
      reload_at = now + kReloadCheck;
      this->Reload("checked");
    }
  }

  void Reload(std::string_view why) {
    const auto settings = this->adapter.reload();
    if (!settings.ok()) {
      base::LogEvent("settings_unreadable",
                     {{"reason", settings.error().message}});
      return;
    }
    auto& freshness = this->serving.settings.freshness;
    const bool same =
        freshness.withdrawal_bound == settings->freshness.withdrawal_bound &&
        freshness.change_bound == settings->freshness.change_bound &&
        this->serving.settings.stop_grace_period == settings->stop_grace_period;
    if (same && why == "checked") return;
    freshness = settings->freshness;
    this->serving.settings.stop_grace_period = settings->stop_grace_period;
    base::LogEvent("settings_read", {{"why", why}, {"changed", same ? 0 : 1}});
  }

  void WaitForSignal() {
    this->signals.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) return;
          if (signal == SIGHUP) {
            this->Reload("signal");
          } else {
            this->BeginLeave();
          }
          this->WaitForSignal();
        });
  }

  void BeginLeave() {
    if (this->serving.leaving) return;
    this->serving.leaving = true;
    const auto now = this->clock.now();
    base::LogEvent("leaving",
                   {{"vm", this->serving.self.name},
                    {"grace_ms",
                     this->serving.settings.stop_grace_period.count() / 1000}});
    asio::co_spawn(
        this->context,
        [this, end = now + this->serving.settings.stop_grace_period] {
          return this->Leave(end);
        },
        asio::detached);
  }

  asio::awaitable<void> Leave(base::Instant killed_at) {
    this->callers->Drain([this] { this->callers_gone = true; });
    co_await this->jobs->Leave(killed_at - kJobsEndBefore);
    base::LogEvent("jobs_handed_over", {});
    while (!this->callers_gone && this->clock.now() < killed_at - kEndBefore) {
      co_await Pause(std::chrono::milliseconds(50));
    }
    base::LogEvent("callers_gone", {{"all", this->callers_gone ? 1 : 0}});
    co_await this->fleet->Leave();
    this->gossip->Stop();
    this->context.stop();
  }

  ServingAdapter adapter;
  base::Clock clock;
  asio::io_context context;
  asio::io_context belief_context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::executor_work_guard<asio::io_context::executor_type> belief_work;
  base::RowStore store;
  base::RowStore belief_store;
  telemetry::Registry registry;
  StoreViewService store_view;
  EndpointClient client;
  ServingContext serving;
  asio::signal_set signals;
  std::unique_ptr<FleetService> fleet;
  std::unique_ptr<GossipService> gossip;
  std::unique_ptr<JobService> jobs;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> ready;
  std::unique_ptr<HttpServer> metrics;
  std::shared_ptr<const policy::ServingRules> rules;
  std::map<NameDigest, base::EndpointId> endpoint_names;
  std::map<NameDigest, base::Organisation> organisation_names;
  bool callers_gone = false;
  bool was_ready = false;
};

ServingDaemon::ServingDaemon(const ServingSettings& settings,
                             ServingAdapter adapter)
    : state(std::make_unique<State>(settings, std::move(adapter))) {}

ServingDaemon::~ServingDaemon() = default;

base::Status ServingDaemon::Start() { return this->state->Start(); }

void ServingDaemon::Run() { this->state->Run(); }

}  // namespace gypsumtrack::gateway
