#include "gypsumtrack/gateway/serving/endpoint_path_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <string>
#include <utility>

#include "../connection_probe.h"
#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/policy/serving/endpoint_reachability.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr policy::ReachabilityOptions kReachabilityOptions;
/// Interval at which silences and due probes are looked for.
constexpr base::Duration kTickPeriod = std::chrono::milliseconds(50);

}  // namespace

class EndpointPathService::State : public std::enable_shared_from_this<State> {
 public:
  explicit State(ServingContext& serving)
      : context(serving), reachability(kReachabilityOptions) {}

  void Start() {
    this->SetHooks();
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->Loop(); },
        asio::detached);
  }

  void SetEndpoints(const std::vector<policy::EndpointEntry>& endpoints) {
    std::vector<policy::ProbeTarget> targets;
    this->addresses.clear();
    for (const auto& endpoint : endpoints) {
      if (endpoint.draining) continue;
      targets.push_back(
          {endpoint.id, endpoint.location.domain, endpoint.service});
      this->addresses[endpoint.id] = endpoint.address;
    }
    this->reachability.SetTargets(std::move(targets));
  }

 private:
  base::Instant Now() const { return this->context.clock.now(); }

  void SetHooks() {
    auto& hooks = this->context.path_hooks;
    hooks.on_call_started = [this] {
      this->reachability.OnCallStarted(this->Now());
    };
    hooks.on_call_ended = [this](bool lost) {
      this->reachability.OnCallEnded();
      if (!lost) return;
      this->reachability.OnConnectionLost(this->Now());
      this->StartProbes();
    };
    hooks.on_bytes = [this] { this->reachability.OnBytes(this->Now()); };
    hooks.on_connect = [this](const base::EndpointId& endpoint, bool connected,
                              base::Instant started_at) {
      this->OnConnect(endpoint, connected, started_at);
    };
  }

  asio::awaitable<void> Loop() {
    for (;;) {
      co_await Pause(kTickPeriod);
      this->StartProbes();
    }
  }

  void StartProbes() {
    const auto targets =
        this->reachability.TakeProbes(this->context.NextRandom(), this->Now());
    for (const auto& target : targets) {
      auto probe = [self = this->shared_from_this(), id = target.endpoint] {
        return self->Probe(id);
      };
      asio::co_spawn(this->context.executor, std::move(probe), asio::detached);
    }
  }

  asio::awaitable<void> Probe(base::EndpointId id) {
    const auto found = this->addresses.find(id);
    if (found == this->addresses.end()) co_return;
    auto address = found->second;
    const auto started_at = this->Now();
    const auto result =
        co_await ProbeConnection(std::move(address), this->context.clock,
                                 kReachabilityOptions.connect_timeout);
    this->OnConnect(id, result == ProbeResult::kOpened, started_at);
  }

  void OnConnect(const base::EndpointId& endpoint, bool connected,
                 base::Instant started_at) {
    const bool was_cut = this->reachability.is_cut();
    this->reachability.OnConnect(endpoint, connected, started_at, this->Now());
    if (this->reachability.is_cut() != was_cut) this->OnChange();
    if (!connected) this->StartProbes();
  }

  void OnChange() {
    const auto now = this->Now();
    if (this->reachability.is_cut()) {
      this->cut_since = now;
      base::LogEvent("endpoints_unreachable",
                     {{"failed", this->reachability.failed_count()},
                      {"known", this->addresses.size()},
                      {"evidence_age_ms",
                       this->reachability.EvidenceAge(now).count() / 1000}});
      return;
    }
    base::LogEvent("endpoints_reachable",
                   {{"away_ms", (now - this->cut_since).count() / 1000}});
  }

  ServingContext& context;
  policy::EndpointReachability reachability;
  /// The addresses of the endpoints that may be probed.
  std::map<base::EndpointId, std::string> addresses;
  base::Instant cut_since{};
};

EndpointPathService::EndpointPathService(ServingContext& serving)
    : context(serving), state(std::make_shared<State>(serving)) {}

EndpointPathService::~EndpointPathService() { this->context.path_hooks = {}; }

void EndpointPathService::Start() { this->state->Start(); }

void EndpointPathService::SetEndpoints(
    const std::vector<policy::EndpointEntry>& endpoints) {
  this->state->SetEndpoints(endpoints);
}

}  // namespace gypsumtrack::gateway
