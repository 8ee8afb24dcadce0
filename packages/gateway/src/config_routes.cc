#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/gateway/await.h"
#include "gypsumtrack/policy/rule_merge.h"

namespace gypsumtrack::gateway {
namespace {

using Reply = boost::asio::awaitable<AdminReply>;

constexpr base::Duration kAppendTimeout = std::chrono::seconds(10);
constexpr std::size_t kKeyBytes = 24;
constexpr std::size_t kOperationBytes = 12;
/// Marks a string as a key, so that scanners find one in the wrong place.
constexpr std::string_view kKeyPrefix = "gt_";
constexpr std::size_t kHistoryLimit = 50;

Json::Value Number(std::uint64_t number) {
  return Json::Value(static_cast<Json::UInt64>(number));
}

std::string FormatTime(base::WallTime at) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
  return fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}Z",
      fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
}

std::string TextOf(const Json::Value& body, const char* name) {
  if (!body.isObject() || !body[name].isString()) return {};
  return body[name].asString();
}

base::Error Missing(const char* what) {
  return {base::Errc::kInvalid, fmt::format("expected {}", what)};
}

Json::Value ShowOrigin(const policy::ChangeOrigin& origin) {
  Json::Value value(Json::objectValue);
  value["revision"] = Number(origin.revision);
  value["author"] = origin.author;
  value["at"] = FormatTime(origin.changed_at);
  return value;
}

Json::Value ShowDomains(const policy::StatusResponse& answer,
                        base::Revision revision) {
  Json::Value domains(Json::arrayValue);
  for (const auto& part : answer.domains) {
    Json::Value value(Json::objectValue);
    std::uint32_t in_force = 0;
    auto& revisions = value["revisions"] = Json::Value(Json::objectValue);
    for (const auto& [at, vms] : part.counts) {
      if (at >= revision) in_force += vms;
      revisions[std::to_string(at)] = vms;
    }
    value["domain"] = part.domain.text;
    value["reachable"] = part.reachable;
    value["vms"] = part.vms;
    value["in_force"] = in_force;
    domains.append(std::move(value));
  }
  return domains;
}

Json::Value ShowChange(const policy::Change& change) {
  auto value = ShowOrigin({change.revision, change.author, change.changed_at});
  value["base"] = Number(change.base);
  if (const auto* delta = std::get_if<policy::RulesDelta>(&change.body)) {
    value["kind"] = "rules";
    value["diff"] = policy::FormatEdits(delta->edits);
  } else if (const auto* grant = std::get_if<policy::KeyGrant>(&change.body)) {
    value["kind"] = "key-grant";
    value["organisation"] = grant->organisation.text;
    value["label"] = grant->label;
  } else {
    value["kind"] = "key-withdrawal";
  }
  return value;
}

/// Runs `query` on the replica and waits for what it returns.
boost::asio::awaitable<Json::Value> QueryLog(
    ConfigService& config,
    std::function<Json::Value(const policy::ConfigLog&)> query) {
  return AwaitHandler<Json::Value>(
      [&config, query = std::move(query)](auto done) {
        config.ReadLog(
            [query, done](const policy::ConfigLog& log) { done(query(log)); });
      });
}

boost::asio::awaitable<policy::StatusResponse> QueryFleetStatus(
    ConfigService& config) {
  return AwaitHandler<policy::StatusResponse>(
      [&config](auto done) { config.QueryFleetStatus(done); });
}

using AppendOutcome = base::Outcome<policy::AppendResult>;

boost::asio::awaitable<AppendOutcome> Submit(ConfigService& config,
                                             policy::Proposal proposal) {
  return AwaitHandler<AppendOutcome>(
      [&config, proposal = std::move(proposal)](auto done) mutable {
        config.Submit(std::move(proposal), std::move(done));
      });
}

boost::asio::awaitable<policy::WithdrawResponse> Withdraw(
    ConfigService& config, policy::Proposal proposal) {
  return AwaitHandler<policy::WithdrawResponse>(
      [&config, proposal = std::move(proposal)](auto done) mutable {
        config.Withdraw(std::move(proposal), std::move(done));
      });
}

policy::Proposal MakeProposal(const Runtime& runtime, const Json::Value& body) {
  policy::Proposal proposal;
  proposal.operation_id = TextOf(body, "operation_id");
  if (proposal.operation_id.empty()) {
    proposal.operation_id = base::RandomHex(kOperationBytes);
  }
  proposal.author = TextOf(body, "author");
  proposal.proposed_at = runtime.clock.wall();
  proposal.deadline = runtime.clock.now() + kAppendTimeout;
  return proposal;
}

Reply ApplyRules(const Runtime& runtime, ConfigService& config,
                 AdminRequest request) {
  const auto& body = request.body;
  if (!body.isObject() || !body["rules"].isString()) {
    co_return MakeAdminError(Missing("\"rules\": the text of the file"));
  }
  auto proposal = MakeProposal(runtime, body);
  if (proposal.author.empty()) {
    co_return MakeAdminError(Missing("\"author\": who applies the file"));
  }
  if (body.isMember("base")) {
    if (!body["base"].isUInt64()) {
      co_return MakeAdminError(Missing("\"base\": a revision"));
    }
    proposal.base = body["base"].asUInt64();
  }
  auto rules = policy::ParseRules(body["rules"].asString());
  if (!rules.ok()) co_return MakeAdminError(rules.error());
  const bool dry_run = body["dry_run"].isBool() && body["dry_run"].asBool();
  proposal.body = policy::RulesFile{std::move(*rules), dry_run};
  const auto result = co_await Submit(config, std::move(proposal));
  if (!result.ok()) co_return MakeAdminError(result.error());
  AdminReply reply;
  reply.body["revision"] = Number(result->revision);
  reply.body["changed"] = Number(result->edits.size());
  reply.body["diff"] = policy::FormatEdits(result->edits);
  reply.body["dry_run"] = dry_run;
  if (!dry_run) {
    const auto status = co_await QueryFleetStatus(config);
    reply.body["domains"] = ShowDomains(status, result->revision);
  }
  co_return reply;
}

Reply ShowRules(ConfigService& config, AdminRequest /*request*/) {
  AdminReply reply;
  reply.body = co_await QueryLog(config, [](const policy::ConfigLog& log) {
    Json::Value value(Json::objectValue);
    value["revision"] = Number(log.head());
    value["rules"] = policy::FormatRules(policy::RulesOf(log.state()));
    return value;
  });
  co_return reply;
}

std::size_t LimitOf(const AdminRequest& request) {
  const auto found = request.query.find("limit");
  std::size_t limit = kHistoryLimit;
  if (found == request.query.end()) return limit;
  const auto& text = found->second;
  std::from_chars(text.data(), text.data() + text.size(), limit);
  return limit;
}

Reply ShowHistory(ConfigService& config, AdminRequest request) {
  const auto limit = LimitOf(request);
  AdminReply reply;
  reply.body = co_await QueryLog(config, [limit](const policy::ConfigLog& log) {
    Json::Value value(Json::objectValue);
    value["revision"] = Number(log.head());
    auto& changes = value["changes"] = Json::Value(Json::arrayValue);
    const auto& kept = log.changes();
    for (auto change = kept.rbegin();
         change != kept.rend() && changes.size() < limit; ++change) {
      changes.append(ShowChange(*change));
    }
    return value;
  });
  co_return reply;
}

Reply ShowBlame(ConfigService& config, AdminRequest /*request*/) {
  AdminReply reply;
  reply.body = co_await QueryLog(config, [](const policy::ConfigLog& log) {
    Json::Value value(Json::objectValue);
    value["revision"] = Number(log.head());
    auto& rules = value["rules"] = Json::Value(Json::arrayValue);
    for (const auto& [id, entry] : log.state().rules) {
      auto item = ShowOrigin(entry.origin);
      item["rule"] = policy::FormatRule(entry.rule);
      rules.append(std::move(item));
    }
    return value;
  });
  co_return reply;
}

Reply GrantKey(const Runtime& runtime, ConfigService& config,
               AdminRequest request) {
  const auto organisation = TextOf(request.body, "organisation");
  const auto label = TextOf(request.body, "label");
  auto proposal = MakeProposal(runtime, request.body);
  if (organisation.empty()) {
    co_return MakeAdminError(Missing("\"organisation\": whose key it is"));
  }
  if (label.empty()) {
    co_return MakeAdminError(Missing("\"label\": the key's name"));
  }
  if (proposal.author.empty()) {
    co_return MakeAdminError(Missing("\"author\": who grants the key"));
  }
  // Shown to the operator once; only its keyed hash is kept.
  const auto key = std::string(kKeyPrefix) + base::RandomHex(kKeyBytes);
  proposal.body =
      policy::KeyGrant{base::HmacSha256Hex(runtime.settings.fleet_secret, key),
                       base::Organisation(organisation), label};
  const auto result = co_await Submit(config, std::move(proposal));
  if (!result.ok()) co_return MakeAdminError(result.error());
  AdminReply reply;
  reply.body["key"] = key;
  reply.body["label"] = label;
  reply.body["organisation"] = organisation;
  reply.body["revision"] = Number(result->revision);
  co_return reply;
}

Reply ListKeys(ConfigService& config, AdminRequest /*request*/) {
  AdminReply reply;
  reply.body = co_await QueryLog(config, [](const policy::ConfigLog& log) {
    Json::Value value(Json::objectValue);
    value["revision"] = Number(log.head());
    auto& keys = value["keys"] = Json::Value(Json::arrayValue);
    for (const auto& [hash, entry] : log.state().keys) {
      auto item = ShowOrigin(entry.origin);
      item["label"] = entry.grant.label;
      item["organisation"] = entry.grant.organisation.text;
      keys.append(std::move(item));
    }
    return value;
  });
  co_return reply;
}

/// The hash of the key with that label; null if there is none.
boost::asio::awaitable<Json::Value> QueryLabel(ConfigService& config,
                                               const std::string& label) {
  return QueryLog(config, [label](const policy::ConfigLog& log) {
    for (const auto& [hash, entry] : log.state().keys) {
      if (entry.grant.label == label) return Json::Value(hash);
    }
    return Json::Value();
  });
}

/// The hash of the key that the operator names by label or by the key itself;
/// empty if no key has that label.
boost::asio::awaitable<std::string> FindHash(const Runtime& runtime,
                                             ConfigService& config,
                                             const Json::Value& body) {
  const auto key = TextOf(body, "key");
  if (!key.empty()) {
    co_return base::HmacSha256Hex(runtime.settings.fleet_secret, key);
  }
  const auto label = TextOf(body, "label");
  const auto found = co_await QueryLabel(config, label);
  co_return found.isNull() ? std::string() : found.asString();
}

AdminReply ShowWithdrawal(const policy::WithdrawResponse& answer) {
  AdminReply reply;
  reply.body["durable"] = answer.durable;
  auto& domains = reply.body["domains"] = Json::Value(Json::arrayValue);
  bool everywhere = true;
  for (const auto& part : answer.domains) {
    Json::Value value(Json::objectValue);
    value["domain"] = part.domain.text;
    value["reachable"] = part.reachable;
    value["vms"] = part.vms;
    value["in_force"] = part.in_force;
    everywhere = everywhere && part.reachable && part.in_force >= part.vms;
    domains.append(std::move(value));
  }
  reply.body["in_force_everywhere"] = everywhere;
  return reply;
}

// Outside the coroutine: GCC 12 may free temporaries of one twice.
void MakeWithdrawal(policy::Proposal& proposal, const std::string& hash) {
  policy::KeyWithdrawal withdrawal;
  withdrawal.hashes.push_back(hash);
  proposal.body = std::move(withdrawal);
  // The table may be away for long: the withdrawal waits for it.
  proposal.deadline = base::kNever;
}

AdminReply UnknownLabel() {
  return MakeAdminError(
      {base::Errc::kNotFound,
       "no key has this label here; withdraw it by the key itself"});
}

Reply WithdrawKey(const Runtime& runtime, ConfigService& config,
                  AdminRequest request) {
  auto proposal = MakeProposal(runtime, request.body);
  if (proposal.author.empty()) {
    co_return MakeAdminError(Missing("\"author\": who withdraws the key"));
  }
  if (TextOf(request.body, "key").empty() &&
      TextOf(request.body, "label").empty()) {
    co_return MakeAdminError(Missing("\"label\" or \"key\""));
  }
  const auto hash = co_await FindHash(runtime, config, request.body);
  if (hash.empty()) {
    co_return UnknownLabel();
  }
  MakeWithdrawal(proposal, hash);
  const auto answer = co_await Withdraw(config, std::move(proposal));
  co_return ShowWithdrawal(answer);
}

Reply ShowStatus(const Runtime& runtime, ConfigService& config,
                 AdminRequest request) {
  const auto status = co_await QueryFleetStatus(config);
  const auto here = config.InForce();
  auto revision = here.revision;
  const auto asked = request.query.find("revision");
  if (asked != request.query.end()) {
    const auto& text = asked->second;
    std::from_chars(text.data(), text.data() + text.size(), revision);
  }
  AdminReply reply;
  reply.body["vm"] = runtime.self.name;
  reply.body["domain"] = runtime.settings.place.domain.text;
  reply.body["version"] = GYPSUMTRACK_VERSION;
  reply.body["ready"] = here.ready;
  reply.body["revision"] = Number(here.revision);
  reply.body["table_reachable"] = here.table_reachable;
  reply.body["isolated"] = here.isolated;
  reply.body["pending_withdrawals"] = Number(here.pending_withdrawals);
  reply.body["domains"] = ShowDomains(status, revision);
  co_return reply;
}

}  // namespace

void AddConfigRoutes(Router& router, const Runtime& runtime,
                     ConfigService& config) {
  using Handler = Reply (*)(ConfigService&, AdminRequest);
  using RuntimeHandler =
      Reply (*)(const Runtime&, ConfigService&, AdminRequest);
  const auto add = [&](const char* method, const char* path, Handler handler) {
    AddAdminRoute(router, runtime, method, path,
                  [&config, handler](AdminRequest request) {
                    return handler(config, std::move(request));
                  });
  };
  const auto add_with_runtime = [&](const char* method, const char* path,
                                    RuntimeHandler handler) {
    AddAdminRoute(router, runtime, method, path,
                  [&runtime, &config, handler](AdminRequest request) {
                    return handler(runtime, config, std::move(request));
                  });
  };
  add_with_runtime("POST", "/admin/rules", ApplyRules);
  add("GET", "/admin/rules", ShowRules);
  add("GET", "/admin/rules/history", ShowHistory);
  add("GET", "/admin/rules/blame", ShowBlame);
  add_with_runtime("POST", "/admin/keys", GrantKey);
  add("GET", "/admin/keys", ListKeys);
  add_with_runtime("POST", "/admin/keys/withdraw", WithdrawKey);
  add_with_runtime("GET", "/admin/status", ShowStatus);
}

}  // namespace gypsumtrack::gateway
