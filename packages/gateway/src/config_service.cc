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
constexpr const char* kConfigMethod = "config";
/// Longest time between two polls of the view of the fleet.
constexpr base::Duration kFleetPollPeriod = std::chrono::milliseconds(200);
constexpr std::size_t kRoundNameBytes = 12;

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
  State(const Runtime& shared, FleetQuery fleet_query,
        policy::ConfigOptions options)
      : runtime(shared),
        fleet(std::move(fleet_query)),
        node(std::move(options), shared.self),
        timer(shared.control),
        access(std::make_shared<policy::AccessSnapshot>()),
        in_force(std::make_shared<ConfigInForce>()) {}

  void Start() {
    this->Post([this] {
      this->running = true;
      this->InitializeFleetView();
    });
  }

  void Stop() {
    this->Post([this] {
      this->running = false;
      this->timer.cancel();
    });
  }

  /// Queues `command` on the control strand.
  template <typename Command>
  void Post(Command command) {
    boost::asio::post(this->runtime.control,
                      [self = this->shared_from_this(),
                       command = std::move(command)]() mutable { command(); });
  }

  // The following methods run only on the control strand.

  void Submit(policy::Proposal proposal, AppendHandler handler) {
    this->pending_appends[proposal.operation_id].push_back(std::move(handler));
    this->Perform(this->node.Submit(this->Now(), std::move(proposal)));
  }

  void Withdraw(policy::Proposal proposal, WithdrawHandler handler) {
    // A new name each time, so that an operator's retry starts another round.
    proposal.operation_id = base::RandomHex(kRoundNameBytes);
    this->pending_withdrawal_rounds[proposal.operation_id] = std::move(handler);
    this->Perform(this->node.Withdraw(this->Now(), std::move(proposal)));
  }

  void QueryFleetStatus(StatusHandler handler) {
    const auto round = base::RandomHex(kRoundNameBytes);
    this->pending_status_queries[round] = std::move(handler);
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

  // Queries. Thread-safe.

  RcuCell<policy::AccessSnapshot>::Pointer Access() const {
    return this->access.Get();
  }
  RcuCell<ConfigInForce>::Pointer InForce() const {
    return this->in_force.Get();
  }

 private:
  base::Instant Now() const { return this->runtime.clock.now(); }

  void InitializeFleetView() {
    this->view = this->fleet();
    this->view_polled_at = this->Now();
    this->Perform(this->node.OnFleet(this->view_polled_at, *this->view));
  }

  void OnTimer() {
    if (!this->running) return;
    const auto now = this->Now();
    if (now - this->view_polled_at >= kFleetPollPeriod) {
      const auto current = this->fleet();
      this->view_polled_at = now;
      if (current != this->view) {
        this->view = current;
        this->Perform(this->node.OnFleet(now, *this->view));
        return;
      }
    }
    this->Perform(this->node.OnTimer(now));
  }

  void Perform(policy::ConfigActions actions) {
    for (auto& action : actions) std::visit(ActionVisitor{*this}, action);
    this->PublishInForce();
    if (this->running) this->ScheduleTimer();
  }

  void ScheduleTimer() {
    const auto now = this->Now();
    const auto wake_at = std::min(this->node.next_wake(),
                                  this->view_polled_at + kFleetPollPeriod);
    this->timer.expires_after(std::max(wake_at - now, base::Duration(0)));
    this->timer.async_wait([self = this->shared_from_this()](
                               const boost::system::error_code& error) {
      if (!error) self->OnTimer();
    });
  }

  void PublishInForce() {
    const auto now = this->Now();
    ConfigInForce current_state{
        .revision = this->node.in_force(),
        .ready = this->node.ready(),
        .table_reachable = this->node.table_reachable(),
        .isolated = this->node.IsIsolated(now),
        .pending_withdrawals = this->node.pending_withdrawals().size()};
    if (current_state == *this->in_force.Get()) return;
    this->in_force.Set(std::make_shared<ConfigInForce>(current_state));
  }

  struct ActionVisitor {
    State& state;

    void operator()(policy::SendMessage& action) const {
      const auto address = AddressOf(*this->state.view, action.vm);
      if (address.empty()) return;
      this->state.runtime.peers.notify(
          address, kConfigMethod, peer::EncodeConfigMessage(action.message));
    }
    void operator()(const policy::CallStore& action) const {
      CallConfigStore(
          this->state.runtime.platform, this->state.runtime.self,
          action.request, action.deadline,
          [self = this->state.shared_from_this(),
           token = action.token](policy::StoreReply reply) {
            self->Post([&state = *self, token, reply = std::move(reply)] {
              state.OnStoreReply(token, reply);
            });
          });
    }
    void operator()(const policy::PublishAccess& /*publish*/) const {
      const auto& node = this->state.node;
      this->state.access.Set(
          std::make_shared<policy::AccessSnapshot>(policy::MakeAccessSnapshot(
              node.log().state(), node.pending_withdrawals().Hashes())));
      kLog.Debug("Configuration revision {} is in force.", node.log().head());
    }
    void operator()(policy::AppendResponse& response) const {
      auto handlers =
          this->state.pending_appends.extract(response.operation_id);
      if (handlers.empty()) return;
      for (auto& handler : handlers.mapped()) handler(response.result);
    }
    void operator()(policy::WithdrawResponse& response) const {
      auto handlers =
          this->state.pending_withdrawal_rounds.extract(response.round);
      if (!handlers.empty()) handlers.mapped()(std::move(response));
    }
    void operator()(policy::StatusResponse& response) const {
      auto handlers =
          this->state.pending_status_queries.extract(response.round);
      if (!handlers.empty()) handlers.mapped()(std::move(response));
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
  base::Instant view_polled_at{};
  bool running = false;
  std::map<std::string, std::vector<AppendHandler>> pending_appends;
  std::map<std::string, WithdrawHandler> pending_withdrawal_rounds;
  std::map<std::string, StatusHandler> pending_status_queries;
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
      kConfigMethod,
      [state = this->state](const base::VmId& from, const Json::Value& params) {
        state->Post(
            [&state = *state, from, params] { state.OnMessage(from, params); });
      });
}

ConfigService::~ConfigService() { this->Stop(); }

void ConfigService::Start() { this->state->Start(); }

void ConfigService::Stop() { this->state->Stop(); }

void ConfigService::Submit(policy::Proposal proposal, AppendHandler handler) {
  this->state->Post([&state = *this->state, proposal = std::move(proposal),
                     handler = std::move(handler)]() mutable {
    state.Submit(std::move(proposal), std::move(handler));
  });
}

void ConfigService::Withdraw(policy::Proposal proposal,
                             WithdrawHandler handler) {
  this->state->Post([&state = *this->state, proposal = std::move(proposal),
                     handler = std::move(handler)]() mutable {
    state.Withdraw(std::move(proposal), std::move(handler));
  });
}

void ConfigService::QueryFleetStatus(StatusHandler handler) {
  this->state->Post(
      [&state = *this->state, handler = std::move(handler)]() mutable {
        state.QueryFleetStatus(std::move(handler));
      });
}

void ConfigService::ReadLog(LogQuery query) {
  this->state->Post([&state = *this->state, query = std::move(query)] {
    query(state.log());
  });
}

std::shared_ptr<const policy::AccessSnapshot> ConfigService::Access() const {
  return this->state->Access();
}

bool ConfigService::ready() const { return this->state->InForce()->ready; }

ConfigInForce ConfigService::InForce() const { return *this->state->InForce(); }

}  // namespace gypsumtrack::gateway
