#include "gypsumtrack/gateway/config_service.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/log.h"
#include "gypsumtrack/gateway/config_store.h"
#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/peer/config_codec.h"

namespace gypsumtrack::gateway {
namespace {

constexpr base::Logger kLog{"config"};
constexpr const char* kMethod = "config";
/// Longest time between two looks at the view of the fleet.
constexpr base::Duration kFleetPeriod = std::chrono::milliseconds(200);
constexpr std::size_t kRoundBytes = 12;

std::string AddressOf(const policy::FleetView& view, const std::string& vm) {
  for (const auto& peer : view.peers) {
    if (peer.id.name == vm) return peer.address;
  }
  return {};
}

}  // namespace

class ConfigService::State
    : public std::enable_shared_from_this<ConfigService::State> {
 public:
  State(const Runtime& host, FleetQuery fleet_query,
        policy::ConfigOptions options)
      : runtime(host),
        fleet(std::move(fleet_query)),
        node(std::move(options), host.self),
        timer(host.control),
        access(std::make_shared<policy::AccessSnapshot>()),
        in_force(std::make_shared<ConfigInForce>()) {}

  void Start() {
    this->Run([this] {
      this->running = true;
      this->LookAtFleet();
    });
  }

  void Stop() {
    this->Run([this] {
      this->running = false;
      this->timer.cancel();
    });
  }

  /// Queues `command` on the control strand.
  template <typename Command>
  void Run(Command command) {
    boost::asio::post(this->runtime.control,
                      [self = this->shared_from_this(),
                       command = std::move(command)]() mutable { command(); });
  }

  // Below: on the control strand only.

  void Submit(policy::Proposal proposal, AppendHandler handler) {
    this->appends[proposal.operation_id].push_back(std::move(handler));
    this->Perform(this->node.Submit(this->Now(), std::move(proposal)));
  }

  void Withdraw(policy::Proposal proposal, WithdrawHandler handler) {
    // Rounds are named here: an operator's second try is another round.
    proposal.operation_id = base::RandomHex(kRoundBytes);
    this->withdrawals[proposal.operation_id] = std::move(handler);
    this->Perform(this->node.Withdraw(this->Now(), std::move(proposal)));
  }

  void QueryFleetStatus(StatusHandler handler) {
    const auto round = base::RandomHex(kRoundBytes);
    this->statuses[round] = std::move(handler);
    this->Perform(this->node.QueryFleetStatus(this->Now(), round));
  }

  void OnMessage(const base::VmId& from, const Json::Value& params) {
    if (!this->running) return;
    const auto message = peer::DecodeConfigMessage(params);
    if (!message.ok()) {
      kLog.Warning("Dropped a malformed message from {}.", from.name);
      return;
    }
    this->Perform(this->node.OnMessage(this->Now(), from.name, *message));
  }

  const policy::ConfigLog& log() const { return this->node.log(); }  // NOLINT

  // Queries, from any thread.

  RcuCell<policy::AccessSnapshot>::Pointer Access() const {
    return this->access.Get();
  }
  RcuCell<ConfigInForce>::Pointer InForce() const {
    return this->in_force.Get();
  }

 private:
  base::Instant Now() const { return this->runtime.clock.now(); }

  void LookAtFleet() {
    this->view = this->fleet();
    this->view_at = this->Now();
    this->Perform(this->node.OnFleet(this->view_at, *this->view));
  }

  void OnTimer() {
    if (!this->running) return;
    const auto now = this->Now();
    if (now - this->view_at >= kFleetPeriod) {
      const auto current = this->fleet();
      this->view_at = now;
      if (current != this->view) {
        this->view = current;
        this->Perform(this->node.OnFleet(now, *this->view));
        return;
      }
    }
    this->Perform(this->node.OnTimer(now));
  }

  void Perform(policy::ConfigActions actions) {
    for (auto& action : actions) std::visit(Performer{*this}, action);
    this->ShowInForce();
    if (this->running) this->Arm();
  }

  void Arm() {
    const auto now = this->Now();
    const auto wake =
        std::min(this->node.next_wake(), this->view_at + kFleetPeriod);
    this->timer.expires_after(std::max(wake - now, base::Duration(0)));
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code& e) {
          if (!e) self->OnTimer();
        });
  }

  void ShowInForce() {
    const auto now = this->Now();
    ConfigInForce shown{
        .revision = this->node.in_force(),
        .ready = this->node.ready(),
        .table_reachable = this->node.table_reachable(),
        .isolated = this->node.IsIsolated(now),
        .pending_withdrawals = this->node.pending_withdrawals().size()};
    if (shown == *this->in_force.Get()) return;
    this->in_force.Set(std::make_shared<ConfigInForce>(shown));
  }

  struct Performer {
    State& state;

    void operator()(policy::SendMessage& send) const {
      const auto address = AddressOf(*this->state.view, send.vm);
      if (address.empty()) return;
      this->state.runtime.peers.notify(address, kMethod,
                                       peer::EncodeConfigMessage(send.message));
    }
    void operator()(const policy::CallStore& call) const {
      CallConfigStore(
          this->state.runtime.platform, this->state.runtime.self, call.request,
          call.deadline,
          [self = this->state.shared_from_this(),
           token = call.token](policy::StoreReply reply) {
            self->Run([&state = *self, token, reply = std::move(reply)] {
              state.OnStoreReply(token, reply);
            });
          });
    }
    void operator()(const policy::PublishAccess& /*publish*/) const {
      const auto& node = this->state.node;
      this->state.access.Set(
          std::make_shared<policy::AccessSnapshot>(policy::MakeAccessSnapshot(
              node.log().state(), node.pending_withdrawals().Hashes())));
      kLog.Debug("Revision {} is in force.", node.log().head());
    }
    void operator()(policy::AppendResponse& answer) const {
      auto waiting = this->state.appends.extract(answer.operation_id);
      if (waiting.empty()) return;
      for (auto& handler : waiting.mapped()) handler(answer.result);
    }
    void operator()(policy::WithdrawResponse& answer) const {
      auto waiting = this->state.withdrawals.extract(answer.round);
      if (!waiting.empty()) waiting.mapped()(std::move(answer));
    }
    void operator()(policy::StatusResponse& answer) const {
      auto waiting = this->state.statuses.extract(answer.round);
      if (!waiting.empty()) waiting.mapped()(std::move(answer));
    }
  };

  void OnStoreReply(std::uint64_t token, const policy::StoreReply& reply) {
    if (!this->running) return;
    this->Perform(this->node.OnStoreReply(this->Now(), token, reply));
  }

  const Runtime& runtime;
  FleetQuery fleet;
  policy::ConfigNode node;
  boost::asio::steady_timer timer;
  std::shared_ptr<const policy::FleetView> view;
  base::Instant view_at{};
  bool running = false;
  std::map<std::string, std::vector<AppendHandler>> appends;
  std::map<std::string, WithdrawHandler> withdrawals;
  std::map<std::string, StatusHandler> statuses;
  RcuCell<policy::AccessSnapshot> access;
  RcuCell<ConfigInForce> in_force;
};

ConfigService::ConfigService(const Runtime& runtime, FleetQuery fleet,
                             policy::ConfigOptions options) {
  options.wall_clock = [&runtime](base::Instant) {
    return runtime.clock.wall();
  };
  this->state =
      std::make_shared<State>(runtime, std::move(fleet), std::move(options));
  runtime.peers.on_notice(
      kMethod,
      [state = this->state](const base::VmId& from, const Json::Value& params) {
        state->Run(
            [&state = *state, from, params] { state.OnMessage(from, params); });
      });
}

ConfigService::~ConfigService() { this->Stop(); }

void ConfigService::Start() { this->state->Start(); }

void ConfigService::Stop() { this->state->Stop(); }

void ConfigService::Submit(policy::Proposal proposal, AppendHandler handler) {
  this->state->Run([&state = *this->state, proposal = std::move(proposal),
                    handler = std::move(handler)]() mutable {
    state.Submit(std::move(proposal), std::move(handler));
  });
}

void ConfigService::Withdraw(policy::Proposal proposal,
                             WithdrawHandler handler) {
  this->state->Run([&state = *this->state, proposal = std::move(proposal),
                    handler = std::move(handler)]() mutable {
    state.Withdraw(std::move(proposal), std::move(handler));
  });
}

void ConfigService::QueryFleetStatus(StatusHandler handler) {
  this->state->Run(
      [&state = *this->state, handler = std::move(handler)]() mutable {
        state.QueryFleetStatus(std::move(handler));
      });
}

void ConfigService::ReadLog(LogQuery query) {
  this->state->Run([&state = *this->state, query = std::move(query)] {
    query(state.log());
  });
}

std::shared_ptr<const policy::AccessSnapshot> ConfigService::Access() const {
  return this->state->Access();
}

bool ConfigService::ready() const { return this->state->InForce()->ready; }

ConfigInForce ConfigService::InForce() const { return *this->state->InForce(); }

}  // namespace gypsumtrack::gateway
