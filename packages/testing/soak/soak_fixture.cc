#include "soak_fixture.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <exception>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::testing {
namespace {

namespace code = gateway::status;

namespace asio = boost::asio;
using gateway::Pause;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kSupervisePeriod = milliseconds(50);
constexpr base::Duration kEventPause = milliseconds(15);
/// All daemons must be ready again within this time after the last fault.
constexpr base::Duration kRecoveryBound = seconds(12);
/// All jobs must be complete within this time after the requests ended.
constexpr base::Duration kJobsBound = seconds(18);
/// A daemon that was asked to stop is killed after this time.
constexpr base::Duration kShutdownGrace = seconds(4);
/// Delays the callers after the first start; deployments wait 10 s or more. A
/// daemon that lists itself first believes for about 1 s that it is alone, and
/// would admit more than the limit of an organisation.
constexpr base::Duration kTrafficDelay = seconds(2);
/// All daemons apply a change of the rules within this time; equals their
/// setting bounds.applyMs.
constexpr base::Duration kRulesBound = milliseconds(2500);
/// The period without faults in which most requests must be served.
constexpr base::Duration kFaultFreePeriod = seconds(2);
/// Each request has its response within this time.
constexpr base::Duration kResponseBound = seconds(4);
/// How long an endpoint names a limit: long enough for a whole window after the
/// daemons must keep it.
constexpr base::Duration kLimitedTime = seconds(9);
constexpr std::uint32_t kMinLimit = 2;
constexpr std::uint32_t kMaxMillisBetweenCuts = 2000;
/// A cut lasts 2 to 8 s.
constexpr std::uint32_t kMinCutMillis = 2000;
constexpr std::uint32_t kCutMillisRange = 6001;
constexpr std::array<ProxyCut, 3> kCuts{ProxyCut::kSilent, ProxyCut::kReset,
                                        ProxyCut::kRefuseNew};
constexpr const char* kFirstKey = "key-first";
constexpr const char* kSecondKey = "key-second";
constexpr double kRate = 120;
constexpr double kBurst = 60;
constexpr double kSmallRate = 20;
constexpr double kSmallBurst = 20;

/// The failure domain and region of a daemon.
struct DaemonLocation {
  const char* domain;
  const char* region;
};
constexpr std::array<DaemonLocation, 3> kDaemonLocations{{
    {"cairo", "delta"},
    {"alex", "delta"},
    {"aswan", "upper"},
}};

std::map<std::string, RateLimit> RateLimits() {
  return {{"club", {kRate, kBurst}}, {"guild", {kSmallRate, kSmallBurst}}};
}

}  // namespace

SoakFixture::SoakFixture(SoakOptions soak_options)
    : options(std::move(soak_options)),
      signals(this->context, SIGTERM, SIGINT),
      clock(base::SystemClock()),
      store(this->context.get_executor()),
      random(static_cast<std::uint32_t>(this->options.seed)),
      limits_random(static_cast<std::uint32_t>(this->options.seed)),
      cuts_random(static_cast<std::uint32_t>(this->options.seed)) {}

void SoakFixture::Log(const std::string& message) const {
  fmt::print("{} {}\n", this->clock.now().time_since_epoch().count() / 1000,
             message);
}

void SoakFixture::Spawn(asio::awaitable<void> coroutine) {
  asio::co_spawn(this->context, std::move(coroutine),
                 [](const std::exception_ptr& error) {
                   // Ends the soak: without this coroutine it would check less
                   // than it claims.
                   if (error) std::rethrow_exception(error);
                 });
}

void SoakFixture::WriteRules(bool with_second_key) {
  const auto keys = with_second_key ? fmt::format("\"{}\"", kSecondKey) : "";
  this->store.Put("op", "config",
                  fmt::format(
                      R"({{"version":{},"routes":[
{{"name":"r1","host":"h1","prefix":"/loans/","kind":"stream","timeoutMs":5000,
"goalMs":300,"attempts":3,"resumable":true,"gapTargetMs":400,"service":"s1"}},
{{"name":"r2","host":"h1","prefix":"/returns/","kind":"stream",
"timeoutMs":5000,"goalMs":300,"attempts":1,"service":"s1"}},
{{"name":"r3","host":"h1","prefix":"/sheets/","kind":"batch",
"timeoutMs":15000,"goalMs":400,"service":"s1","attempts":3,"dueMs":18000,
"retainS":120,"cap":0}}],
"tenants":[{{"name":"club","apiKeys":["{}"],"ratePerS":{},"burst":{}}},
{{"name":"guild","apiKeys":[{}],"ratePerS":{},"burst":{}}}]}})",
                      this->rules_version, kFirstKey, kRate, kBurst, keys,
                      kSmallRate, kSmallBurst));
  ++this->rules_version;
}

void SoakFixture::StartStoreAndEndpoints() {
  const auto executor = this->context.get_executor();
  this->WriteRules(true);
  for (std::size_t i = 0; i < this->options.endpoints; ++i) {
    auto engine =
        std::make_unique<EngineStandin>(executor, fmt::format("i-{}", i));
    if (!engine->Start().ok()) throw std::runtime_error("no endpoint");
    engine->SetEventPause(kEventPause);
    this->store.Put("servers", engine->id(), engine->Entry("s1", false));
    this->endpoints.push_back(std::move(engine));
  }
}

SoakDaemon SoakFixture::MakeDaemon() {
  const auto executor = this->context.get_executor();
  SoakDaemon daemon;
  std::map<std::string, std::string> addresses;
  for (const auto& engine : this->endpoints) {
    auto proxy = std::make_unique<LoopbackProxy>(executor, engine->address());
    proxy->Start();
    addresses[engine->id()] = proxy->address();
    daemon.endpoint_proxies[engine->id()] = std::move(proxy);
  }
  daemon.store = std::make_unique<StoreStandin>(
      this->store,
      [addresses](const std::string& id) { return addresses.at(id); });
  if (!daemon.store->Start().ok()) throw std::runtime_error("no store");
  daemon.store_proxy =
      std::make_unique<LoopbackProxy>(executor, daemon.store->address());
  daemon.store_proxy->Start();
  return daemon;
}

void SoakFixture::StartDaemons() {
  std::vector<CallerTarget> targets;
  const auto ip_octet = getpid() % 200 + 20;
  for (std::size_t i = 0; i < this->options.daemons; ++i) {
    auto daemon = this->MakeDaemon();
    const auto& location = kDaemonLocations[i % kDaemonLocations.size()];
    DaemonConfig config;
    config.program = this->options.program;
    config.first_program = this->options.old_program;
    config.name = fmt::format("vm-{}", i);
    config.domain = location.domain;
    config.region = location.region;
    config.ip = fmt::format("127.{}.{}.{}", ip_octet,
                            this->options.seed % 250 + 1, i + 1);
    config.store_address = daemon.store_proxy->address();
    config.directory = this->options.directory;
    daemon.process = std::make_unique<DaemonProcess>(config);
    daemon.process->Start();
    targets.push_back(
        {daemon.process->name(), daemon.process->caller_address()});
    this->daemons.push_back(std::move(daemon));
  }
  this->caller_context = std::make_unique<CallerContext>(CallerContext{
      .executor = this->context.get_executor(),
      .clock = this->clock,
      .checker = this->checker,
      .daemons = targets,
      .keys = {{"club", kFirstKey}, {"guild", kSecondKey}},
      .random = std::mt19937(static_cast<std::uint32_t>(this->options.seed))});
  for (std::size_t i = 0; i <= this->options.ending_callers; ++i) {
    this->job_callers.push_back(
        std::make_unique<JobCaller>(*this->caller_context));
  }
}

std::vector<std::string> SoakFixture::Run() {
  this->StartStoreAndEndpoints();
  this->StartDaemons();
  this->signals.async_wait([](const auto& error, int) {
    if (!error) throw std::runtime_error("interrupted");
  });
  this->Spawn(this->RunScenario());
  this->context.run();
  std::vector<EngineRun> runs;
  for (const auto& endpoint : this->endpoints) {
    const auto endpoint_runs = endpoint->runs();
    runs.insert(runs.end(), endpoint_runs.begin(), endpoint_runs.end());
  }
  const auto find_sender = [this](const EngineRun& run) {
    const auto age = this->clock.now() - run.at;
    const auto at =
        std::chrono::time_point_cast<milliseconds>(this->clock.wall() - age);
    return FindSender(this->options.directory, run.request_id, at);
  };
  auto violations = this->checker.Check(runs, RateLimits(), find_sender);
  fmt::print("seed {}: {} requests, {}, {} runs, {} violations\n",
             this->options.seed, this->checker.request_count(),
             this->CountJobs(), runs.size(), violations.size());
  return violations;
}

std::string SoakFixture::CountJobs() const {
  std::size_t accepted = 0;
  for (const auto& caller : this->job_callers) {
    accepted += caller->jobs_accepted();
  }
  return fmt::format("{} jobs, {} of them ended", accepted,
                     this->checker.ended_job_count());
}

void SoakFixture::StartCallers() {
  for (std::size_t i = 0; i < this->options.callers; ++i) {
    this->Spawn(RunStreamCaller(*this->caller_context));
  }
  this->Spawn(this->job_callers.front()->Run());
  for (std::size_t i = 1; i < this->job_callers.size(); ++i) {
    this->Spawn(this->job_callers[i]->RunAndEndJobs());
  }
}

asio::awaitable<void> SoakFixture::RunScenario() {
  this->Spawn(this->SuperviseDaemons());
  const bool started =
      co_await this->AwaitReady(this->clock.now() + seconds(20));
  if (!started) this->checker.AddViolation("daemons not ready after start");
  co_await Pause(kTrafficDelay);
  this->StartCallers();
  const auto faults_until = this->clock.now() + this->options.fault_duration;
  this->Spawn(this->NameLimits(faults_until));
  if (this->options.cuts && this->daemons.size() > 1) {
    this->Spawn(this->CutDaemons(faults_until));
  }
  co_await this->InjectFaults(faults_until);
  this->ClearFaults();
  this->Log("calm");
  const bool ready =
      co_await this->AwaitReady(this->clock.now() + kRecoveryBound);
  if (!ready) this->checker.AddViolation("daemons not ready after last fault");
  // Waits until all daemons accept the key that was restored last.
  co_await Pause(kRulesBound);
  const auto fault_free_start = this->clock.now();
  co_await Pause(kFaultFreePeriod);
  this->caller_context->stopped = true;
  co_await Pause(kResponseBound);
  this->CheckServed(fault_free_start);
  const auto jobs_until = this->clock.now() + kJobsBound;
  for (const auto& caller : this->job_callers) {
    co_await caller->ReadAllResults(jobs_until);
  }
  this->supervising = false;
  this->daemons.clear();
  this->context.stop();
}

void SoakFixture::CheckServed(base::Instant since) {
  const auto fault_free_seconds =
      std::chrono::duration<double>(kFaultFreePeriod).count();
  for (const auto& [organisation, counts] : this->checker.ServedSince(since)) {
    const auto within_limits = counts.sent - counts.over_limit;
    // Connections that dropped data during the faults keep dropping it, so some
    // requests still fail.
    const bool mostly_served = counts.served * 4 >= within_limits * 3;
    // An organisation that exceeds its limit must still get half of it.
    const auto allowed =
        RateLimits().at(organisation).per_second * fault_free_seconds;
    const bool served_fair_share =
        counts.over_limit == 0 ||
        static_cast<double>(counts.served) >= allowed / 2;
    if (mostly_served && served_fair_share) continue;
    this->checker.AddViolation(fmt::format(
        "without faults {} of {} requests of {} were served, {} over the limit",
        counts.served, counts.sent, organisation, counts.over_limit));
  }
}

asio::awaitable<bool> SoakFixture::AwaitReady(base::Instant until) {
  while (this->clock.now() < until) {
    std::size_t ready = 0;
    for (const auto& daemon : this->daemons) {
      CallRequest request{"GET", "/gypsumtrack/ready", {}, {}};
      const auto response = co_await CallOnce(daemon.process->ready_address(),
                                              std::move(request), seconds(1));
      if (response.status == code::kOk) ++ready;
    }
    if (ready == this->daemons.size()) co_return true;
    co_await Pause(milliseconds(100));
  }
  co_return false;
}

asio::awaitable<void> SoakFixture::SuperviseDaemons() {
  while (this->supervising) {
    const auto now = this->clock.now();
    for (auto& daemon : this->daemons) {
      const auto exit_reason = daemon.process->ReapExited();
      const bool shutdown_requested = daemon.kill_at != base::kNever;
      if (!exit_reason.empty()) {
        if (!shutdown_requested) {
          this->checker.AddViolation(daemon.process->name() +
                                     " ended unexpectedly: " + exit_reason);
        }
        daemon.kill_at = base::kNever;
        daemon.start_at = now + milliseconds(200);
      }
      if (daemon.resume_at <= now) {
        daemon.resume_at = base::kNever;
        daemon.process->Signal(SIGCONT);
        this->checker.RecordDisruptionEnd(daemon.process->name(),
                                          Disruption::kProcess, now);
      }
      if (daemon.kill_at <= now && daemon.process->running()) {
        daemon.kill_at = base::kNever;
        daemon.process->Kill();
        daemon.start_at = now + milliseconds(200);
      }
      if (daemon.start_at <= now) {
        daemon.start_at = base::kNever;
        daemon.process->Start();
        // The start is a disruption itself.
        this->checker.RecordDisruption(daemon.process->name(),
                                       Disruption::kProcess, now);
        this->checker.RecordDisruptionEnd(daemon.process->name(),
                                          Disruption::kProcess, now);
      }
    }
    co_await Pause(kSupervisePeriod);
  }
}

void SoakFixture::ClearFaults() {
  this->store.rows().SetFaults({});
  this->store.rows().CarryOutLate();
  const auto now = this->clock.now();
  for (auto& daemon : this->daemons) {
    daemon.store_proxy->SetFault(ProxyFault::kNone);
    for (const auto& [id, proxy] : daemon.endpoint_proxies) {
      proxy->SetFault(ProxyFault::kNone);
    }
    this->checker.RecordDisruptionEnd(daemon.process->name(),
                                      Disruption::kStore, now);
    if (daemon.resume_at != base::kNever) daemon.resume_at = now;
  }
  for (auto& endpoint : this->endpoints) {
    endpoint->SetFaults({});
    this->store.Put("servers", endpoint->id(), endpoint->Entry("s1", false));
  }
  if (!this->has_second_key) this->ChangeRules();
}

asio::awaitable<void> SoakFixture::InjectFaults(base::Instant until) {
  using FaultInjection = void (SoakFixture::*)();
  constexpr std::array<FaultInjection, 7> kFaultInjections{
      &SoakFixture::InjectDaemonFault,   &SoakFixture::InjectStoreProxyFault,
      &SoakFixture::InjectStoreFault,    &SoakFixture::InjectEndpointProxyFault,
      &SoakFixture::InjectEndpointFault, &SoakFixture::ChangeEndpointEntry,
      &SoakFixture::ChangeRules,
  };
  while (this->clock.now() < until) {
    co_await Pause(milliseconds(200 + this->random() % 900));
    (this->*kFaultInjections[this->random() % kFaultInjections.size()])();
  }
}

asio::awaitable<void> SoakFixture::NameLimits(base::Instant until) {
  while (this->clock.now() < until) {
    auto& engine =
        *this->endpoints[this->limits_random() % this->endpoints.size()];
    LimitedSpan span;
    span.engine = engine.id();
    span.per_second =
        static_cast<double>(kMinLimit + this->limits_random() % 8);
    span.from = this->clock.now();
    span.until = std::min(until, span.from + kLimitedTime);
    this->Log(
        fmt::format("{} names a limit of {}", span.engine, span.per_second));
    engine.SetRateLimit(fmt::format("{}", span.per_second));
    co_await Pause(span.until - span.from);
    engine.SetRateLimit("");
    this->checker.RecordLimitedSpan(std::move(span));
    co_await Pause(milliseconds(500));
  }
}

std::vector<std::size_t> SoakFixture::DrawDaemonsToCut() {
  std::vector<std::size_t> numbers(this->daemons.size());
  std::iota(numbers.begin(), numbers.end(), 0);
  std::shuffle(numbers.begin(), numbers.end(), this->cuts_random);
  numbers.resize(1 + this->cuts_random() % (numbers.size() - 1));
  return numbers;
}

void SoakFixture::SetCut(const std::vector<std::size_t>& numbers,
                         ProxyCut cut) {
  for (const auto number : numbers) {
    for (const auto& [id, proxy] : this->daemons[number].endpoint_proxies) {
      proxy->SetCut(cut);
    }
  }
}

asio::awaitable<void> SoakFixture::CutDaemons(base::Instant until) {
  for (;;) {
    co_await Pause(milliseconds(this->cuts_random() % kMaxMillisBetweenCuts));
    if (until - this->clock.now() < milliseconds(kMinCutMillis)) co_return;
    const auto numbers = this->DrawDaemonsToCut();
    const auto kind = kCuts[this->cuts_random() % kCuts.size()];
    const milliseconds length(kMinCutMillis +
                              this->cuts_random() % kCutMillisRange);
    EndpointCut cut;
    for (const auto number : numbers) {
      cut.daemons.push_back(this->daemons[number].process->name());
    }
    this->Log(fmt::format("{} cut from all endpoints: {}",
                          fmt::join(cut.daemons, ", "),
                          kProxyCutNames.Name(kind)));
    cut.from = this->clock.now();
    this->SetCut(numbers, kind);
    co_await Pause(std::min<base::Duration>(length, until - cut.from));
    cut.until = this->clock.now();
    this->SetCut(numbers, ProxyCut::kNone);
    this->Log(fmt::format("{} reach the endpoints again",
                          fmt::join(cut.daemons, ", ")));
    this->checker.RecordCut(std::move(cut));
  }
}

void SoakFixture::InjectDaemonFault() {
  auto& daemon = this->daemons[this->random() % this->daemons.size()];
  if (!daemon.process->running()) return;
  const auto now = this->clock.now();
  const auto& name = daemon.process->name();
  const auto fault = this->random() % 4;
  // A reload excuses nothing.
  if (fault < 3) {
    this->checker.RecordDisruption(name, Disruption::kProcess, now);
  }
  switch (fault) {
    case 0:
      this->Log("kill " + name);
      daemon.process->Kill();
      daemon.resume_at = base::kNever;
      daemon.kill_at = base::kNever;
      daemon.start_at = now + milliseconds(this->random() % 1500);
      break;
    case 1:
      this->Log("stop " + name);
      daemon.kill_at = now + kShutdownGrace;
      daemon.process->Signal(SIGTERM);
      break;
    case 2:
      this->Log("pause " + name);
      daemon.process->Signal(SIGSTOP);
      daemon.resume_at = now + milliseconds(200 + this->random() % 4000);
      break;
    default:
      this->Log("reload " + name);
      daemon.process->WriteSettings();
      daemon.process->Signal(SIGHUP);
      break;
  }
}

void SoakFixture::InjectStoreProxyFault() {
  const auto number = this->random() % this->daemons.size();
  auto& proxy = *this->daemons[number].store_proxy;
  const auto fault = static_cast<ProxyFault>(this->random() % 5);
  this->Log(fmt::format("store proxy of vm-{}: {}", number,
                        kProxyFaultNames.Name(fault)));
  if (fault == ProxyFault::kNone) proxy.ResetConnections();
  proxy.SetFault(fault);
  // A delay cuts nothing off.
  const auto& name = this->daemons[number].process->name();
  const auto now = this->clock.now();
  if (fault != ProxyFault::kDelay) {
    this->checker.RecordDisruption(name, Disruption::kStore, now);
  }
  if (fault == ProxyFault::kDelay || fault == ProxyFault::kNone) {
    this->checker.RecordDisruptionEnd(name, Disruption::kStore, now);
  }
}

void SoakFixture::InjectStoreFault() {
  RowStoreFaults faults;
  this->store_is_down = !this->store_is_down && this->random() % 2 == 0;
  faults.down = this->store_is_down;
  faults.lose_answers = static_cast<std::uint32_t>(this->random() % 4);
  faults.delay = static_cast<std::uint32_t>(this->random() % 3);
  this->Log(fmt::format("store: down {}, lost responses {}, late {}",
                        faults.down, faults.lose_answers, faults.delay));
  this->store.rows().SetFaults(faults);
  this->store.rows().CarryOutLate();
  if (this->random() % 4 == 0) this->store.rows().ForgetHistory();
}

void SoakFixture::InjectEndpointProxyFault() {
  const auto number = this->random() % this->endpoints.size();
  const auto& id = this->endpoints[number]->id();
  const auto fault = static_cast<ProxyFault>(this->random() % 5);
  this->Log(fmt::format("proxies of endpoint {}: {}", id,
                        kProxyFaultNames.Name(fault)));
  for (auto& daemon : this->daemons) {
    auto& proxy = *daemon.endpoint_proxies.at(id);
    if (fault == ProxyFault::kNone) proxy.ResetConnections();
    proxy.SetFault(fault);
  }
}

void SoakFixture::InjectEndpointFault() {
  const auto number = this->random() % this->endpoints.size();
  EngineFaults faults;
  faults.refuse = static_cast<std::uint32_t>(this->random() % 5);
  faults.fail = static_cast<std::uint32_t>(this->random() % 2);
  faults.break_off = static_cast<std::uint32_t>(this->random() % 5);
  faults.break_inside = static_cast<std::uint32_t>(this->random() % 5);
  this->Log(fmt::format("faults at endpoint i-{}", number));
  this->endpoints[number]->SetFaults(faults);
}

void SoakFixture::ChangeEndpointEntry() {
  const auto number = this->random() % this->endpoints.size();
  const auto& endpoint = *this->endpoints[number];
  const auto& id = endpoint.id();
  if (this->random() % 2 == 0) {
    this->Log("entry removed: " + id);
    this->store.Remove("servers", id);
    return;
  }
  const bool draining = this->random() % 3 == 0;
  this->Log(fmt::format("entry of {}: draining {}", id, draining));
  this->store.Put("servers", id, endpoint.Entry("s1", draining));
}

void SoakFixture::ChangeRules() {
  // The operator's path to the store has no faults.
  const auto before = this->rules_version;
  this->has_second_key = !this->has_second_key;
  this->store.rows().SetFaults({});
  this->store_is_down = false;
  this->WriteRules(this->has_second_key);
  const auto now = this->clock.now();
  this->Log(fmt::format("rules {}: second key {}", before,
                        this->has_second_key ? "given" : "withdrawn"));
  if (this->has_second_key) {
    this->checker.RecordRestoration(kSecondKey, now);
  } else {
    this->checker.RecordWithdrawal({kSecondKey, now});
  }
}

}  // namespace gypsumtrack::testing
