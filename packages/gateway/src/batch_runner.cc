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
constexpr auto kTick = std::chrono::milliseconds(10);
/// A count that a peer told is good for this long, and told again sooner.
constexpr base::Duration kLoadLapse = std::chrono::seconds(3);
constexpr base::Duration kLoadRepeat = std::chrono::seconds(1);
constexpr const char* kLoadNotice = "batch.load";
constexpr base::Duration kStoreDeadline = std::chrono::seconds(5);
constexpr base::Duration kPeerDeadline = std::chrono::seconds(1);
constexpr std::size_t kPeersAsked = 3;
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
  void Drain(std::function<void()> when_done);
  void Accept(const policy::BatchJob& job) {
    this->node.OnAccepted(this->Now(), job);
    this->Perform();
  }
  void Cancel(const policy::BatchJob& job,
              std::function<void(base::Status)> when_done) {
    this->node.Cancel(
        this->Now(), job,
        [when_done = std::move(when_done)](
            base::Instant, const base::Status& status) { when_done(status); });
    this->Perform();
  }

 private:
  base::Instant Now() const { return this->runtime->clock.now(); }
  /// Online requests that a VM has at an endpoint, as it was told.
  struct ToldLoad {
    std::uint32_t online = 0;
    base::Instant at{};
  };
  using EndpointLoads = std::map<base::EndpointId, ToldLoad>;

  void UpdateSlots();
  void TellOwners(const policy::FleetView& view,
                  const std::vector<policy::LoadSample>& samples);
  void OnLoad(const base::VmId& from, const std::string& endpoint,
              std::uint32_t online);
  std::uint32_t PeerOnline(const base::EndpointId& endpoint);
  void Perform();
  void Do(policy::CommitCall call);
  void Do(policy::ScanCall call);
  void Do(policy::PutCall call);
  void Do(policy::GetCall call);
  void Do(policy::RemoveCall call);
  void Do(policy::StartItem item);
  void Do(policy::StopItem item);
  void Do(const policy::QueryPeers& ask);
  void Do(const policy::NotifyPeers& tell);
  void Ended(policy::RunId run, policy::RunResult result);
  std::vector<std::string> LivePeers() const;

  /// A handler for the platform that brings the reply to the control strand.
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
                          self->Perform();
                        });
    };
  }

  const Runtime* runtime;
  BatchHooks hooks;
  policy::BatchNode node;
  policy::BatchSlots slots;
  boost::asio::steady_timer timer;
  std::map<policy::RunId, std::shared_ptr<StopSignal>> running;
  EndpointLoads told;
  std::map<base::EndpointId, std::map<base::VmId, ToldLoad>> heard;
  bool performing = false;
  bool draining = false;
  std::function<void()> done;
};

void BatchRunner::State::Tick() {
  if (!this->draining) this->UpdateSlots();
  this->node.Tick(this->Now(), this->runtime->clock.wall());
  this->Perform();
  if (this->draining && this->node.Drained()) {
    kLog.Info("Handed back all chunks.");
    if (this->done) std::exchange(this->done, nullptr)();
    return;
  }
  this->timer.expires_after(kTick);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) self->Tick();
      });
}

void BatchRunner::State::Drain(std::function<void()> when_done) {
  this->draining = true;
  this->done = std::move(when_done);
  this->node.Drain(this->Now());
  this->Perform();
}

void BatchRunner::State::UpdateSlots() {
  const auto view = this->hooks.fleet();
  if (!view) return;
  this->slots.SetFleet(*view);
  const auto now = this->Now();
  if (this->hooks.observe) {
    auto samples = this->hooks.observe();
    this->TellOwners(*view, samples);
    for (auto& sample : samples) {
      if (!this->slots.Owns(sample.endpoint)) continue;
      sample.own_batch = this->node.Running(sample.endpoint);
      sample.peer_online = this->PeerOnline(sample.endpoint);
      sample.peers_known = true;
      this->slots.Observe(now, sample);
    }
  }
  this->node.SetCapacity(now, this->slots.Capacity(now));
}

/// Reports lag by more than a burst needs to fill an endpoint, so each VM tells
/// the owner of the batch slots when its online requests there change.
void BatchRunner::State::TellOwners(
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
    auto& last = this->told[endpoint.id];
    const bool repeat = count > 0 && now - last.at > kLoadRepeat;
    if (count == last.online && !repeat) continue;
    last = {count, now};
    const auto* owner = policy::BatchSlots::OwnerOf(view, endpoint);
    if (owner == nullptr) continue;
    Json::Value params;
    params["endpoint"] = endpoint.id.text;
    params["online"] = count;
    this->runtime->peers.notify(owner->address, kLoadNotice, params);
  }
}

void BatchRunner::State::OnLoad(const base::VmId& from,
                                const std::string& endpoint,
                                std::uint32_t online) {
  this->heard[base::EndpointId(endpoint)][from] = {online, this->Now()};
}

std::uint32_t BatchRunner::State::PeerOnline(const base::EndpointId& endpoint) {
  const auto found = this->heard.find(endpoint);
  if (found == this->heard.end()) return 0;
  const auto now = this->Now();
  std::erase_if(found->second, [now](const auto& entry) {
    return now - entry.second.at > kLoadLapse;
  });
  std::uint32_t sum = 0;
  for (const auto& [vm, load] : found->second) sum += load.online;
  return sum;
}

void BatchRunner::State::Perform() {
  if (this->performing) return;
  this->performing = true;
  for (auto actions = this->node.TakeActions(); !actions.empty();
       actions = this->node.TakeActions()) {
    for (auto& action : actions) {
      std::visit([this](auto& call) { this->Do(std::move(call)); }, action);
    }
  }
  this->performing = false;
}

void BatchRunner::State::Do(policy::CommitCall call) {
  this->runtime->platform.table.commit(
      std::move(call.commit), this->Now() + kStoreDeadline,
      this->OnControl(call.id, &policy::BatchNode::OnStatus));
}

void BatchRunner::State::Do(policy::ScanCall call) {
  this->runtime->platform.table.scan(
      std::move(call.scan), this->Now() + kStoreDeadline,
      this->OnControl(call.id, &policy::BatchNode::OnScan));
}

void BatchRunner::State::Do(policy::PutCall call) {
  this->runtime->platform.objects.put(
      std::move(call.name), std::move(call.bytes), this->Now() + kStoreDeadline,
      this->OnControl(call.id, &policy::BatchNode::OnStatus));
}

void BatchRunner::State::Do(policy::GetCall call) {
  this->runtime->platform.objects.get(
      std::move(call.name), this->Now() + kStoreDeadline,
      this->OnControl(call.id, &policy::BatchNode::OnObject));
}

void BatchRunner::State::Do(policy::RemoveCall call) {
  this->runtime->platform.objects.remove(
      std::move(call.name), this->Now() + kStoreDeadline,
      this->OnControl(call.id, &policy::BatchNode::OnStatus));
}

void BatchRunner::State::Do(policy::StartItem item) {
  const auto run = item.run;
  ItemCall call{std::move(item), std::make_shared<StopSignal>()};
  this->running[run] = call.stop;
  boost::asio::co_spawn(
      this->runtime->pool, this->hooks.run_item(std::move(call)),
      [self = this->shared_from_this(), run](const std::exception_ptr& error,
                                             policy::RunResult result) {
        if (error) {
          result = {policy::ItemOutcome::kEndpointFailed, "", "call failed"};
        }
        boost::asio::post(self->runtime->control,
                          [self, run, result = std::move(result)]() mutable {
                            self->Ended(run, std::move(result));
                          });
      });
}

void BatchRunner::State::Ended(policy::RunId run, policy::RunResult result) {
  this->running.erase(run);
  this->node.OnItemEnd(this->Now(), run, std::move(result));
  this->Perform();
}

void BatchRunner::State::Do(policy::StopItem item) {
  const auto found = this->running.find(item.run);
  if (found != this->running.end()) found->second->Stop();
}

std::vector<std::string> BatchRunner::State::LivePeers() const {
  std::vector<std::string> addresses;
  const auto view = this->hooks.fleet();
  if (!view) return addresses;
  for (const auto& peer : view->peers) {
    if (peer.state == policy::PeerState::kLost) continue;
    addresses.push_back(peer.address);
  }
  return addresses;
}

void BatchRunner::State::Do(const policy::NotifyPeers& tell) {
  if (!this->runtime->peers.notify) return;
  Json::Value params;
  params["job"] = tell.job_uid;
  for (const auto& address : this->LivePeers()) {
    this->runtime->peers.notify(address, kCancelledNotice, params);
  }
}

void BatchRunner::State::Do(const policy::QueryPeers& ask) {
  struct Poll {
    std::size_t open = 0;
    bool answered = false;
    std::vector<std::string> ended;
  };
  auto addresses = this->LivePeers();
  if (!this->runtime->peers.call) addresses.clear();
  if (addresses.size() > kPeersAsked) addresses.resize(kPeersAsked);
  const auto id = ask.id;
  const auto finish = [self = this->shared_from_this(), id](const Poll& poll) {
    self->node.OnPeerResponse(self->Now(), id, poll.answered, poll.ended);
    self->Perform();
  };
  auto poll = std::make_shared<Poll>();
  poll->open = addresses.size();
  if (addresses.empty()) {
    boost::asio::post(this->runtime->control,
                      [finish, poll] { finish(*poll); });
    return;
  }
  Json::Value params;
  for (const auto& key : ask.open_keys) params["jobs"].append(key);
  for (const auto& address : addresses) {
    this->runtime->peers.call(
        address, kFindEndedCall, params, this->Now() + kPeerDeadline,
        [self = this->shared_from_this(), poll,
         finish](base::Outcome<Json::Value> reply) {
          boost::asio::post(self->runtime->control,
                            [poll, finish, reply = std::move(reply)] {
                              if (reply.ok() && reply->isArray()) {
                                poll->answered = true;
                                for (const auto& uid : *reply) {
                                  poll->ended.push_back(uid.asString());
                                }
                              }
                              if (--poll->open == 0) finish(*poll);
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
                              self->Perform();
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
                          self->OnLoad(from, endpoint, online);
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
                  Json::Value answer(Json::arrayValue);
                  for (const auto& uid : *found) answer.append(uid);
                  reply(answer);
                });
            self->Perform();
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
