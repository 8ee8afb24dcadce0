#include "gypsumtrack/gateway/batch_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/log.h"

namespace gypsumtrack::gateway {
namespace {

constexpr base::Logger kLog{"batch"};
constexpr auto kTickInterval = std::chrono::milliseconds(10);
/// A report of online requests expires after this time. It is repeated more
/// often, so that one lost report doesn't make it expire.
constexpr base::Duration kLoadReportValidFor = std::chrono::seconds(3);
constexpr base::Duration kLoadReportInterval = std::chrono::seconds(1);
constexpr const char* kLoadNotice = "batch.load";
constexpr base::Duration kStoreTimeout = std::chrono::seconds(5);
constexpr base::Duration kPeerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxQueriedPeers = 3;
constexpr const char* kCancelledNotice = "batch.cancelled";
constexpr const char* kFindEndedCall = "batch.find_ended";

}  // namespace

class BatchRunner::State : public std::enable_shared_from_this<State> {
 public:
  State(const Runtime& daemon, BatchHooks daemon_hooks,
        policy::BatchOptions options)
      : runtime(&daemon),
        hooks(std::move(daemon_hooks)),
        node(daemon.self, options,
             base::Hash64(daemon.self.name, daemon.self.incarnation)),
        slots(policy::SlotOptions{}),
        timer(daemon.control) {}

  void RegisterPeerMethods();
  void Tick();
  void Drain(std::function<void()> drained_handler);
  void Accept(const policy::BatchJob& job) {
    this->node.OnAccepted(this->Now(), job);
    this->PerformActions();
  }
  void Cancel(const policy::BatchJob& job,
              std::function<void(base::Status)> when_done) {
    this->node.Cancel(
        this->Now(), job,
        [when_done = std::move(when_done)](
            base::Instant, const base::Status& status) { when_done(status); });
    this->PerformActions();
  }

 private:
  base::Instant Now() const { return this->runtime->clock.now(); }
  /// Number of online requests of one VM at an endpoint, and when it was sent
  /// or received.
  struct OnlineLoad {
    std::uint32_t online = 0;
    base::Instant at{};
  };

  void UpdateSlots();
  void ReportLoadToOwners(const policy::FleetView& view,
                          const std::vector<policy::LoadSample>& samples);
  void OnLoadReport(const base::VmId& from, const std::string& endpoint,
                    std::uint32_t online);
  std::uint32_t PeerOnlineCount(const base::EndpointId& endpoint);
  void PerformActions();
  void Perform(policy::CommitCall call);
  void Perform(policy::ScanCall call);
  void Perform(policy::PutCall call);
  void Perform(policy::GetCall call);
  void Perform(policy::RemoveCall call);
  void Perform(policy::StartItem item);
  void Perform(policy::StopItem item);
  void Perform(const policy::QueryPeers& query);
  void Perform(const policy::NotifyPeers& notification);
  void OnItemEnded(policy::RunId run, policy::RunResult result);
  std::vector<std::string> PeerAddresses() const;

  /// Returns a reply handler for the store that passes the reply to `event` on
  /// the control strand.
  template <typename Reply>
  auto OnControl(policy::CallId id,
                 void (policy::BatchNode::*event)(base::Instant, policy::CallId,
                                                  Reply)) {
    using Value = std::remove_cvref_t<Reply>;
    return [self = this->shared_from_this(), id, event](Value value) {
      boost::asio::post(self->runtime->control,
                        [self, id, event, value = std::move(value)]() mutable {
                          (self->node.*event)(self->Now(), id,
                                              std::move(value));
                          self->PerformActions();
                        });
    };
  }

  const Runtime* runtime;
  BatchHooks hooks;
  policy::BatchNode node;
  policy::BatchSlots slots;
  boost::asio::steady_timer timer;
  /// Stop signals of the running items.
  std::map<policy::RunId, std::shared_ptr<StopSignal>> stop_signals;
  /// Last report sent for each endpoint.
  std::map<base::EndpointId, OnlineLoad> sent_reports;
  /// Last report received from each peer, by endpoint.
  std::map<base::EndpointId, std::map<base::VmId, OnlineLoad>> peer_reports;
  /// Guards PerformActions against re-entry.
  bool performing = false;
  bool draining = false;
  std::function<void()> on_drained;
};

void BatchRunner::State::Tick() {
  if (!this->draining) this->UpdateSlots();
  this->node.Tick(this->Now(), this->runtime->clock.wall());
  this->PerformActions();
  if (this->draining && this->node.Drained()) {
    kLog.Info("Returned all held chunks to the other VMs.");
    if (this->on_drained) std::exchange(this->on_drained, nullptr)();
    return;
  }
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) self->Tick();
      });
}

void BatchRunner::State::Drain(std::function<void()> drained_handler) {
  this->draining = true;
  this->on_drained = std::move(drained_handler);
  this->node.Drain(this->Now());
  this->PerformActions();
}

/// Updates the batch capacity of the endpoints whose batch slots this VM owns.
void BatchRunner::State::UpdateSlots() {
  const auto view = this->hooks.fleet();
  if (!view) return;
  this->slots.SetFleet(*view);
  const auto now = this->Now();
  if (this->hooks.observe) {
    auto samples = this->hooks.observe();
    this->ReportLoadToOwners(*view, samples);
    for (auto& sample : samples) {
      if (!this->slots.Owns(sample.endpoint)) continue;
      sample.own_batch = this->node.Running(sample.endpoint);
      sample.peer_online = this->PeerOnlineCount(sample.endpoint);
      sample.peers_known = true;
      this->slots.Observe(now, sample);
    }
  }
  this->node.SetCapacity(now, this->slots.Capacity(now));
}

/// Sends the number of this VM's online requests at each endpoint to the owner
/// of the endpoint's batch slots, whenever it changes. The load reports of
/// endpoints lag too much for this: a burst can fill an endpoint in less time.
void BatchRunner::State::ReportLoadToOwners(
    const policy::FleetView& view,
    const std::vector<policy::LoadSample>& samples) {
  if (!this->runtime->peers.notify) return;
  std::map<base::EndpointId, std::uint32_t> online;
  for (const auto& sample : samples) {
    online[sample.endpoint] = sample.own_online;
  }
  const auto now = this->Now();
  for (const auto& endpoint : view.endpoints) {
    const auto count = online[endpoint.id];
    auto& last = this->sent_reports[endpoint.id];
    const bool repeat_due = count > 0 && now - last.at > kLoadReportInterval;
    if (count == last.online && !repeat_due) continue;
    last = {count, now};
    const auto* owner = policy::BatchSlots::OwnerOf(view, endpoint);
    if (owner == nullptr) continue;
    Json::Value params;
    params["endpoint"] = endpoint.id.text;
    params["online"] = count;
    this->runtime->peers.notify(owner->address, kLoadNotice, params);
  }
}

/// Records a peer's number of online requests at an endpoint.
void BatchRunner::State::OnLoadReport(const base::VmId& from,
                                      const std::string& endpoint,
                                      std::uint32_t online) {
  this->peer_reports[base::EndpointId(endpoint)][from] = {online, this->Now()};
}

/// Returns the number of online requests at the endpoint that peers reported,
/// without expired reports.
std::uint32_t BatchRunner::State::PeerOnlineCount(
    const base::EndpointId& endpoint) {
  const auto found = this->peer_reports.find(endpoint);
  if (found == this->peer_reports.end()) return 0;
  const auto now = this->Now();
  std::erase_if(found->second, [now](const auto& entry) {
    return now - entry.second.at > kLoadReportValidFor;
  });
  std::uint32_t sum = 0;
  for (const auto& [vm, load] : found->second) sum += load.online;
  return sum;
}

void BatchRunner::State::PerformActions() {
  if (this->performing) return;
  this->performing = true;
  for (auto actions = this->node.TakeActions(); !actions.empty();
       actions = this->node.TakeActions()) {
    for (auto& action : actions) {
      std::visit([this](auto& call) { this->Perform(std::move(call)); },
                 action);
    }
  }
  this->performing = false;
}

void BatchRunner::State::Perform(policy::CommitCall call) {
  this->runtime->platform.table.commit(
      std::move(call.commit), this->Now() + kStoreTimeout,
      this->OnControl(call.id, &policy::BatchNode::OnStatus));
}

void BatchRunner::State::Perform(policy::ScanCall call) {
  this->runtime->platform.table.scan(
      std::move(call.scan), this->Now() + kStoreTimeout,
      this->OnControl(call.id, &policy::BatchNode::OnScan));
}

void BatchRunner::State::Perform(policy::PutCall call) {
  this->runtime->platform.objects.put(
      std::move(call.name), std::move(call.bytes), this->Now() + kStoreTimeout,
      this->OnControl(call.id, &policy::BatchNode::OnStatus));
}

void BatchRunner::State::Perform(policy::GetCall call) {
  this->runtime->platform.objects.get(
      std::move(call.name), this->Now() + kStoreTimeout,
      this->OnControl(call.id, &policy::BatchNode::OnObject));
}

void BatchRunner::State::Perform(policy::RemoveCall call) {
  this->runtime->platform.objects.remove(
      std::move(call.name), this->Now() + kStoreTimeout,
      this->OnControl(call.id, &policy::BatchNode::OnStatus));
}

void BatchRunner::State::Perform(policy::StartItem item) {
  const auto run = item.run;
  ItemCall call{std::move(item), std::make_shared<StopSignal>()};
  this->stop_signals[run] = call.stop;
  boost::asio::co_spawn(
      this->runtime->pool, this->hooks.run_item(std::move(call)),
      [self = this->shared_from_this(), run](const std::exception_ptr& error,
                                             policy::RunResult result) {
        if (error) {
          result = {policy::ItemOutcome::kEndpointFailed, "", "call failed"};
        }
        boost::asio::post(self->runtime->control,
                          [self, run, result = std::move(result)]() mutable {
                            self->OnItemEnded(run, std::move(result));
                          });
      });
}

void BatchRunner::State::OnItemEnded(policy::RunId run,
                                     policy::RunResult result) {
  this->stop_signals.erase(run);
  this->node.OnItemEnd(this->Now(), run, std::move(result));
  this->PerformActions();
}

void BatchRunner::State::Perform(policy::StopItem item) {
  const auto found = this->stop_signals.find(item.run);
  if (found != this->stop_signals.end()) found->second->Stop();
}

/// Returns the addresses of all peers that don't count as lost.
std::vector<std::string> BatchRunner::State::PeerAddresses() const {
  std::vector<std::string> addresses;
  const auto view = this->hooks.fleet();
  if (!view) return addresses;
  for (const auto& peer : view->peers) {
    if (peer.state == policy::PeerState::kLost) continue;
    addresses.push_back(peer.address);
  }
  return addresses;
}

void BatchRunner::State::Perform(const policy::NotifyPeers& notification) {
  if (!this->runtime->peers.notify) return;
  Json::Value params;
  params["job"] = notification.job_uid;
  for (const auto& address : this->PeerAddresses()) {
    this->runtime->peers.notify(address, kCancelledNotice, params);
  }
}

/// Queries up to kMaxQueriedPeers peers and passes on their combined responses
/// once all have responded or timed out.
void BatchRunner::State::Perform(const policy::QueryPeers& query) {
  struct Poll {
    std::size_t pending = 0;
    bool any_response = false;
    std::vector<std::string> ended_keys;
  };
  auto addresses = this->PeerAddresses();
  if (!this->runtime->peers.call) addresses.clear();
  if (addresses.size() > kMaxQueriedPeers) addresses.resize(kMaxQueriedPeers);
  const auto id = query.id;
  const auto finish = [self = this->shared_from_this(), id](const Poll& poll) {
    self->node.OnPeerResponse(self->Now(), id, poll.any_response,
                              poll.ended_keys);
    self->PerformActions();
  };
  auto poll = std::make_shared<Poll>();
  poll->pending = addresses.size();
  if (addresses.empty()) {
    boost::asio::post(this->runtime->control,
                      [finish, poll] { finish(*poll); });
    return;
  }
  Json::Value params;
  for (const auto& key : query.open_keys) params["jobs"].append(key);
  for (const auto& address : addresses) {
    this->runtime->peers.call(
        address, kFindEndedCall, params, this->Now() + kPeerTimeout,
        [self = this->shared_from_this(), poll,
         finish](base::Outcome<Json::Value> reply) {
          boost::asio::post(self->runtime->control,
                            [poll, finish, reply = std::move(reply)] {
                              if (reply.ok() && reply->isArray()) {
                                poll->any_response = true;
                                for (const auto& uid : *reply) {
                                  poll->ended_keys.push_back(uid.asString());
                                }
                              }
                              if (--poll->pending == 0) finish(*poll);
                            });
        });
  }
}

void BatchRunner::State::RegisterPeerMethods() {
  const auto& peers = this->runtime->peers;
  const std::weak_ptr<State> weak = this->shared_from_this();
  if (peers.on_notice) {
    peers.on_notice(
        kCancelledNotice, [weak](const base::VmId&, const Json::Value& params) {
          const auto self = weak.lock();
          if (!self || !params["job"].isString()) return;
          boost::asio::post(self->runtime->control,
                            [self, uid = params["job"].asString()] {
                              self->node.OnCancelled(self->Now(), uid);
                              self->PerformActions();
                            });
        });
  }
  if (peers.on_notice) {
    peers.on_notice(kLoadNotice, [weak](const base::VmId& from,
                                        const Json::Value& params) {
      const auto self = weak.lock();
      if (!self || !params["endpoint"].isString()) return;
      if (!params["online"].isUInt()) return;
      boost::asio::post(self->runtime->control,
                        [self, from, endpoint = params["endpoint"].asString(),
                         online = params["online"].asUInt()] {
                          self->OnLoadReport(from, endpoint, online);
                        });
    });
  }
  if (peers.on_call) {
    peers.on_call(kFindEndedCall, [weak](const base::VmId&,
                                         const Json::Value& params,
                                         const peer::ReplyHandler& reply) {
      const auto self = weak.lock();
      if (!self || !params["jobs"].isArray()) {
        reply(base::Error(base::Errc::kInvalid, "jobs: expected an array"));
        return;
      }
      boost::asio::post(
          self->runtime->control, [self, jobs = params["jobs"], reply] {
            std::vector<std::string> uids;
            for (const auto& uid : jobs) uids.push_back(uid.asString());
            self->node.FindEnded(
                self->Now(), uids,
                [reply](base::Instant,
                        const base::Outcome<std::vector<std::string>>& found) {
                  if (!found.ok()) return reply(found.error());
                  Json::Value ended(Json::arrayValue);
                  for (const auto& uid : *found) ended.append(uid);
                  reply(ended);
                });
            self->PerformActions();
          });
    });
  }
}

BatchRunner::BatchRunner(const Runtime& runtime, BatchHooks hooks,
                         policy::BatchOptions options)
    : state(std::make_shared<State>(runtime, std::move(hooks), options)) {
  this->state->RegisterPeerMethods();
  this->control = runtime.control;
}

BatchRunner::~BatchRunner() = default;

void BatchRunner::Start() {
  boost::asio::post(this->control, [self = this->state] { self->Tick(); });
}

void BatchRunner::Stop(std::function<void()> done) {
  boost::asio::post(this->control,
                    [self = this->state, done = std::move(done)]() mutable {
                      self->Drain(std::move(done));
                    });
}

void BatchRunner::OnAccepted(policy::BatchJob job) {
  boost::asio::post(this->control, [self = this->state, job = std::move(job)] {
    self->Accept(job);
  });
}

void BatchRunner::Cancel(policy::BatchJob job,
                         std::function<void(base::Status)> done) {
  boost::asio::post(this->control, [self = this->state, job = std::move(job),
                                    done = std::move(done)]() mutable {
    self->Cancel(job, std::move(done));
  });
}

}  // namespace gypsumtrack::gateway
