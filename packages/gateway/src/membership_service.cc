#include "gypsumtrack/gateway/membership_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/peer/membership_codec.h"
#include "gypsumtrack/policy/membership.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Duration kListPollPeriod = std::chrono::seconds(1);
constexpr base::Duration kListTimeout = std::chrono::seconds(2);
constexpr base::Duration kSyncTimeout = std::chrono::seconds(5);

using ListReply = base::Outcome<std::vector<base::ListedVm>>;

}  // namespace

/// `membership` is accessed only on the control strand, except by the
/// constructor.
struct MembershipService::State
    : std::enable_shared_from_this<MembershipService::State> {
  explicit State(Runtime& shared)
      : runtime(shared),
        membership({}, shared.self, shared.settings.peer_listen,
                   shared.settings.location,
                   base::Hash64(shared.self.name, shared.self.incarnation)),
        list_timer(shared.control),
        tick_timer(shared.control),
        view(std::make_shared<policy::FleetView>(
            this->membership.View(shared.clock.now()))) {}

  Runtime& runtime;
  policy::Membership membership;
  asio::steady_timer list_timer;
  asio::steady_timer tick_timer;
  RcuCell<policy::FleetView> view;
  bool stopped = false;
  /// Set once the first poll of the platform's list has succeeded or failed.
  /// Until then, this VM may not know its own address.
  bool first_poll_done = false;

  /// Runs `command` on the control strand unless the service has stopped.
  template <typename Command>
  void Post(Command command) {
    asio::post(this->runtime.control, [self = this->shared_from_this(),
                                       command = std::move(command)]() mutable {
      if (!self->stopped) command(*self);
    });
  }

  void RegisterHandlers() {
    const std::weak_ptr<State> weak = this->weak_from_this();
    this->runtime.peers.on_call(
        peer::kMembershipPing,
        [weak](const base::VmId& from, const Json::Value& params,
               peer::ReplyHandler reply) {
          if (const auto self = weak.lock()) {
            self->HandlePing(from, params, std::move(reply));
          }
        });
    this->runtime.peers.on_call(
        peer::kMembershipSync,
        [weak](const base::VmId&, const Json::Value& params,
               peer::ReplyHandler reply) {
          if (const auto self = weak.lock()) {
            self->HandleSync(params, std::move(reply));
          }
        });
  }

  void HandlePing(const base::VmId& from, const Json::Value& params,
                  peer::ReplyHandler reply) {
    auto message = peer::MembershipMessageFromJson(params);
    if (!message.ok()) return reply(message.error());
    this->Post([from, message = std::move(*message),
                reply = std::move(reply)](State& self) {
      if (!self.first_poll_done) {
        return reply(base::Error(base::Errc::kUnavailable, "starting"));
      }
      const auto now = self.runtime.clock.now();
      reply(peer::ToJson(self.membership.HandlePing(now, from, message)));
    });
  }

  void HandleSync(const Json::Value& params, peer::ReplyHandler reply) {
    auto request = peer::SyncRequestFromJson(params);
    if (!request.ok()) return reply(request.error());
    this->Post(
        [request = std::move(*request), reply = std::move(reply)](State& self) {
          reply(peer::ToJson(self.membership.HandleSync(request)));
        });
  }

  void PollList() {
    const auto deadline = this->runtime.clock.now() + kListTimeout;
    this->runtime.platform.vms(
        deadline, [self = this->shared_from_this()](ListReply list) {
          self->Post([list = std::move(list)](State& state) {
            state.HandleListReply(list);
          });
        });
  }

  void HandleListReply(const ListReply& list) {
    const auto now = this->runtime.clock.now();
    if (list.ok()) {
      this->membership.HandleList(now, *list);
    } else {
      this->membership.HandleListFailure(now);
    }
    if (!std::exchange(this->first_poll_done, true)) this->Tick();
    this->Publish();
    this->list_timer.expires_after(kListPollPeriod);
    this->list_timer.async_wait([self = this->shared_from_this()](auto error) {
      if (!error && !self->stopped) self->PollList();
    });
  }

  void Tick() {
    const auto now = this->runtime.clock.now();
    const auto actions = this->membership.Tick(now);
    this->Perform(actions);
    this->Publish();
    this->tick_timer.expires_after(actions.next_tick - now);
    this->tick_timer.async_wait([self = this->shared_from_this()](auto error) {
      if (!error && !self->stopped) self->Tick();
    });
  }

  void Perform(const policy::MembershipActions& actions) {
    for (const auto& ping : actions.pings) this->Ping(ping);
    for (const auto& sync : actions.syncs) this->Sync(sync);
  }

  void Ping(const policy::PingAction& ping) {
    this->runtime.peers.call(
        ping.address, peer::kMembershipPing, peer::ToJson(ping.message),
        ping.deadline,
        [self = this->shared_from_this(),
         target = ping.target](base::Outcome<Json::Value> reply) {
          self->Post([target, reply = std::move(reply)](State& state) {
            state.HandlePingReply(target, reply);
          });
        });
  }

  void HandlePingReply(const std::string& target,
                       const base::Outcome<Json::Value>& reply) {
    const auto now = this->runtime.clock.now();
    if (!reply.ok()) return this->membership.HandlePingFailure(now, target);
    const auto message = peer::MembershipMessageFromJson(*reply);
    if (!message.ok()) return this->membership.HandlePingFailure(now, target);
    this->membership.HandleAck(now, target, *message);
  }

  void Sync(const policy::SyncAction& sync) {
    this->runtime.peers.call(
        sync.address, peer::kMembershipSync, peer::ToJson(sync.request),
        this->runtime.clock.now() + kSyncTimeout,
        [self = this->shared_from_this()](base::Outcome<Json::Value> reply) {
          if (!reply.ok()) return;
          auto message = peer::MembershipMessageFromJson(*reply);
          if (!message.ok()) return;
          self->Post([message = std::move(*message)](State& state) {
            state.membership.HandleSyncReply(state.runtime.clock.now(),
                                             message);
          });
        });
  }

  void Publish() {
    this->view.Set(std::make_shared<policy::FleetView>(
        this->membership.View(this->runtime.clock.now())));
  }
};

MembershipService::MembershipService(Runtime& runtime)
    : state(std::make_shared<State>(runtime)) {
  this->state->RegisterHandlers();
}

MembershipService::~MembershipService() { this->Stop(); }

void MembershipService::Start() {
  this->state->Post([](State& self) { self.PollList(); });
}

void MembershipService::Stop() {
  this->state->Post([](State& self) {
    self.stopped = true;
    self.list_timer.cancel();
    self.tick_timer.cancel();
  });
}

void MembershipService::AnnounceShutdown() {
  this->state->Post([](State& self) {
    self.Perform(self.membership.AnnounceShutdown(self.runtime.clock.now()));
    self.Publish();
  });
}

void MembershipService::MarkEndpointDraining(const base::EndpointId& id) {
  this->state->Post([id](State& self) {
    self.membership.MarkEndpointDraining(self.runtime.clock.now(), id);
    self.Publish();
  });
}

std::shared_ptr<const policy::FleetView> MembershipService::View() const {
  return this->state->view.Get();
}

}  // namespace gypsumtrack::gateway
