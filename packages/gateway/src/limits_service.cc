#include "gypsumtrack/gateway/limits_service.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/base/log.h"
#include "gypsumtrack/gateway/await.h"
#include "gypsumtrack/gateway/peer_gather.h"
#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/peer/limits_codec.h"
#include "gypsumtrack/policy/limit_node.h"
#include "limits_report.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Logger kLog{"limits"};
constexpr const char* kMessages = "limits.messages";
constexpr const char* kDescribe = "limits.describe";
/// Longest wait for the first tokens of a limit that is new to this VM.
constexpr base::Duration kFirstWait = std::chrono::seconds(1);
/// A VM that has no lease by then serves with what it can borrow.
constexpr base::Duration kReadyWait = std::chrono::seconds(5);
constexpr base::Duration kTableWait = std::chrono::seconds(2);
constexpr base::Duration kGatherWait = std::chrono::seconds(2);
constexpr base::Duration kLeaveWait = std::chrono::seconds(1);
/// How often the snapshot of slices, the rules and the VMs are looked at.
constexpr base::Duration kSyncPeriod = std::chrono::milliseconds(200);

/// One limit's tokens on this VM, shared by the threads that serve requests.
struct LocalSlice {
  std::shared_ptr<policy::TokenSlice> tokens;
  std::shared_ptr<std::atomic<std::uint32_t>> admitted =
      std::make_shared<std::atomic<std::uint32_t>>(0);
};
using LocalSlices = std::map<policy::LimitKey, LocalSlice>;

AdmissionDecision VerdictOf(policy::LimitDecision verdict) {
  switch (verdict) {
    case policy::LimitDecision::kAdmitted:
      return AdmissionDecision::kAdmitted;
    case policy::LimitDecision::kIsolated:
      return AdmissionDecision::kIsolated;
    case policy::LimitDecision::kNotReady:
      return AdmissionDecision::kNotReady;
    default:
      return AdmissionDecision::kOverRate;
  }
}

std::map<policy::LimitKey, policy::Limit> LimitsOf(
    const policy::RuleSet& rules) {
  std::map<policy::LimitKey, policy::Limit> limits;
  for (const auto& rule : rules) {
    if (rule.id.kind != policy::RuleKind::kAllow) continue;
    limits[policy::LimitKeyOf(rule.id)] = policy::LimitOf(rule);
  }
  return limits;
}

/// A VM whose incarnation isn't known has never been heard.
policy::FleetView HeardOnly(policy::FleetView view) {
  std::erase_if(view.peers,
                [](const auto& peer) { return peer.id.incarnation == 0; });
  return view;
}

}  // namespace

class LimitsService::State : public std::enable_shared_from_this<State> {
 public:
  State(const Runtime& shared, LimitsHooks given);

  void Listen();
  void Start();
  void Stop(std::function<void()> done);
  asio::awaitable<Admission> Admit(const policy::Rule& rule,
                                   base::Instant deadline);
  asio::awaitable<AdminReply> Describe(std::string organisation);
  bool ready() const { return this->is_ready; }  // NOLINT
  const Runtime& shared_runtime() const {        // NOLINT
    return this->runtime;
  }

 private:
  using AdmitDone = std::function<void(Admission)>;

  /// Runs `step` on the control strand.
  template <typename Step>
  void OnControl(Step step) {
    asio::post(this->runtime.control,
               [self = this->shared_from_this(), step = std::move(step)] {
                 step(*self);
               });
  }
  base::Instant Now() const { return this->runtime.clock.now(); }
  void Tick();
  void WakeAt(base::Instant at);
  void Sync();
  void Publish();
  void AdmitSlowly(const policy::LimitKey& key, base::Instant deadline,
                   const AdmitDone& done);
  void OnMessages(const base::VmId& from, const Json::Value& params);
  void Carry(policy::LimitActions actions);
  void SendMessages(const std::vector<policy::OutgoingLimitMessage>& sends);
  void Commit(policy::LimitCommit commit);
  void Scan(policy::LimitScan scan);
  Json::Value OwnReport(const std::string& organisation) const;
  void NoteLease();

  const Runtime& runtime;
  LimitsHooks hooks;
  RcuCell<LocalSlices> slices;

  // Touched on the control strand only.
  policy::LimitNode node;
  asio::steady_timer timer;
  LocalSlices published;
  base::Instant synced_at{};
  base::Instant wakes_at{};
  std::shared_ptr<const policy::AccessSnapshot> seen_access;
  std::shared_ptr<const policy::FleetView> seen_fleet;
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, AdmitDone> waiting;
  bool stopped = false;
  base::Instant ready_by = base::kNever;

  std::atomic<bool> is_ready = false;
};

LimitsService::State::State(const Runtime& shared, LimitsHooks given)
    : runtime(shared),
      hooks(std::move(given)),
      slices(std::make_shared<const LocalSlices>()),
      node(policy::LimitSettings{}, {shared.self, shared.settings.peer_listen},
           shared.settings.place),
      timer(shared.control) {}

void LimitsService::State::Listen() {
  const std::weak_ptr<State> weak = this->shared_from_this();
  this->runtime.peers.on_notice(
      kMessages, [weak](const base::VmId& from, const Json::Value& params) {
        const auto self = weak.lock();
        if (!self) return;
        self->OnControl(
            [from, params](State& state) { state.OnMessages(from, params); });
      });
  this->runtime.peers.on_call(
      kDescribe, [weak](const base::VmId&, const Json::Value& params,
                        const peer::ReplyHandler& reply) {
        const auto self = weak.lock();
        if (!self || !params.isObject() || !params["organisation"].isString()) {
          reply(base::Error(base::Errc::kInvalid, "not an organisation"));
          return;
        }
        self->OnControl([params, reply](const State& state) {
          reply(state.OwnReport(params["organisation"].asString()));
        });
      });
}

void LimitsService::State::Start() {
  this->OnControl([](State& state) {
    state.ready_by = state.Now() + kReadyWait;
    state.Tick();
  });
}

void LimitsService::State::Stop(std::function<void()> done) {
  this->OnControl([done = std::move(done)](State& state) {
    state.stopped = true;
    state.Carry(state.node.ReleaseLease(state.Now()));
    state.timer.expires_after(kLeaveWait / 4);
    state.timer.async_wait([done, self = state.shared_from_this()](
                               const boost::system::error_code&) { done(); });
  });
}

void LimitsService::State::Tick() {
  if (this->stopped) return;
  const auto now = this->Now();
  if (now >= this->synced_at + kSyncPeriod) this->Sync();
  this->Carry(this->node.Tick(now));
  this->NoteLease();
  this->WakeAt(this->node.NextWake(now));
}

void LimitsService::State::NoteLease() {
  if (this->is_ready) return;
  const auto now = this->Now();
  if (this->node.LeaseValid(now) || now >= this->ready_by) {
    this->is_ready = true;
  }
}

void LimitsService::State::WakeAt(base::Instant at) {
  this->wakes_at = at;
  this->timer.expires_after(std::max(at - this->Now(), base::Duration{}));
  this->timer.async_wait([weak = this->weak_from_this()](
                             const boost::system::error_code& failure) {
    const auto self = weak.lock();
    if (self && !failure) self->Tick();
  });
}

/// Takes in what has changed around the limits.
void LimitsService::State::Sync() {
  const auto now = this->Now();
  this->synced_at = now;
  for (const auto& [key, slice] : this->published) {
    this->node.CountAdmitted(key, slice.admitted->exchange(0));
  }
  if (auto fleet = this->hooks.fleet(); fleet && fleet != this->seen_fleet) {
    this->seen_fleet = std::move(fleet);
    this->Carry(this->node.OnFleetView(HeardOnly(*this->seen_fleet), now));
  }
  if (auto access = this->hooks.access();
      access && access != this->seen_access) {
    this->seen_access = std::move(access);
    this->Carry(this->node.OnRules(this->seen_access->revision(),
                                   LimitsOf(this->seen_access->rules()), now));
  }
  this->Publish();
}

void LimitsService::State::Publish() {
  LocalSlices next;
  bool changed = false;
  for (auto& [key, tokens] : this->node.Slices()) {
    const auto known = this->published.find(key);
    const bool same =
        known != this->published.end() && known->second.tokens == tokens;
    changed = changed || !same;
    next[key] = same ? known->second : LocalSlice{tokens};
  }
  if (!changed && next.size() == this->published.size()) return;
  this->published = next;
  this->slices.Set(std::make_shared<const LocalSlices>(std::move(next)));
}

asio::awaitable<Admission> LimitsService::State::Admit(const policy::Rule& rule,
                                                       base::Instant deadline) {
  const auto key = policy::LimitKeyOf(rule.id);
  const auto now = this->Now();
  const auto snapshot = this->slices.Get();
  const auto slice = snapshot->find(key);
  if (slice != snapshot->end() && slice->second.tokens->TryTake(now)) {
    slice->second.admitted->fetch_add(1, std::memory_order_relaxed);
    co_return Admission{};
  }
  // Until the first tokens have come, "none yet" doesn't mean "over the rate".
  const bool lent_before = slice != snapshot->end() &&
                           slice->second.tokens->expires() != base::Instant{};
  const auto wait =
      lent_before ? this->runtime.settings.borrow_wait
                  : std::max(this->runtime.settings.borrow_wait, kFirstWait);
  const auto until = std::min(deadline, now + wait);
  const std::function<void(const AdmitDone&)> start =
      [self = this->shared_from_this(), key, until](const AdmitDone& done) {
        self->OnControl([key, until, done](State& state) {
          state.AdmitSlowly(key, until, done);
        });
      };
  co_return co_await AwaitHandler<Admission>(start);
}

void LimitsService::State::AdmitSlowly(const policy::LimitKey& key,
                                       base::Instant deadline,
                                       const AdmitDone& done) {
  const auto now = this->Now();
  // A rule that this part hasn't seen yet.
  if (now >= this->synced_at && !this->stopped) this->Sync();
  const auto id = ++this->last_request;
  policy::LimitActions actions;
  const auto verdict = this->node.Admit(key, now, deadline, id, actions);
  if (verdict == policy::LimitDecision::kWaiting) {
    this->waiting.emplace(id, done);
  } else {
    done({VerdictOf(verdict), this->node.RetryAt(key, now)});
  }
  this->Carry(std::move(actions));
}

void LimitsService::State::OnMessages(const base::VmId& from,
                                      const Json::Value& params) {
  if (!params.isObject() || !params["from"].isString()) return;
  const policy::LimitPeer peer{from, params["from"].asString()};
  for (const auto& json : params["messages"]) {
    const auto message = peer::DecodeLimitMessage(json);
    if (!message.ok()) {
      kLog.Warning("Dropped a malformed message of {}.", from.name);
      continue;
    }
    this->Carry(this->node.OnMessage(peer, *message, this->Now()));
  }
}

void LimitsService::State::Carry(policy::LimitActions actions) {
  this->SendMessages(actions.messages);
  for (auto& commit : actions.commits) this->Commit(std::move(commit));
  for (auto& scan : actions.scans) this->Scan(std::move(scan));
  for (const auto& answer : actions.results) {
    const auto found = this->waiting.find(answer.request_id);
    if (found == this->waiting.end()) continue;
    found->second({VerdictOf(answer.decision), answer.retry_at});
    this->waiting.erase(found);
  }
  const auto now = this->Now();
  const auto wake = this->node.NextWake(now);
  if (!this->stopped && now < this->wakes_at && wake < this->wakes_at) {
    this->WakeAt(wake);
  }
}

void LimitsService::State::SendMessages(
    const std::vector<policy::OutgoingLimitMessage>& sends) {
  std::map<std::string, Json::Value> by_address;
  for (const auto& send : sends) {
    auto& messages = by_address[send.to.address];
    messages.append(peer::EncodeLimitMessage(send.message));
  }
  for (auto& [address, messages] : by_address) {
    Json::Value params;
    params["from"] = this->runtime.settings.peer_listen;
    params["messages"] = std::move(messages);
    this->runtime.peers.notify(address, kMessages, std::move(params));
  }
}

void LimitsService::State::Commit(policy::LimitCommit commit) {
  this->runtime.platform.table.commit(
      std::move(commit.commit), this->Now() + kTableWait,
      [self = this->shared_from_this(),
       id = commit.id](const base::Status& status) {
        self->OnControl([id, status](State& state) {
          state.Carry(state.node.OnCommitReply(id, status, state.Now()));
        });
      });
}

void LimitsService::State::Scan(policy::LimitScan scan) {
  this->runtime.platform.table.scan(
      std::move(scan.scan), this->Now() + kTableWait,
      [self = this->shared_from_this(),
       id = scan.id](const base::Outcome<base::ScanReply>& reply) {
        self->OnControl([id, reply](State& state) {
          state.Carry(state.node.OnScanReply(id, reply, state.Now()));
        });
      });
}

Json::Value LimitsService::State::OwnReport(
    const std::string& organisation) const {
  Json::Value limits(Json::arrayValue);
  const auto prefix = organisation + ":";
  for (const auto& key : this->node.Keys()) {
    if (key.text.compare(0, prefix.size(), prefix) != 0) continue;
    const auto report = this->node.Report(key, this->Now());
    if (report) limits.append(EncodeLimitReport(*report));
  }
  return limits;
}

asio::awaitable<AdminReply> LimitsService::State::Describe(
    std::string organisation) {
  const std::function<void(const std::function<void(Json::Value)>&)> start =
      [self = this->shared_from_this(),
       organisation](const std::function<void(Json::Value)>& done) {
        self->OnControl([organisation, done](const State& state) {
          done(state.OwnReport(organisation));
        });
      };
  AdminReply reply;
  auto& vms = reply.body["vms"];
  vms[this->runtime.self.name] = co_await AwaitHandler<Json::Value>(start);
  const auto fleet = this->hooks.fleet();
  Json::Value params;
  params["organisation"] = organisation;
  const auto answers =
      co_await GatherPeers(this->runtime, *fleet, kDescribe, std::move(params),
                           this->Now() + kGatherWait);
  reply.body["silent_vms"] = Json::Value(Json::arrayValue);
  for (const auto& answer : answers) {
    const auto& name = answer.peer.id.name;
    if (answer.reply.ok()) {
      vms[name] = *answer.reply;
    } else {
      reply.body["silent_vms"].append(name);
    }
  }
  co_return reply;
}

LimitsService::LimitsService(const Runtime& runtime, LimitsHooks hooks)
    : state(std::make_shared<State>(runtime, std::move(hooks))) {
  this->state->Listen();
}

LimitsService::~LimitsService() = default;

void LimitsService::Start() { this->state->Start(); }

void LimitsService::Stop(std::function<void()> done) {
  this->state->Stop(std::move(done));
}

bool LimitsService::ready() const { return this->state->ready(); }

AdmitHook LimitsService::Admit() {
  return
      [self = this->state](const policy::Rule& rule, base::Instant deadline) {
        return self->Admit(rule, deadline);
      };
}

void LimitsService::Register(Router& router) {
  AddAdminRoute(router, this->state->shared_runtime(), "GET", "/admin/limits/",
                [self = this->state](const AdminRequest& request) {
                  return self->Describe(request.tail);
                });
}

}  // namespace gypsumtrack::gateway
