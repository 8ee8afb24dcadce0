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

/// What the handlers of routes return.
using AwaitableReply = boost::asio::awaitable<AdminReply>;

constexpr base::Duration kAppendTimeout = std::chrono::seconds(10);
constexpr std::size_t kKeyRandomBytes = 24;
constexpr std::size_t kOperationIdBytes = 12;
/// Prefix of all keys, by which secret scanners recognise leaked keys.
constexpr std::string_view kKeyPrefix = "gt_";
constexpr std::size_t kDefaultHistoryLimit = 50;

Json::Value ToJson(std::uint64_t number) {
  return Json::Value(static_cast<Json::UInt64>(number));
}

std::string FormatUtcTime(base::WallTime time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  return fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}Z",
      fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
}

std::string GetString(const Json::Value& body, const char* name) {
  if (!body.isObject() || !body[name].isString()) return {};
  return body[name].asString();
}

base::Error MakeFieldError(const char* field) {
  return {base::Errc::kInvalid, fmt::format("expected {}", field)};
}

Json::Value EncodeOrigin(const policy::ChangeOrigin& origin) {
  Json::Value value(Json::objectValue);
  value["revision"] = ToJson(origin.revision);
  value["author"] = origin.author;
  value["at"] = FormatUtcTime(origin.changed_at);
  return value;
}

Json::Value EncodeDomains(const policy::StatusResponse& response,
                          base::Revision revision) {
  Json::Value domains(Json::arrayValue);
  for (const auto& summary : response.domains) {
    Json::Value value(Json::objectValue);
    std::uint32_t in_force = 0;
    auto& revisions = value["revisions"] = Json::Value(Json::objectValue);
    for (const auto& [in_force_revision, vms] : summary.counts) {
      if (in_force_revision >= revision) in_force += vms;
      revisions[std::to_string(in_force_revision)] = vms;
    }
    value["domain"] = summary.domain.text;
    value["reachable"] = summary.reachable;
    value["vms"] = summary.vms;
    value["in_force"] = in_force;
    domains.append(std::move(value));
  }
  return domains;
}

Json::Value EncodeChange(const policy::Change& change) {
  auto value =
      EncodeOrigin({change.revision, change.author, change.changed_at});
  value["base"] = ToJson(change.base);
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

/// Runs `query` on the replica of the log and returns its result.
boost::asio::awaitable<Json::Value> QueryLog(
    ConfigService& config,
    std::function<Json::Value(const policy::ConfigLog&)> query) {
  return AwaitHandler<Json::Value>(
      [&config, query = std::move(query)](auto done) {
        config.ReadLog(
            [query, done](const policy::ConfigLog& log) { done(query(log)); });
      });
}

/// Replies with the log's revision and what `fill` adds from the log.
AwaitableReply ReplyFromLog(
    ConfigService& config,
    std::function<void(const policy::ConfigLog&, Json::Value&)> fill) {
  const auto query = [fill = std::move(fill)](const policy::ConfigLog& log) {
    Json::Value value(Json::objectValue);
    value["revision"] = ToJson(log.head());
    fill(log, value);
    return value;
  };
  AdminReply reply;
  reply.body = co_await QueryLog(config, query);
  co_return reply;
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
  proposal.operation_id = GetString(body, "operation_id");
  if (proposal.operation_id.empty()) {
    proposal.operation_id = base::RandomHex(kOperationIdBytes);
  }
  proposal.author = GetString(body, "author");
  proposal.proposed_at = runtime.clock.wall();
  proposal.deadline = runtime.clock.now() + kAppendTimeout;
  return proposal;
}

AwaitableReply ApplyRules(const Runtime& runtime, ConfigService& config,
                          AdminRequest request) {
  const auto& body = request.body;
  if (!body.isObject() || !body["rules"].isString()) {
    co_return MakeAdminError(MakeFieldError("\"rules\": the text of the file"));
  }
  auto proposal = MakeProposal(runtime, body);
  if (proposal.author.empty()) {
    co_return MakeAdminError(
        MakeFieldError("\"author\": who applies the file"));
  }
  if (body.isMember("base")) {
    if (!body["base"].isUInt64()) {
      co_return MakeAdminError(MakeFieldError("\"base\": a revision"));
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
  reply.body["revision"] = ToJson(result->revision);
  reply.body["changed"] = ToJson(result->edits.size());
  reply.body["diff"] = policy::FormatEdits(result->edits);
  reply.body["dry_run"] = dry_run;
  if (!dry_run) {
    const auto status = co_await QueryFleetStatus(config);
    reply.body["domains"] = EncodeDomains(status, result->revision);
  }
  co_return reply;
}

AwaitableReply GetRules(ConfigService& config, AdminRequest /*request*/) {
  co_return co_await ReplyFromLog(
      config, [](const policy::ConfigLog& log, Json::Value& value) {
        value["rules"] = policy::FormatRules(policy::RulesOf(log.state()));
      });
}

std::size_t ParseHistoryLimit(const AdminRequest& request) {
  const auto found = request.query.find("limit");
  std::size_t limit = kDefaultHistoryLimit;
  if (found == request.query.end()) return limit;
  const auto& text = found->second;
  std::from_chars(text.data(), text.data() + text.size(), limit);
  return limit;
}

AwaitableReply GetRuleHistory(ConfigService& config, AdminRequest request) {
  const auto limit = ParseHistoryLimit(request);
  co_return co_await ReplyFromLog(
      config, [limit](const policy::ConfigLog& log, Json::Value& value) {
        auto& changes = value["changes"] = Json::Value(Json::arrayValue);
        const auto& log_changes = log.changes();
        for (auto change = log_changes.rbegin();
             change != log_changes.rend() && changes.size() < limit; ++change) {
          changes.append(EncodeChange(*change));
        }
      });
}

AwaitableReply GetRuleBlame(ConfigService& config, AdminRequest /*request*/) {
  co_return co_await ReplyFromLog(
      config, [](const policy::ConfigLog& log, Json::Value& value) {
        auto& rules = value["rules"] = Json::Value(Json::arrayValue);
        for (const auto& [id, entry] : log.state().rules) {
          auto entry_json = EncodeOrigin(entry.origin);
          entry_json["rule"] = policy::FormatRule(entry.rule);
          rules.append(std::move(entry_json));
        }
      });
}

AwaitableReply GrantKey(const Runtime& runtime, ConfigService& config,
                        AdminRequest request) {
  const auto organisation = GetString(request.body, "organisation");
  const auto label = GetString(request.body, "label");
  auto proposal = MakeProposal(runtime, request.body);
  if (organisation.empty()) {
    co_return MakeAdminError(
        MakeFieldError("\"organisation\": whose key it is"));
  }
  if (label.empty()) {
    co_return MakeAdminError(MakeFieldError("\"label\": the key's name"));
  }
  if (proposal.author.empty()) {
    co_return MakeAdminError(MakeFieldError("\"author\": who grants the key"));
  }
  // The key is returned only here; the configuration stores its keyed hash.
  const auto key = std::string(kKeyPrefix) + base::RandomHex(kKeyRandomBytes);
  proposal.body =
      policy::KeyGrant{base::HmacSha256Hex(runtime.settings.fleet_secret, key),
                       base::Organisation(organisation), label};
  const auto result = co_await Submit(config, std::move(proposal));
  if (!result.ok()) co_return MakeAdminError(result.error());
  AdminReply reply;
  reply.body["key"] = key;
  reply.body["label"] = label;
  reply.body["organisation"] = organisation;
  reply.body["revision"] = ToJson(result->revision);
  co_return reply;
}

AwaitableReply ListKeys(ConfigService& config, AdminRequest /*request*/) {
  co_return co_await ReplyFromLog(
      config, [](const policy::ConfigLog& log, Json::Value& value) {
        auto& keys = value["keys"] = Json::Value(Json::arrayValue);
        for (const auto& [hash, entry] : log.state().keys) {
          auto entry_json = EncodeOrigin(entry.origin);
          entry_json["label"] = entry.grant.label;
          entry_json["organisation"] = entry.grant.organisation.text;
          keys.append(std::move(entry_json));
        }
      });
}

/// Returns the hash of the key with the label, or null if there is none.
boost::asio::awaitable<Json::Value> QueryHashByLabel(ConfigService& config,
                                                     const std::string& label) {
  return QueryLog(config, [label](const policy::ConfigLog& log) {
    for (const auto& [hash, entry] : log.state().keys) {
      if (entry.grant.label == label) return Json::Value(hash);
    }
    return Json::Value();
  });
}

/// Returns the hash of the key that the request identifies by the key itself or
/// by its label; empty if no key has the label.
boost::asio::awaitable<std::string> ResolveKeyHash(const Runtime& runtime,
                                                   ConfigService& config,
                                                   const Json::Value& body) {
  const auto key = GetString(body, "key");
  if (!key.empty()) {
    co_return base::HmacSha256Hex(runtime.settings.fleet_secret, key);
  }
  const auto label = GetString(body, "label");
  const auto found = co_await QueryHashByLabel(config, label);
  co_return found.isNull() ? std::string() : found.asString();
}

AdminReply MakeWithdrawalReply(const policy::WithdrawResponse& response) {
  AdminReply reply;
  reply.body["durable"] = response.durable;
  auto& domains = reply.body["domains"] = Json::Value(Json::arrayValue);
  bool in_force_everywhere = true;
  for (const auto& summary : response.domains) {
    Json::Value value(Json::objectValue);
    value["domain"] = summary.domain.text;
    value["reachable"] = summary.reachable;
    value["vms"] = summary.vms;
    value["in_force"] = summary.in_force;
    in_force_everywhere = in_force_everywhere && summary.reachable &&
                          summary.in_force >= summary.vms;
    domains.append(std::move(value));
  }
  reply.body["in_force_everywhere"] = in_force_everywhere;
  return reply;
}

// A separate function because GCC 12 may destroy temporaries of a coroutine
// twice.
void SetWithdrawal(policy::Proposal& proposal, const std::string& hash) {
  policy::KeyWithdrawal withdrawal;
  withdrawal.hashes.push_back(hash);
  proposal.body = std::move(withdrawal);
  // The table may be unreachable for long; the withdrawal stays pending until
  // the log holds it.
  proposal.deadline = base::kNever;
}

AdminReply MakeUnknownLabelError() {
  return MakeAdminError(
      {base::Errc::kNotFound,
       "no key has this label here; withdraw it by the key itself"});
}

AwaitableReply WithdrawKey(const Runtime& runtime, ConfigService& config,
                           AdminRequest request) {
  auto proposal = MakeProposal(runtime, request.body);
  if (proposal.author.empty()) {
    co_return MakeAdminError(
        MakeFieldError("\"author\": who withdraws the key"));
  }
  if (GetString(request.body, "key").empty() &&
      GetString(request.body, "label").empty()) {
    co_return MakeAdminError(MakeFieldError("\"label\" or \"key\""));
  }
  const auto hash = co_await ResolveKeyHash(runtime, config, request.body);
  if (hash.empty()) {
    co_return MakeUnknownLabelError();
  }
  SetWithdrawal(proposal, hash);
  const auto response = co_await Withdraw(config, std::move(proposal));
  co_return MakeWithdrawalReply(response);
}

AwaitableReply GetStatus(const Runtime& runtime, ConfigService& config,
                         AdminRequest request) {
  const auto status = co_await QueryFleetStatus(config);
  const auto own_config = config.InForce();
  auto revision = own_config.revision;
  const auto parameter = request.query.find("revision");
  if (parameter != request.query.end()) {
    const auto& text = parameter->second;
    std::from_chars(text.data(), text.data() + text.size(), revision);
  }
  AdminReply reply;
  reply.body["vm"] = runtime.self.name;
  reply.body["domain"] = runtime.settings.location.domain.text;
  reply.body["version"] = GYPSUMTRACK_VERSION;
  reply.body["ready"] = own_config.ready;
  reply.body["revision"] = ToJson(own_config.revision);
  reply.body["table_reachable"] = own_config.table_reachable;
  reply.body["isolated"] = own_config.isolated;
  reply.body["pending_withdrawals"] = ToJson(own_config.pending_withdrawals);
  reply.body["domains"] = EncodeDomains(status, revision);
  co_return reply;
}

}  // namespace

void AddConfigRoutes(Router& router, const Runtime& runtime,
                     ConfigService& config) {
  using Handler = AwaitableReply (*)(ConfigService&, AdminRequest);
  using RuntimeHandler =
      AwaitableReply (*)(const Runtime&, ConfigService&, AdminRequest);
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
  add("GET", "/admin/rules", GetRules);
  add("GET", "/admin/rules/history", GetRuleHistory);
  add("GET", "/admin/rules/blame", GetRuleBlame);
  add_with_runtime("POST", "/admin/keys", GrantKey);
  add("GET", "/admin/keys", ListKeys);
  add_with_runtime("POST", "/admin/keys/withdraw", WithdrawKey);
  add_with_runtime("GET", "/admin/status", GetStatus);
}

}  // namespace gypsumtrack::gateway
