#include "gypsumtrack/gateway/serving/store_view_service.h"

#include <set>
#include <utility>

#include "gypsumtrack/base/event_log.h"

namespace gypsumtrack::gateway {
namespace {

/// Each confirmation of the rules is at most this old while the store answers.
constexpr base::Duration kRulesHold = std::chrono::milliseconds(1000);
constexpr base::Duration kEndpointsHold = std::chrono::milliseconds(2000);
/// Each endpoint writes its entry about once a second, so the feed of many
/// answers at once: a call each so often says as much.
constexpr base::Duration kEndpointsPause = std::chrono::milliseconds(300);

std::int64_t Millis(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

StoreViewService::StoreViewService(const boost::asio::any_io_executor& executor,
                                   base::Clock system_clock,
                                   const base::RowStore& store,
                                   StoreViewSource view_source, ChangeHook hook)
    : clock(std::move(system_clock)),
      source(std::move(view_source)),
      on_change(std::move(hook)),
      cell(std::make_shared<StoreView>()) {
  TableFollowerOptions options;
  options.table = this->source.rules_table;
  options.long_poll_timeout = kRulesHold;
  TableFollowerHooks hooks;
  hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                             std::uint64_t) { this->TakeRules(rows); };
  hooks.on_changes = [this](const std::vector<base::VersionedRow>& rows) {
    this->TakeRules(rows);
  };
  hooks.on_confirmed = [this](base::Instant at) { this->OnConfirmed(at); };
  hooks.on_failure = [this](const base::Error& error) {
    this->OnFailure(this->source.rules_table, error);
  };
  this->rules_follower = std::make_shared<TableFollower>(
      executor, this->clock, store, options, std::move(hooks));

  options.table = this->source.endpoints_table;
  options.long_poll_timeout = kEndpointsHold;
  options.min_call_delay = kEndpointsPause;
  TableFollowerHooks endpoint_hooks;
  endpoint_hooks.on_snapshot =
      [this](const std::vector<base::VersionedRow>& rows, std::uint64_t) {
        this->TakeEndpoints(rows, true);
      };
  endpoint_hooks.on_changes =
      [this](const std::vector<base::VersionedRow>& rows) {
        this->TakeEndpoints(rows, false);
      };
  endpoint_hooks.on_confirmed = [this](base::Instant) { this->OnContact(); };
  endpoint_hooks.on_failure = [this](const base::Error& error) {
    this->OnFailure(this->source.endpoints_table, error);
  };
  this->endpoints_follower = std::make_shared<TableFollower>(
      executor, this->clock, store, options, std::move(endpoint_hooks));
}

void StoreViewService::Start() {
  this->rules_follower->Start();
  this->endpoints_follower->Start();
}

void StoreViewService::Stop() {
  this->rules_follower->Stop();
  this->endpoints_follower->Stop();
}

base::Instant StoreViewService::confirmed_at() const {
  return base::Instant(base::Duration(this->confirmed.load()));
}

void StoreViewService::TakeRules(const std::vector<base::VersionedRow>& rows) {
  this->OnContact();
  for (const auto& row : rows) {
    if (row.at.key != this->source.rules_key || row.removed) continue;
    auto rules = this->source.read_rules(row.value);
    if (!rules.ok()) {
      base::LogEvent("rules_unreadable", {{"row_version", row.version},
                                          {"reason", rules.error().message}});
      continue;
    }
    const auto known = this->next.rules ? this->next.rules->version : 0;
    if (rules->version <= known) continue;
    base::LogEvent("rules_in_force",
                   {{"version", rules->version},
                    {"before", known},
                    {"routes", rules->routes.size()},
                    {"organisations", rules->organisations.size()},
                    {"keys", rules->key_holders.size()}});
    this->next.rules =
        std::make_shared<const policy::ServingRules>(std::move(*rules));
    this->Publish();
  }
}

void StoreViewService::TakeEndpoints(
    const std::vector<base::VersionedRow>& rows, bool is_snapshot) {
  // First, so that entries which lapsed in an outage are known as such.
  this->OnContact();
  bool changed = !this->next.has_endpoints;
  if (is_snapshot) {
    std::set<std::string> listed;
    for (const auto& row : rows) listed.insert(row.at.key);
    const auto gone = std::erase_if(this->entries, [&](const auto& each) {
      return !listed.contains(each.first);
    });
    changed = changed || gone > 0;
  }
  for (const auto& row : rows) changed = this->TakeEndpoint(row) || changed;
  this->next.has_endpoints = true;
  if (!changed) return;
  this->next.endpoints.clear();
  for (const auto& [key, entry] : this->entries) {
    this->next.endpoints.push_back(entry);
  }
  this->Publish();
}

bool StoreViewService::TakeEndpoint(const base::VersionedRow& row) {
  const auto& key = row.at.key;
  if (row.removed) {
    const bool known = this->entries.erase(key) > 0;
    if (known) {
      base::LogEvent("endpoint_gone",
                     {{"endpoint", key}, {"row_version", row.version}});
    }
    return known;
  }
  auto entry = this->source.read_endpoint(key, row.value);
  if (!entry.ok()) {
    base::LogEvent("endpoint_unreadable", {{"endpoint", key},
                                           {"row_version", row.version},
                                           {"reason", entry.error().message}});
    return this->entries.erase(key) > 0;
  }
  const auto found = this->entries.find(key);
  const bool same = found != this->entries.end() &&
                    found->second.incarnation == entry->incarnation &&
                    found->second.address == entry->address &&
                    found->second.draining == entry->draining &&
                    found->second.service == entry->service &&
                    found->second.slots == entry->slots;
  if (same) return false;
  base::LogEvent("endpoint_known", {{"endpoint", key},
                                    {"row_version", row.version},
                                    {"address", entry->address},
                                    {"service", entry->service.text},
                                    {"slots", entry->slots},
                                    {"draining", entry->draining ? 1 : 0}});
  this->entries[key] = std::move(*entry);
  return true;
}

void StoreViewService::OnConfirmed(base::Instant sent_at) {
  this->confirmed.store(sent_at.time_since_epoch().count());
  this->OnContact();
}

void StoreViewService::OnFailure(std::string_view table,
                                 const base::Error& error) {
  if (!this->in_contact) return;
  this->in_contact = false;
  this->lost_at = this->clock.now();
  base::LogEvent("store_lost", {{"table", table}, {"reason", error.message}});
}

void StoreViewService::OnContact() {
  if (this->in_contact) return;
  this->in_contact = true;
  const auto now = this->clock.now();
  const auto away = now - this->lost_at;
  base::LogEvent("store_regained", {{"away_ms", Millis(away)}});
  this->next.store_back_at = now;
  this->Publish();
}

void StoreViewService::Publish() {
  this->cell.Set(std::make_shared<const StoreView>(this->next));
  this->on_change();
}

}  // namespace gypsumtrack::gateway
