#include "soak_world.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <exception>
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

constexpr base::Duration kTendPeriod = milliseconds(50);
constexpr base::Duration kEventPause = milliseconds(15);
/// Daemons are ready again and serve so long after the last fault.
constexpr base::Duration kRecoverBound = seconds(12);
/// Jobs are complete so long after that.
constexpr base::Duration kFinishBound = seconds(18);
constexpr base::Duration kStopGrace = seconds(4);
/// Deployments send callers 10 s and more after the first start.
constexpr base::Duration kBeforeTraffic = seconds(2);
/// A change of the rules is in force at all daemons within this time.
constexpr base::Duration kRulesBound = milliseconds(2500);
/// Time of calm in which most requests must be served again.
constexpr base::Duration kCalm = seconds(2);
/// By then each request has its answer.
constexpr base::Duration kAnswerBound = seconds(4);
constexpr const char* kFirstKey = "key-first";
constexpr const char* kSecondKey = "key-second";
constexpr double kRate = 120;
constexpr double kBurst = 60;
constexpr double kSmallRate = 20;
constexpr double kSmallBurst = 20;

struct PlaceOfDaemon {
  const char* domain;
  const char* region;
};
constexpr std::array<PlaceOfDaemon, 3> kPlaces{{
    {"cairo", "delta"},
    {"alex", "delta"},
    {"aswan", "upper"},
}};

std::map<std::string, RateLimit> Limits() {
  return {{"club", {kRate, kBurst}}, {"guild", {kSmallRate, kSmallBurst}}};
}

}  // namespace

SoakWorld::SoakWorld(SoakOptions soak_options)
    : options(std::move(soak_options)),
      signals(this->context, SIGTERM, SIGINT),
      clock(base::SystemClock()),
      store(this->context.get_executor()),
      random(static_cast<std::uint32_t>(this->options.seed)) {}

void SoakWorld::Note(const std::string& what) const {
  fmt::print("{} {}\n", this->clock.now().time_since_epoch().count() / 1000,
             what);
}

void SoakWorld::Spawn(asio::awaitable<void> work) {
  asio::co_spawn(this->context, std::move(work),
                 [](const std::exception_ptr& error) {
                   // A soak that goes on without a part of itself would prove
                   // nothing.
                   if (error) std::rethrow_exception(error);
                 });
}

void SoakWorld::WriteRules(bool with_second_key) {
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

void SoakWorld::BuildPlatform() {
  const auto executor = this->context.get_executor();
  if (!this->store.Start().ok()) throw std::runtime_error("no store");
  this->WriteRules(true);
  for (std::size_t i = 0; i < this->options.endpoints; ++i) {
    SoakEndpoint endpoint;
    endpoint.engine =
        std::make_unique<EngineStandin>(executor, fmt::format("i-{}", i));
    if (!endpoint.engine->Start().ok()) throw std::runtime_error("no endpoint");
    endpoint.engine->SetEventPause(kEventPause);
    endpoint.proxy =
        std::make_unique<LoopbackProxy>(executor, endpoint.engine->address());
    endpoint.proxy->Start();
    this->store.Put(
        "servers", endpoint.engine->id(),
        endpoint.engine->Entry("s1", false, endpoint.proxy->address()));
    this->endpoints.push_back(std::move(endpoint));
  }
}

void SoakWorld::BuildDaemons() {
  std::vector<std::string> addresses;
  const auto block = getpid() % 200 + 20;
  for (std::size_t i = 0; i < this->options.daemons; ++i) {
    SoakDaemon daemon;
    daemon.store_link = std::make_unique<LoopbackProxy>(
        this->context.get_executor(), this->store.address());
    daemon.store_link->Start();
    const auto& place = kPlaces[i % kPlaces.size()];
    DaemonConfig plan;
    plan.program = this->options.program;
    plan.name = fmt::format("vm-{}", i);
    plan.domain = place.domain;
    plan.region = place.region;
    plan.ip =
        fmt::format("127.{}.{}.{}", block, this->options.seed % 250 + 1, i + 1);
    plan.store_address = daemon.store_link->address();
    plan.directory = this->options.directory;
    daemon.process = std::make_unique<DaemonProcess>(plan);
    daemon.process->Start();
    addresses.push_back(daemon.process->callers());
    this->daemons.push_back(std::move(daemon));
  }
  this->callers = std::make_unique<CallerWorld>(CallerWorld{
      .executor = this->context.get_executor(),
      .clock = this->clock,
      .ledger = this->ledger,
      .daemons = addresses,
      .keys = {{"club", kFirstKey}, {"guild", kSecondKey}},
      .random = std::mt19937(static_cast<std::uint32_t>(this->options.seed))});
  this->jobs = std::make_unique<JobCaller>(*this->callers);
}

std::vector<std::string> SoakWorld::Play() {
  this->BuildPlatform();
  this->BuildDaemons();
  this->signals.async_wait([](const auto& error, int) {
    if (!error) throw std::runtime_error("interrupted");
  });
  this->Spawn(this->RunDay());
  this->context.run();
  std::vector<EngineRun> runs;
  for (const auto& endpoint : this->endpoints) {
    const auto own = endpoint.engine->runs();
    runs.insert(runs.end(), own.begin(), own.end());
  }
  auto broken = this->ledger.Check(runs, Limits());
  fmt::print("seed {}: {} requests, {} jobs, {} runs, {} broken promises\n",
             this->options.seed, this->ledger.asked(),
             this->jobs->jobs_accepted(), runs.size(), broken.size());
  return broken;
}

asio::awaitable<void> SoakWorld::RunDay() {
  this->Spawn(this->TendDaemons());
  const bool started =
      co_await this->AwaitReady(this->clock.now() + seconds(20));
  if (!started) this->ledger.Complain("not ready at the start");
  co_await Pause(kBeforeTraffic);
  for (std::size_t i = 0; i < this->options.callers; ++i) {
    this->Spawn(AskForStreams(*this->callers));
  }
  this->Spawn(this->jobs->Run());
  co_await this->MakeTrouble(this->clock.now() + this->options.trouble);
  this->Heal();
  this->Note("calm");
  const bool ready =
      co_await this->AwaitReady(this->clock.now() + kRecoverBound);
  if (!ready) this->ledger.Complain("not ready after the last fault");
  // The key that was given back last is in force everywhere by then.
  co_await Pause(kRulesBound);
  const auto calm_at = this->clock.now();
  co_await Pause(kCalm);
  this->callers->stopped = true;
  co_await Pause(kAnswerBound);
  this->CheckServed(calm_at);
  co_await this->jobs->ReadToEnd(this->clock.now() + kFinishBound);
  this->tending = false;
  this->daemons.clear();
  this->context.stop();
}

void SoakWorld::CheckServed(base::Instant since) {
  const auto seconds_of_calm = std::chrono::duration<double>(kCalm).count();
  for (const auto& [organisation, counts] : this->ledger.ServedSince(since)) {
    const auto within_limits = counts.sent - counts.over_limit;
    // Connections that fell silent in the trouble still cost some requests.
    const bool most = counts.served * 4 >= within_limits * 3;
    // Whoever presses beyond the limit gets half of it at least.
    const auto allowed = Limits().at(organisation).per_second * seconds_of_calm;
    const bool enough = counts.over_limit == 0 ||
                        static_cast<double>(counts.served) >= allowed / 2;
    if (most && enough) continue;
    this->ledger.Complain(fmt::format(
        "in calm {} of {} requests of {} were served, {} refused as over its "
        "limit",
        counts.served, counts.sent, organisation, counts.over_limit));
  }
}

asio::awaitable<bool> SoakWorld::AwaitReady(base::Instant until) {
  while (this->clock.now() < until) {
    std::size_t ready = 0;
    for (const auto& daemon : this->daemons) {
      CallRequest request{"GET", "/gypsumtrack/ready", {}, {}};
      const auto answer = co_await CallOnce(daemon.process->ready(),
                                            std::move(request), seconds(1));
      if (answer.status == code::kOk) ++ready;
    }
    if (ready == this->daemons.size()) co_return true;
    co_await Pause(milliseconds(100));
  }
  co_return false;
}

asio::awaitable<void> SoakWorld::TendDaemons() {
  while (this->tending) {
    const auto now = this->clock.now();
    for (auto& daemon : this->daemons) {
      const auto end = daemon.process->ReapExited();
      const bool asked = daemon.killed_at != base::kNever;
      if (!end.empty()) {
        if (!asked) {
          this->ledger.Complain(daemon.process->name() + " ended: " + end);
        }
        daemon.killed_at = base::kNever;
        daemon.start_at = now + milliseconds(200);
      }
      if (daemon.wake_at <= now) {
        daemon.wake_at = base::kNever;
        daemon.process->Signal(SIGCONT);
      }
      if (daemon.killed_at <= now && daemon.process->running()) {
        daemon.killed_at = base::kNever;
        daemon.process->Kill();
        daemon.start_at = now + milliseconds(200);
      }
      if (daemon.start_at <= now) {
        daemon.start_at = base::kNever;
        daemon.process->Start();
      }
    }
    co_await Pause(kTendPeriod);
  }
}

void SoakWorld::Heal() {
  this->store.rows().SetFaults({});
  this->store.rows().CarryOutLate();
  const auto now = this->clock.now();
  for (auto& daemon : this->daemons) {
    daemon.store_link->SetFault(ProxyFault::kNone);
    if (daemon.wake_at != base::kNever) daemon.wake_at = now;
  }
  for (auto& endpoint : this->endpoints) {
    endpoint.proxy->SetFault(ProxyFault::kNone);
    endpoint.engine->SetFaults({});
    this->store.Put(
        "servers", endpoint.engine->id(),
        endpoint.engine->Entry("s1", false, endpoint.proxy->address()));
  }
  if (!this->has_second_key) this->ChangeRules();
}

asio::awaitable<void> SoakWorld::MakeTrouble(base::Instant until) {
  using Harm = void (SoakWorld::*)();
  constexpr std::array<Harm, 7> kHarms{
      &SoakWorld::HarmDaemon,   &SoakWorld::HarmStoreLink,
      &SoakWorld::HarmStore,    &SoakWorld::HarmEndpointLink,
      &SoakWorld::HarmEndpoint, &SoakWorld::ChangeEntries,
      &SoakWorld::ChangeRules,
  };
  while (this->clock.now() < until) {
    co_await Pause(milliseconds(200 + this->random() % 900));
    (this->*kHarms[this->random() % kHarms.size()])();
  }
}

void SoakWorld::HarmDaemon() {
  auto& daemon = this->daemons[this->random() % this->daemons.size()];
  if (!daemon.process->running()) return;
  const auto now = this->clock.now();
  const auto& name = daemon.process->name();
  switch (this->random() % 4) {
    case 0:
      this->Note("kill " + name);
      daemon.process->Kill();
      daemon.wake_at = base::kNever;
      daemon.killed_at = base::kNever;
      daemon.start_at = now + milliseconds(this->random() % 1500);
      break;
    case 1:
      this->Note("stop " + name);
      daemon.killed_at = now + kStopGrace;
      daemon.process->Signal(SIGTERM);
      break;
    case 2:
      this->Note("pause " + name);
      daemon.process->Signal(SIGSTOP);
      daemon.wake_at = now + milliseconds(200 + this->random() % 4000);
      break;
    default:
      this->Note("reload " + name);
      daemon.process->WriteSettings();
      daemon.process->Signal(SIGHUP);
      break;
  }
}

void SoakWorld::HarmStoreLink() {
  const auto number = this->random() % this->daemons.size();
  auto& link = *this->daemons[number].store_link;
  const auto fault = static_cast<ProxyFault>(this->random() % 5);
  this->Note(fmt::format("store link of vm-{}: {}", number,
                         kProxyFaultNames.Name(fault)));
  if (fault == ProxyFault::kNone) link.ResetConnections();
  link.SetFault(fault);
}

void SoakWorld::HarmStore() {
  RowStoreFaults faults;
  this->store_is_down = !this->store_is_down && this->random() % 2 == 0;
  faults.down = this->store_is_down;
  faults.lose_answers = static_cast<std::uint32_t>(this->random() % 4);
  faults.delay = static_cast<std::uint32_t>(this->random() % 3);
  this->Note(fmt::format("store: down {}, lost answers {}, late {}",
                         faults.down, faults.lose_answers, faults.delay));
  this->store.rows().SetFaults(faults);
  this->store.rows().CarryOutLate();
  if (this->random() % 4 == 0) this->store.rows().ForgetHistory();
}

void SoakWorld::HarmEndpointLink() {
  const auto number = this->random() % this->endpoints.size();
  auto& proxy = *this->endpoints[number].proxy;
  const auto fault = static_cast<ProxyFault>(this->random() % 5);
  this->Note(fmt::format("link of endpoint i-{}: {}", number,
                         kProxyFaultNames.Name(fault)));
  if (fault == ProxyFault::kNone) proxy.ResetConnections();
  proxy.SetFault(fault);
}

void SoakWorld::HarmEndpoint() {
  const auto number = this->random() % this->endpoints.size();
  EngineFaults faults;
  faults.refuse = static_cast<std::uint32_t>(this->random() % 5);
  faults.fail = static_cast<std::uint32_t>(this->random() % 2);
  faults.break_off = static_cast<std::uint32_t>(this->random() % 5);
  faults.break_inside = static_cast<std::uint32_t>(this->random() % 5);
  this->Note(fmt::format("faults at endpoint i-{}", number));
  this->endpoints[number].engine->SetFaults(faults);
}

void SoakWorld::ChangeEntries() {
  const auto number = this->random() % this->endpoints.size();
  const auto& endpoint = this->endpoints[number];
  const auto& id = endpoint.engine->id();
  if (this->random() % 2 == 0) {
    this->Note("entry gone: " + id);
    this->store.Remove("servers", id);
    return;
  }
  const bool draining = this->random() % 3 == 0;
  this->Note(fmt::format("entry of {}: draining {}", id, draining));
  this->store.Put(
      "servers", id,
      endpoint.engine->Entry("s1", draining, endpoint.proxy->address()));
}

void SoakWorld::ChangeRules() {
  // The operator's own way to the store has no faults.
  const auto before = this->rules_version;
  this->has_second_key = !this->has_second_key;
  this->store.rows().SetFaults({});
  this->store_is_down = false;
  this->WriteRules(this->has_second_key);
  const auto now = this->clock.now();
  this->Note(fmt::format("rules {}: second key {}", before,
                         this->has_second_key ? "given" : "withdrawn"));
  if (this->has_second_key) {
    this->ledger.OnReturned(kSecondKey, now);
  } else {
    this->ledger.OnWithdrawn({kSecondKey, now});
  }
}

}  // namespace gypsumtrack::testing
