#include "gypsumtrack/gateway/serving/endpoint_path_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "../connection_probe.h"
#include "../tunnel_probe.h"
#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/tunnel.h"
#include "gypsumtrack/gateway/tunnel_server.h"
#include "gypsumtrack/policy/serving/endpoint_reachability.h"
#include "gypsumtrack/policy/serving/tunnel_peers.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr policy::ReachabilityOptions kReachabilityOptions;
/// Interval at which silences and due probes are looked for.
constexpr base::Duration kTickPeriod = std::chrono::milliseconds(50);
/// Time in which other endpoints must answer to show that this daemon isn't cut
/// from all of them. A round of probes begins and ends within it.
constexpr base::Duration kLivenessTimeout = std::chrono::milliseconds(1000);
constexpr base::Duration kLivenessPollInterval = std::chrono::milliseconds(5);
/// Time in which a peer must have tried to connect to an endpoint.
constexpr base::Duration kPeerProbeTimeout = std::chrono::milliseconds(500);
/// Time after which a peer that was refused by an endpoint knows whether it is
/// cut from all of them.
constexpr base::Duration kPeerCutTime = std::chrono::milliseconds(1000);

}  // namespace

class EndpointPathService::State : public std::enable_shared_from_this<State> {
 public:
  explicit State(ServingContext& serving)
      : context(serving), reachability(kReachabilityOptions), peers({}) {}

  base::Status Start(const PeerDaemon& self_daemon) {
    this->MakeTunnelServer(self_daemon.tunnel_token);
    auto started = this->tunnel_server->Start(self_daemon.tunnel_address);
    if (!started.ok()) return started;
    this->SetHooks();
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->Loop(); },
        asio::detached);
    return base::Done{};
  }

  void Drain() { this->tunnel_server->Drain(); }

  void SetEndpoints(const std::vector<policy::EndpointEntry>& endpoints) {
    std::vector<policy::ProbeTarget> targets;
    this->known.clear();
    for (const auto& endpoint : endpoints) {
      if (endpoint.draining) continue;
      targets.push_back(
          {endpoint.id, endpoint.location.domain, endpoint.service});
      this->known[endpoint.id] = {endpoint.incarnation, endpoint.address};
    }
    this->reachability.SetTargets(std::move(targets));
  }

  void SetPeers(const std::vector<PeerDaemon>& daemons) {
    std::vector<policy::TunnelPeer> able;
    this->hops.clear();
    for (const auto& daemon : daemons) {
      if (daemon.tunnel_token.empty()) continue;
      able.push_back({daemon.vm.name, daemon.location, daemon.cores});
      this->hops[daemon.vm.name] = {daemon.vm.name, daemon.tunnel_address,
                                    daemon.tunnel_token};
    }
    this->peers.SetPeers(able);
  }

  void OnGossip(const GossipMessage& message) {
    std::uint32_t requests = 0;
    for (const auto& [endpoint, load] : message.loads) requests += load.total();
    const auto& name = message.sender.name;
    const bool has_ceased =
        this->peers.OnOffer(name, message.opens_tunnels, requests, this->Now());
    // One that leaves would cut what is sent on its tunnels later.
    if (has_ceased) this->context.client.DropIdleTunnels(name);
  }

  bool OpensTunnels() const {
    return !this->context.shutting_down && !this->reachability.is_cut() &&
           !this->known.empty();
  }

  bool is_cut() const { return this->reachability.is_cut(); }  // NOLINT
  std::size_t tunnel_count() const {                           // NOLINT
    return this->tunnel_server ? this->tunnel_server->tunnel_count() : 0;
  }

 private:
  /// An endpoint as this daemon knows it.
  struct KnownEndpoint {
    std::uint64_t incarnation = 0;
    std::string address;
  };

  base::Instant Now() const { return this->context.clock.now(); }

  void MakeTunnelServer(std::string token) {
    TunnelServerOptions server_options;
    server_options.token = std::move(token);
    TunnelServerHooks server_hooks;
    server_hooks.admit = [this](const TunnelTarget& target) {
      return this->Admit(target);
    };
    server_hooks.on_connected = [this](const base::EndpointId& endpoint,
                                       bool connected,
                                       base::Instant started_at) {
      this->OnConnect(endpoint, connected, started_at);
    };
    this->tunnel_server = std::make_unique<TunnelServer>(
        this->context.executor, this->context.clock, std::move(server_options),
        std::move(server_hooks));
  }

  TunnelAdmission Admit(const TunnelTarget& target) const {
    if (this->context.shutting_down) return {TunnelStatus::kPeerLeaving, {}};
    if (this->reachability.is_cut()) return {TunnelStatus::kPeerCut, {}};
    const auto found = this->known.find(target.endpoint);
    const bool accepts = found != this->known.end() &&
                         found->second.incarnation == target.incarnation &&
                         this->context.endpoints.AcceptsRequests(
                             target.endpoint, target.incarnation);
    if (!accepts) return {TunnelStatus::kUnknownEndpoint, {}};
    return {TunnelStatus::kOpen, found->second.address};
  }

  void SetHooks() {
    auto& hooks = this->context.path_hooks;
    hooks.find_path = [this] { return this->FindPath(); };
    hooks.on_tunnel_failed = [this](const TunnelHop& hop,
                                    const base::EndpointId& endpoint,
                                    TunnelStatus status) {
      this->OnTunnelFailed(hop, endpoint, status);
    };
    hooks.check_liveness = [this](TunnelTarget endpoint) {
      return this->CheckLiveness(std::move(endpoint));
    };
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

  EndpointPath FindPath() {
    EndpointPath path;
    path.location = this->context.settings.location;
    if (!this->reachability.is_cut()) return path;
    const auto peer = this->peers.Choose(
        path.location, this->context.NextRandom(), this->Now());
    path.kind = peer ? PathKind::kTunnel : PathKind::kNone;
    if (!peer) return path;
    path.hop = this->hops[peer->name];
    path.location = peer->location;
    return path;
  }

  void OnTunnelFailed(const TunnelHop& hop, const base::EndpointId& endpoint,
                      TunnelStatus status) {
    base::LogEvent("tunnel_failed",
                   {{"peer", hop.peer},
                    {"endpoint", endpoint.text},
                    {"reason", kTunnelStatusNames.Name(status)}});
    const auto now = this->Now();
    switch (status) {
      case TunnelStatus::kEndpointRefused:
      case TunnelStatus::kUnknownEndpoint:
        // These are the endpoint's own, as far as the peer can tell.
        break;
      case TunnelStatus::kOpen:
      case TunnelStatus::kEndpointUnreachable:
        this->peers.OnDoubted(hop.peer, now);
        break;
      case TunnelStatus::kPeerCut:
      case TunnelStatus::kPeerLeaving:
      case TunnelStatus::kPeerBusy:
      case TunnelStatus::kDenied:
      case TunnelStatus::kPeerUnreachable:
        this->peers.OnFailed(hop.peer, now);
        break;
    }
  }

  /// Endpoints of all failure domains refuse connections if the path does.
  asio::awaitable<policy::Liveness> CheckLiveness(TunnelTarget endpoint) {
    const auto asked_at = this->Now();
    this->reachability.OnConnectionLost(asked_at);
    this->StartProbes();
    while (!this->reachability.is_cut() &&
           this->Now() < asked_at + kLivenessTimeout) {
      if (this->reachability.last_connected() >= asked_at)
        co_return policy::Liveness::kEnded;
      co_await Pause(kLivenessPollInterval);
    }
    if (!this->reachability.is_cut()) co_return policy::Liveness::kUnknown;
    const auto path = this->FindPath();
    if (path.kind != PathKind::kTunnel) co_return policy::Liveness::kUnknown;
    const auto found = co_await this->AskPeer(path.hop, endpoint);
    if (found != policy::Liveness::kEnded) co_return found;
    // The peer may have lost its links at the same moment.
    co_await Pause(kPeerCutTime);
    co_return co_await this->AskPeer(path.hop, endpoint);
  }

  asio::awaitable<policy::Liveness> AskPeer(TunnelHop hop,
                                            TunnelTarget endpoint) {
    const auto status =
        co_await ProbeTunnel(std::move(hop), std::move(endpoint),
                             this->context.clock, kPeerProbeTimeout);
    co_return ToLiveness(status);
  }

  /// Returns what a peer's attempt to connect to an endpoint shows.
  static policy::Liveness ToLiveness(TunnelStatus status) {
    if (status == TunnelStatus::kOpen) return policy::Liveness::kAlive;
    if (status == TunnelStatus::kEndpointRefused)
      return policy::Liveness::kEnded;
    return policy::Liveness::kUnknown;
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
    const auto found = this->known.find(id);
    if (found == this->known.end()) co_return;
    auto address = found->second.address;
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
      this->context.endpoints.ForgetFailures();
      base::LogEvent("endpoints_unreachable",
                     {{"failed", this->reachability.failed_count()},
                      {"known", this->known.size()},
                      {"peers", this->peers.CountUsable(now)},
                      {"evidence_age_ms",
                       this->reachability.EvidenceAge(now).count() / 1000}});
      return;
    }
    for (const auto& [name, hop] : this->hops)
      this->context.client.DropIdleTunnels(name);
    base::LogEvent("endpoints_reachable",
                   {{"away_ms", (now - this->cut_since).count() / 1000}});
  }

  ServingContext& context;
  policy::EndpointReachability reachability;
  policy::TunnelPeers peers;
  /// How to reach the peers that know of tunnels, by VM name.
  std::map<std::string, TunnelHop> hops;
  std::unique_ptr<TunnelServer> tunnel_server;
  /// The endpoints that may be probed.
  std::map<base::EndpointId, KnownEndpoint> known;
  base::Instant cut_since{};
};

EndpointPathService::EndpointPathService(ServingContext& serving)
    : context(serving), state(std::make_shared<State>(serving)) {}

EndpointPathService::~EndpointPathService() { this->context.path_hooks = {}; }

base::Status EndpointPathService::Start(const PeerDaemon& self) {
  return this->state->Start(self);
}

void EndpointPathService::Drain() { this->state->Drain(); }

void EndpointPathService::SetPeers(const std::vector<PeerDaemon>& daemons) {
  this->state->SetPeers(daemons);
}

void EndpointPathService::OnGossip(const GossipMessage& message) {
  this->state->OnGossip(message);
}

bool EndpointPathService::OpensTunnels() const {
  return this->state->OpensTunnels();
}

std::size_t EndpointPathService::tunnel_count() const {
  return this->state->tunnel_count();
}

void EndpointPathService::SetEndpoints(
    const std::vector<policy::EndpointEntry>& endpoints) {
  this->state->SetEndpoints(endpoints);
}

}  // namespace gypsumtrack::gateway
