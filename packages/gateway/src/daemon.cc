#include "gypsumtrack/gateway/daemon.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "gypsumtrack/base/log.h"
#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/gateway/batch_service.h"
#include "gypsumtrack/gateway/config_service.h"
#include "gypsumtrack/gateway/daemon_metrics.h"
#include "gypsumtrack/gateway/fleet_routes.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/isolated_admission.h"
#include "gypsumtrack/gateway/item_sender.h"
#include "gypsumtrack/gateway/limits_service.h"
#include "gypsumtrack/gateway/membership_service.h"
#include "gypsumtrack/gateway/online_service.h"
#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/gateway/report_service.h"
#include "gypsumtrack/peer/peer_transport.h"
#include "gypsumtrack/platform/http_platform.h"
#include "run_handlers.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Logger kLog{"daemon"};

/// Returns the incarnation of this start, which is greater than that of earlier
/// starts on the VM as long as its clock isn't set back.
std::uint64_t NewIncarnation(const base::Clock& clock) {
  return static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
}

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;

asio::awaitable<void> SendText(Exchange& exchange, unsigned status,
                               std::string text) {
  ResponseHead head;
  head.status = status;
  head.headers.push_back({"Content-Type", "text/plain; charset=utf-8"});
  (void)co_await exchange.Send(std::move(head), std::move(text));
}

}  // namespace

class Daemon::State {
 public:
  explicit State(Settings settings);
  ~State();

  base::Status Start();
  void Run();
  void Shutdown();
  bool Ready() const;
  std::string CallerAddress() const { return this->caller_server->address(); }
  std::string AdminAddress() const { return this->operator_server->address(); }

 private:
  void MakeTransport();
  void MakeServices();
  void MakeServers();
  void AddHealthRoutes(Router& router);
  void DrainServers();
  void StopServices();
  void Finish();

  /// Declared first, so that it is destroyed after the services that post to
  /// it.
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
  asio::steady_timer drain_timer;
  Runtime runtime;
  DaemonMetrics metrics;
  std::unique_ptr<peer::PeerTransport> transport;
  std::unique_ptr<MembershipService> membership;
  std::unique_ptr<ConfigService> config;
  std::unique_ptr<LimitsService> limits;
  std::unique_ptr<OnlineService> online;
  std::unique_ptr<ItemSender> item_sender;
  std::unique_ptr<BatchService> batch;
  std::unique_ptr<ReportService> report;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;
  std::vector<std::thread> threads;
  std::atomic<bool> shutting_down = false;
  /// Servers that still have open exchanges during a shutdown.
  std::atomic<int> draining_servers = 0;
};

Daemon::State::State(Settings settings)
    : context(static_cast<int>(settings.threads)),
      work_guard(asio::make_work_guard(this->context)),
      drain_timer(this->context) {
  this->runtime.clock = base::SystemClock();
  this->runtime.self = {settings.vm_name, NewIncarnation(this->runtime.clock)};
  this->runtime.control = asio::make_strand(this->context);
  this->runtime.pool = this->context.get_executor();
  this->runtime.platform =
      platform::MakeHttpPlatform(this->runtime.pool, settings.platform_address,
                                 this->runtime.clock, settings.location.domain);
  this->runtime.settings = std::move(settings);
  this->MakeTransport();
  this->MakeServices();
  this->MakeServers();
}

Daemon::State::~State() {
  this->work_guard.reset();
  this->context.stop();
  for (auto& thread : this->threads) {
    if (thread.joinable()) thread.join();
  }
}

void Daemon::State::MakeTransport() {
  peer::TransportOptions options;
  options.self = this->runtime.self;
  options.listen = this->runtime.settings.peer_listen;
  options.fleet_secret = this->runtime.settings.fleet_secret;
  options.clock = this->runtime.clock;
  options.executor = this->runtime.pool;
  this->transport = std::make_unique<peer::PeerTransport>(options);
  this->runtime.peers = this->transport->Link();
}

void Daemon::State::MakeServices() {
  this->membership = std::make_unique<MembershipService>(this->runtime);
  const auto view = [this] { return this->membership->View(); };
  this->config = std::make_unique<ConfigService>(this->runtime, view);
  const auto access = [this] { return this->config->Access(); };
  this->limits =
      std::make_unique<LimitsService>(this->runtime, LimitsHooks{access, view});
  OnlineHooks online_hooks;
  online_hooks.access = access;
  online_hooks.fleet = view;
  online_hooks.admit =
      RefuseWhenIsolated([this] { return this->config->InForce().isolated; },
                         this->runtime.clock, this->limits->Admit());
  online_hooks.record = [this](const RequestOutcome& outcome) {
    this->metrics.Record(outcome);
    this->report->Record({outcome.organisation, outcome.service}, outcome.event,
                         outcome.first_byte);
  };
  this->online =
      std::make_unique<OnlineService>(this->runtime, std::move(online_hooks));
  this->item_sender = std::make_unique<ItemSender>(this->runtime, view);
  BatchHooks batch_hooks;
  batch_hooks.run_item = [this](ItemCall call) {
    return this->item_sender->Send(std::move(call));
  };
  batch_hooks.access = access;
  batch_hooks.fleet = view;
  batch_hooks.observe = [this] { return this->online->dispatcher().Loads(); };
  this->batch =
      std::make_unique<BatchService>(this->runtime, std::move(batch_hooks));
  this->report = std::make_unique<ReportService>(this->runtime, view);
  this->metrics.AddConfig(*this->config);
  this->metrics.AddFleet(view);
  this->metrics.AddTransport(*this->transport);
}

void Daemon::State::MakeServers() {
  const auto& settings = this->runtime.settings;
  Router caller_routes;
  this->online->Register(caller_routes);
  this->batch->Register(caller_routes);
  this->AddHealthRoutes(caller_routes);
  HttpServerOptions options;
  options.address = settings.listen;
  options.max_header_bytes = settings.max_header_bytes;
  options.max_connections = settings.max_connections;
  options.idle_timeout = settings.idle_timeout;
  options.request_timeout = settings.request_timeout;
  this->caller_server =
      std::make_unique<HttpServer>(this->runtime.pool, this->runtime.clock,
                                   options, std::move(caller_routes));
  Router operator_routes;
  AddConfigRoutes(operator_routes, this->runtime, *this->config);
  this->report->Register(operator_routes);
  this->limits->Register(operator_routes);
  this->batch->RegisterAdmin(operator_routes);
  AddFleetRoutes(operator_routes, this->runtime,
                 [this] { return this->membership->View(); });
  this->AddHealthRoutes(operator_routes);
  options.address = settings.admin_listen;
  this->operator_server =
      std::make_unique<HttpServer>(this->runtime.pool, this->runtime.clock,
                                   options, std::move(operator_routes));
}

void Daemon::State::AddHealthRoutes(Router& router) {
  router.Add("GET", "/healthz", [](Exchange& exchange) {
    return SendText(exchange, kOk, "alive\n");
  });
  router.Add("GET", "/readyz", [this](Exchange& exchange) {
    const bool ready = this->Ready();
    return SendText(exchange, ready ? kOk : kServiceUnavailable,
                    ready ? "ready\n" : "not ready\n");
  });
  router.Add("GET", "/metrics", [this](Exchange& exchange) {
    return SendText(exchange, kOk, this->metrics.Format());
  });
}

base::Status Daemon::State::Start() {
  auto status = this->transport->Start();
  if (!status.ok()) return status;
  for (auto* server :
       {this->caller_server.get(), this->operator_server.get()}) {
    auto started = server->Start();
    if (!started.ok()) return started;
  }
  for (std::uint32_t i = 0; i < this->runtime.settings.threads; ++i) {
    this->threads.emplace_back([this] {
      RunHandlers(this->context, [](const std::string& reason) {
        kLog.Error("A handler threw an exception: {}.", reason);
      });
    });
  }
  this->membership->Start();
  this->config->Start();
  this->limits->Start();
  this->batch->Start();
  kLog.Info("Serving callers on {} and operators on {}.", this->CallerAddress(),
            this->AdminAddress());
  return base::Done{};
}

void Daemon::State::Run() {
  for (auto& thread : this->threads) thread.join();
}

bool Daemon::State::Ready() const {
  if (this->shutting_down || !this->config->ready() || !this->limits->ready()) {
    return false;
  }
  const auto view = this->membership->View();
  if (!view->listed) return false;
  return view->platform_reachable || !view->peers.empty();
}

void Daemon::State::Shutdown() {
  if (this->shutting_down.exchange(true)) return;
  kLog.Info("Shutting down.");
  this->membership->AnnounceShutdown();
  asio::post(this->context, [this] { this->DrainServers(); });
}

void Daemon::State::DrainServers() {
  this->draining_servers = 2;
  const auto drained = [this] {
    if (--this->draining_servers == 0) this->StopServices();
  };
  this->caller_server->Drain(drained);
  this->operator_server->Drain(drained);
  this->drain_timer.expires_after(this->runtime.settings.drain_timeout);
  this->drain_timer.async_wait(
      [this](const boost::system::error_code& failure) {
        if (failure) return;
        kLog.Warning("The drain timeout passed: open requests are aborted.");
        this->caller_server->Stop();
        this->operator_server->Stop();
      });
}

void Daemon::State::StopServices() {
  this->drain_timer.cancel();
  this->batch->Stop([this] { this->limits->Stop([this] { this->Finish(); }); });
}

void Daemon::State::Finish() {
  this->config->Stop();
  this->membership->Stop();
  this->transport->Stop();
  kLog.Info("Shutdown complete.");
  this->work_guard.reset();
  this->context.stop();
}

Daemon::Daemon(Settings settings)
    : state(std::make_unique<State>(std::move(settings))) {}

Daemon::~Daemon() = default;

base::Status Daemon::Start() { return this->state->Start(); }

void Daemon::Run() { this->state->Run(); }

void Daemon::Shutdown() { this->state->Shutdown(); }

std::string Daemon::CallerAddress() const {
  return this->state->CallerAddress();
}

std::string Daemon::AdminAddress() const { return this->state->AdminAddress(); }

bool Daemon::Ready() const { return this->state->Ready(); }

}  // namespace gypsumtrack::gateway
