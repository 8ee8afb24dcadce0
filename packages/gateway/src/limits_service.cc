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
constexpr const char* kMessagesMethod = "limits.messages";
constexpr const char* kDescribeMethod = "limits.describe";
/// Longest wait for the first tokens of a limit that is new to this VM.
constexpr base::Duration kFirstTokensTimeout = std::chrono::seconds(1);
/// A VM that still has no lease after this time serves with borrowed tokens.
constexpr base::Duration kReadyTimeout = std::chrono::seconds(5);
constexpr base::Duration kTableTimeout = std::chrono::seconds(2);
constexpr base::Duration kGatherTimeout = std::chrono::seconds(2);
constexpr base::Duration kLeaseReleaseTimeout = std::chrono::seconds(1);
/// Time between two updates of the rules, the fleet view and the snapshot of
/// the token slices.
constexpr base::Duration kRefreshPeriod = std::chrono::milliseconds(200);

/// This VM's token slice of a limit, shared by the threads that serve requests.
struct LocalSlice {
  std::shared_ptr<policy::TokenSlice> tokens;
  /// Requests admitted from the slice since the last refresh.
  std::shared_ptr<std::atomic<std::uint32_t>> admitted =
      std::make_shared<std::atomic<std::uint32_t>>(0);
};
using LocalSliceMap = std::map<policy::LimitKey, LocalSlice>;

AdmissionDecision ToAdmissionDecision(policy::LimitDecision decision) {
  switch (decision) {
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

std::map<policy::LimitKey, policy::Limit> LimitsFromRules(
    const policy::RuleSet& rules) {
  std::map<policy::LimitKey, policy::Limit> limits;
  for (const auto& rule : rules) {
    if (rule.id.kind != policy::RuleKind::kAllow) continue;
    limits[policy::LimitKeyOf(rule.id)] = policy::LimitOf(rule);
  }
  return limits;
}

/// Removes peers from which no message has been received: their incarnation is
/// unknown.
policy::FleetView RemoveUnconfirmedPeers(policy::FleetView view) {
  std::erase_if(view.peers,
                [](const auto& peer) { return peer.id.incarnation == 0; });
  return view;
}

}  // namespace

class LimitsService::State : public std::enable_shared_from_this<State> {
 public:
  State(const Runtime& shared, LimitsHooks service_hooks);

  void RegisterHandlers();
  void Start();
  void Stop(std::function<void()> done);
  asio::awaitable<Admission> Admit(const policy::Rule& rule,
                                   base::Instant deadline);
  asio::awaitable<AdminReply> DescribeFleetLimits(std::string organisation);
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
  /// Does the periodic work that is due and schedules the next tick.
  void Tick();
  void ScheduleTick(base::Instant at);
  /// Passes the current fleet view, the rules and the counts of admitted
  /// requests to the node.
  void Refresh();
  /// Publishes the node's slices to `slices_snapshot` if they have changed.
  void PublishSlices();
  /// Admits a request through the node; calls `done` once with the result.
  void AdmitOnControl(const policy::LimitKey& key, base::Instant deadline,
                      const AdmitDone& done);
  void OnMessages(const base::VmId& from, const Json::Value& params);
  void Perform(policy::LimitActions actions);
  void SendMessages(const std::vector<policy::OutgoingLimitMessage>& outgoing);
  void Commit(policy::LimitCommit commit);
  void Scan(policy::LimitScan scan);
  /// Reports this VM's state of the organisation's limits.
  Json::Value ReportLimits(const std::string& organisation) const;
  /// Sets `is_ready` once this VM has a lease or has waited long enough.
  void UpdateReady();

  const Runtime& runtime;
  LimitsHooks hooks;
  RcuCell<LocalSliceMap> slices_snapshot;

  // Accessed only on the control strand.
  policy::LimitNode node;
  asio::steady_timer timer;
  LocalSliceMap published_slices;
  base::Instant refreshed_at{};
  base::Instant next_tick_at{};
  std::shared_ptr<const policy::AccessSnapshot> applied_access;
  std::shared_ptr<const policy::FleetView> applied_fleet;
  std::uint64_t last_request_id = 0;
  /// Callbacks of the requests that wait for tokens, by request id.
  std::map<std::uint64_t, AdmitDone> pending_admissions;
  bool stopped = false;
  base::Instant ready_deadline = base::kNever;

  std::atomic<bool> is_ready = false;
};

LimitsService::State::State(const Runtime& shared, LimitsHooks service_hooks)
    : runtime(shared),
      hooks(std::move(service_hooks)),
      slices_snapshot(std::make_shared<const LocalSliceMap>()),
      node(policy::LimitSettings{}, {shared.self, shared.settings.peer_listen},
           shared.settings.location),
      timer(shared.control) {}

void LimitsService::State::RegisterHandlers() {
  const std::weak_ptr<State> weak_self = this->shared_from_this();
  this->runtime.peers.on_notice(
      kMessagesMethod,
      [weak_self](const base::VmId& from, const Json::Value& params) {
        const auto self = weak_self.lock();
        if (!self) return;
        self->OnControl(
            [from, params](State& state) { state.OnMessages(from, params); });
      });
  this->runtime.peers.on_call(
      kDescribeMethod, [weak_self](const base::VmId&, const Json::Value& params,
                                   const peer::ReplyHandler& reply) {
        const auto self = weak_self.lock();
        if (!self || !params.isObject() || !params["organisation"].isString()) {
          reply(base::Error(base::Errc::kInvalid, "not an organisation"));
          return;
        }
        self->OnControl([params, reply](const State& state) {
          reply(state.ReportLimits(params["organisation"].asString()));
        });
      });
}

void LimitsService::State::Start() {
  this->OnControl([](State& state) {
    state.ready_deadline = state.Now() + kReadyTimeout;
    state.Tick();
  });
}

void LimitsService::State::Stop(std::function<void()> done) {
  this->OnControl([done = std::move(done)](State& state) {
    state.stopped = true;
    state.Perform(state.node.ReleaseLease(state.Now()));
    state.timer.expires_after(kLeaseReleaseTimeout / 4);
    state.timer.async_wait([done, self = state.shared_from_this()](
                               const boost::system::error_code&) { done(); });
  });
}

void LimitsService::State::Tick() {
  if (this->stopped) return;
  const auto now = this->Now();
  if (now >= this->refreshed_at + kRefreshPeriod) this->Refresh();
  this->Perform(this->node.Tick(now));
  this->UpdateReady();
  this->ScheduleTick(this->node.NextWake(now));
}

void LimitsService::State::UpdateReady() {
  if (this->is_ready) return;
  const auto now = this->Now();
  if (this->node.LeaseValid(now) || now >= this->ready_deadline) {
    this->is_ready = true;
  }
}

void LimitsService::State::ScheduleTick(base::Instant at) {
  this->next_tick_at = at;
  this->timer.expires_after(std::max(at - this->Now(), base::Duration{}));
  this->timer.async_wait([weak_self = this->weak_from_this()](
                             const boost::system::error_code& error) {
    const auto self = weak_self.lock();
    if (self && !error) self->Tick();
  });
}

void LimitsService::State::Refresh() {
  const auto now = this->Now();
  this->refreshed_at = now;
  for (const auto& [key, slice] : this->published_slices) {
    this->node.CountAdmitted(key, slice.admitted->exchange(0));
  }
  if (auto fleet = this->hooks.fleet(); fleet && fleet != this->applied_fleet) {
    this->applied_fleet = std::move(fleet);
    this->Perform(this->node.OnFleetView(
        RemoveUnconfirmedPeers(*this->applied_fleet), now));
  }
  if (auto access = this->hooks.access();
      access && access != this->applied_access) {
    this->applied_access = std::move(access);
    this->Perform(this->node.OnRules(
        this->applied_access->revision(),
        LimitsFromRules(this->applied_access->rules()), now));
  }
  this->PublishSlices();
}

void LimitsService::State::PublishSlices() {
  LocalSliceMap next;
  bool changed = false;
  for (auto& [key, tokens] : this->node.Slices()) {
    const auto existing = this->published_slices.find(key);
    const bool unchanged = existing != this->published_slices.end() &&
                           existing->second.tokens == tokens;
    changed = changed || !unchanged;
    next[key] = unchanged ? existing->second : LocalSlice{tokens};
  }
  if (!changed && next.size() == this->published_slices.size()) return;
  this->published_slices = next;
  this->slices_snapshot.Set(
      std::make_shared<const LocalSliceMap>(std::move(next)));
}

asio::awaitable<Admission> LimitsService::State::Admit(const policy::Rule& rule,
                                                       base::Instant deadline) {
  const auto key = policy::LimitKeyOf(rule.id);
  const auto now = this->Now();
  const auto snapshot = this->slices_snapshot.Get();
  const auto slice = snapshot->find(key);
  if (slice != snapshot->end() && slice->second.tokens->TryTake(now)) {
    slice->second.admitted->fetch_add(1, std::memory_order_relaxed);
    co_return Admission{};
  }
  // An empty slice that has never received tokens doesn't mean that the
  // organisation is over its rate.
  const bool had_tokens = slice != snapshot->end() &&
                          slice->second.tokens->expires() != base::Instant{};
  const auto wait = had_tokens ? this->runtime.settings.borrow_wait
                               : std::max(this->runtime.settings.borrow_wait,
                                          kFirstTokensTimeout);
  const auto wait_deadline = std::min(deadline, now + wait);
  const std::function<void(const AdmitDone&)> start =
      [self = this->shared_from_this(), key,
       wait_deadline](const AdmitDone& done) {
        self->OnControl([key, wait_deadline, done](State& state) {
          state.AdmitOnControl(key, wait_deadline, done);
        });
      };
  co_return co_await AwaitHandler<Admission>(start);
}

void LimitsService::State::AdmitOnControl(const policy::LimitKey& key,
                                          base::Instant deadline,
                                          const AdmitDone& done) {
  const auto now = this->Now();
  // The rule may be newer than the last refresh.
  if (now >= this->refreshed_at && !this->stopped) this->Refresh();
  const auto id = ++this->last_request_id;
  policy::LimitActions actions;
  const auto decision = this->node.Admit(key, now, deadline, id, actions);
  if (decision == policy::LimitDecision::kWaiting) {
    this->pending_admissions.emplace(id, done);
  } else {
    done({ToAdmissionDecision(decision), this->node.RetryAt(key, now)});
  }
  this->Perform(std::move(actions));
}

void LimitsService::State::OnMessages(const base::VmId& from,
                                      const Json::Value& params) {
  if (!params.isObject() || !params["from"].isString()) return;
  const policy::LimitPeer peer{from, params["from"].asString()};
  for (const auto& json : params["messages"]) {
    const auto message = peer::DecodeLimitMessage(json);
    if (!message.ok()) {
      kLog.Warning("Dropped a malformed message from {}.", from.name);
      continue;
    }
    this->Perform(this->node.OnMessage(peer, *message, this->Now()));
  }
}

void LimitsService::State::Perform(policy::LimitActions actions) {
  this->SendMessages(actions.messages);
  for (auto& commit : actions.commits) this->Commit(std::move(commit));
  for (auto& scan : actions.scans) this->Scan(std::move(scan));
  for (const auto& result : actions.results) {
    const auto found = this->pending_admissions.find(result.request_id);
    if (found == this->pending_admissions.end()) continue;
    found->second({ToAdmissionDecision(result.decision), result.retry_at});
    this->pending_admissions.erase(found);
  }
  const auto now = this->Now();
  const auto wake = this->node.NextWake(now);
  if (!this->stopped && now < this->next_tick_at && wake < this->next_tick_at) {
    this->ScheduleTick(wake);
  }
}

void LimitsService::State::SendMessages(
    const std::vector<policy::OutgoingLimitMessage>& outgoing) {
  std::map<std::string, Json::Value> by_address;
  for (const auto& item : outgoing) {
    auto& messages = by_address[item.to.address];
    messages.append(peer::EncodeLimitMessage(item.message));
  }
  for (auto& [address, messages] : by_address) {
    Json::Value params;
    params["from"] = this->runtime.settings.peer_listen;
    params["messages"] = std::move(messages);
    this->runtime.peers.notify(address, kMessagesMethod, std::move(params));
  }
}

void LimitsService::State::Commit(policy::LimitCommit commit) {
  this->runtime.platform.table.commit(
      std::move(commit.commit), this->Now() + kTableTimeout,
      [self = this->shared_from_this(),
       id = commit.id](const base::Status& status) {
        self->OnControl([id, status](State& state) {
          state.Perform(state.node.OnCommitReply(id, status, state.Now()));
        });
      });
}

void LimitsService::State::Scan(policy::LimitScan scan) {
  this->runtime.platform.table.scan(
      std::move(scan.scan), this->Now() + kTableTimeout,
      [self = this->shared_from_this(),
       id = scan.id](const base::Outcome<base::ScanReply>& reply) {
        self->OnControl([id, reply](State& state) {
          state.Perform(state.node.OnScanReply(id, reply, state.Now()));
        });
      });
}

Json::Value LimitsService::State::ReportLimits(
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

asio::awaitable<AdminReply> LimitsService::State::DescribeFleetLimits(
    std::string organisation) {
  const std::function<void(const std::function<void(Json::Value)>&)> start =
      [self = this->shared_from_this(),
       organisation](const std::function<void(Json::Value)>& done) {
        self->OnControl([organisation, done](const State& state) {
          done(state.ReportLimits(organisation));
        });
      };
  AdminReply reply;
  auto& vms = reply.body["vms"];
  vms[this->runtime.self.name] = co_await AwaitHandler<Json::Value>(start);
  const auto fleet = this->hooks.fleet();
  Json::Value params;
  params["organisation"] = organisation;
  const auto replies =
      co_await GatherPeers(this->runtime, *fleet, kDescribeMethod,
                           std::move(params), this->Now() + kGatherTimeout);
  reply.body["silent_vms"] = Json::Value(Json::arrayValue);
  for (const auto& result : replies) {
    const auto& name = result.peer.id.name;
    if (result.reply.ok()) {
      vms[name] = *result.reply;
    } else {
      reply.body["silent_vms"].append(name);
    }
  }
  co_return reply;
}

LimitsService::LimitsService(const Runtime& runtime, LimitsHooks hooks)
    : state(std::make_shared<State>(runtime, std::move(hooks))) {
  this->state->RegisterHandlers();
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
                  return self->DescribeFleetLimits(request.tail);
                });
}

}  // namespace gypsumtrack::gateway
