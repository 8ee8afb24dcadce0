#include "gypsumtrack/gateway/serving/store_view_service.h"

#include <optional>
#include <set>
#include <utility>

#include "../socket_address.h"
#include "gypsumtrack/base/event_log.h"

namespace gypsumtrack::gateway {
namespace {

/// Long-poll timeouts of the two tables. That of the rules is also the maximum
/// age of their confirmation while the store responds.
constexpr base::Duration kRulesPollTimeout = std::chrono::milliseconds(1000);
constexpr base::Duration kEndpointsPollTimeout =
    std::chrono::milliseconds(2000);
/// Delay between reads of the endpoints' feed. Each endpoint writes its entry
/// about once a second, so with many endpoints the feed responds at once; a
/// call at this interval returns the same changes with fewer calls.
constexpr base::Duration kEndpointsReadDelay = std::chrono::milliseconds(300);

std::int64_t ToMillis(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// Whether an endpoint may listen there: a port and the IP address of one host.
bool IsHostAddress(const std::string& text) {
  const auto parsed = ParseSocketAddress(text);
  if (!parsed.ok() || parsed->port() == 0) return false;
  const auto ip = parsed->address();
  const bool is_broadcast = ip == boost::asio::ip::address_v4::broadcast();
  return !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast;
}

/// Whether the endpoint says that it is cold.
bool IsCold(const policy::EndpointEntry& entry, base::Instant now) {
  return entry.warm_at && *entry.warm_at > now;
}

/// Reads the entry of an endpoint. Errors: kInvalid.
base::Outcome<policy::EndpointEntry> ReadEndpoint(const StoreViewSource& source,
                                                  const base::VersionedRow& row,
                                                  base::Instant now) {
  auto entry = source.read_endpoint(row.at.key, row.value, now);
  if (!entry.ok() || IsHostAddress(entry->address)) return entry;
  return base::Error(base::Errc::kInvalid,
                     "the address isn't the IP address and port of a host");
}

}  // namespace

StoreViewService::StoreViewService(const boost::asio::any_io_executor& executor,
                                   base::Clock system_clock,
                                   const base::RowStore& store,
                                   StoreViewSource view_source,
                                   ChangeHook change_hook,
                                   EndpointRowsHook endpoint_rows_hook)
    : clock(std::move(system_clock)),
      source(std::move(view_source)),
      on_change(std::move(change_hook)),
      on_endpoint_rows(std::move(endpoint_rows_hook)),
      current(std::make_shared<StoreView>()) {
  TableFollowerOptions options;
  options.table = this->source.rules_table;
  options.long_poll_timeout = kRulesPollTimeout;
  TableFollowerHooks rules_hooks;
  rules_hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                                   std::uint64_t) {
    this->ApplyOperatorRows(rows, true);
  };
  rules_hooks.on_changes = [this](const std::vector<base::VersionedRow>& rows,
                                  std::uint64_t) {
    this->ApplyOperatorRows(rows, false);
  };
  rules_hooks.on_confirmed = [this](base::Instant at) {
    this->OnRulesConfirmed(at);
  };
  rules_hooks.on_failure = [this](const base::Error& error) {
    this->OnReadFailed(this->source.rules_table, error);
  };
  this->rules_follower = std::make_shared<TableFollower>(
      executor, this->clock, store, options, std::move(rules_hooks));

  options.table = this->source.endpoints_table;
  options.long_poll_timeout = kEndpointsPollTimeout;
  options.min_call_delay = kEndpointsReadDelay;
  TableFollowerHooks endpoints_hooks;
  endpoints_hooks.on_snapshot =
      [this](const std::vector<base::VersionedRow>& rows, std::uint64_t as_of) {
        this->endpoint_rows.as_of = as_of;
        this->ApplyEndpoints(rows, true);
      };
  endpoints_hooks.on_changes =
      [this](const std::vector<base::VersionedRow>& rows, std::uint64_t as_of) {
        this->endpoint_rows.as_of = as_of;
        this->ApplyEndpoints(rows, false);
      };
  endpoints_hooks.on_confirmed = [this](base::Instant at) {
    this->OnEndpointsConfirmed(at);
  };
  endpoints_hooks.on_failure = [this](const base::Error& error) {
    this->OnReadFailed(this->source.endpoints_table, error);
  };
  this->endpoints_follower = std::make_shared<TableFollower>(
      executor, this->clock, store, options, std::move(endpoints_hooks));
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

base::Instant StoreViewService::endpoints_confirmed_at() const {
  return base::Instant(base::Duration(this->endpoints_confirmed.load()));
}

void StoreViewService::ApplyOperatorRows(
    const std::vector<base::VersionedRow>& rows, bool is_snapshot) {
  this->OnStoreReachable();
  bool changed = is_snapshot && this->EndMissingEvacuations(rows);
  for (const auto& row : rows) {
    changed = this->ApplyRules(row) || changed;
    changed = this->ApplyEvacuation(row) || changed;
  }
  if (changed) this->Publish();
}

bool StoreViewService::ApplyRules(const base::VersionedRow& row) {
  if (row.at.key != this->source.rules_key || row.removed) return false;
  auto rules = this->source.read_rules(row.value);
  if (!rules.ok()) {
    base::LogEvent("rules_unreadable", {{"row_version", row.version},
                                        {"reason", rules.error().message}});
    return false;
  }
  const auto old_version = this->next.rules ? this->next.rules->version : 0;
  if (rules->version <= old_version) return false;
  base::LogEvent("rules_in_force",
                 {{"version", rules->version},
                  {"before", old_version},
                  {"routes", rules->routes.size()},
                  {"organisations", rules->organisations.size()},
                  {"keys", rules->key_holders.size()}});
  this->next.rules =
      std::make_shared<const policy::ServingRules>(std::move(*rules));
  return true;
}

bool StoreViewService::ApplyEvacuation(const base::VersionedRow& row) {
  if (!this->source.read_evacuation) return false;
  const auto domain = this->source.read_evacuation(row.at.key);
  if (!domain) return false;
  auto& evacuated = this->next.evacuated_domains;
  const bool changed = row.removed ? evacuated.erase(*domain) > 0
                                   : evacuated.insert(*domain).second;
  if (changed) {
    base::LogEvent("evacuation", {{"domain", domain->text},
                                  {"begun", row.removed ? 0 : 1},
                                  {"row_version", row.version}});
  }
  return changed;
}

bool StoreViewService::EndMissingEvacuations(
    const std::vector<base::VersionedRow>& rows) {
  if (!this->source.read_evacuation) return false;
  std::set<base::FailureDomain> listed;
  for (const auto& row : rows) {
    if (const auto domain = this->source.read_evacuation(row.at.key))
      listed.insert(*domain);
  }
  const auto ended = std::erase_if(
      this->next.evacuated_domains,
      [&](const auto& domain) { return !listed.contains(domain); });
  if (ended > 0) base::LogEvent("evacuations_ended", {{"count", ended}});
  return ended > 0;
}

void StoreViewService::ApplyEndpoints(
    const std::vector<base::VersionedRow>& rows, bool is_snapshot) {
  // The end of an outage is published before the entries, so that the endpoint
  // registry can tell that missing entries may have expired during the outage.
  this->OnStoreReachable();
  bool changed = !this->next.has_endpoints;
  this->endpoint_rows.is_snapshot = is_snapshot;
  if (is_snapshot) {
    std::set<std::string> listed;
    for (const auto& row : rows) listed.insert(row.at.key);
    const auto removed_count = std::erase_if(
        this->entries,
        [&](const auto& each) { return !listed.contains(each.first); });
    changed = changed || removed_count > 0;
  }
  for (const auto& row : rows) changed = this->ApplyEndpoint(row) || changed;
  this->next.has_endpoints = true;
  if (!changed) return;
  this->next.endpoints.clear();
  for (const auto& [key, entry] : this->entries) {
    this->next.endpoints.push_back(entry);
  }
  this->Publish();
}

bool StoreViewService::ApplyEndpoint(const base::VersionedRow& row) {
  const auto& key = row.at.key;
  if (row.removed) {
    this->endpoint_rows.removed.emplace_back(key);
    const bool was_known = this->entries.erase(key) > 0;
    if (was_known) {
      base::LogEvent("endpoint_gone",
                     {{"endpoint", key}, {"row_version", row.version}});
    }
    return was_known;
  }
  const auto now = this->clock.now();
  auto entry = ReadEndpoint(this->source, row, now);
  const auto incarnation =
      entry.ok() ? std::optional(entry->incarnation) : std::nullopt;
  this->endpoint_rows.written.push_back(
      {base::EndpointId(key), incarnation, row.version});
  if (!entry.ok()) {
    base::LogEvent("endpoint_unreadable", {{"endpoint", key},
                                           {"row_version", row.version},
                                           {"reason", entry.error().message}});
    return this->entries.erase(key) > 0;
  }
  const auto found = this->entries.find(key);
  const bool unchanged = found != this->entries.end() &&
                         found->second.incarnation == entry->incarnation &&
                         found->second.address == entry->address &&
                         found->second.draining == entry->draining &&
                         found->second.service == entry->service &&
                         found->second.version == entry->version &&
                         found->second.slots == entry->slots &&
                         !IsCold(found->second, now) && !IsCold(*entry, now);
  if (unchanged) return false;
  base::LogEvent("endpoint_known", {{"endpoint", key},
                                    {"row_version", row.version},
                                    {"address", entry->address},
                                    {"service", entry->service.text},
                                    {"version", entry->version},
                                    {"slots", entry->slots},
                                    {"draining", entry->draining ? 1 : 0},
                                    {"cold", IsCold(*entry, now) ? 1 : 0}});
  this->entries[key] = std::move(*entry);
  return true;
}

void StoreViewService::OnEndpointsConfirmed(base::Instant sent_at) {
  this->endpoints_confirmed.store(sent_at.time_since_epoch().count());
  this->OnStoreReachable();
  auto& read = this->endpoint_rows;
  read.sent_at = sent_at;
  read.store_recovered_at = this->next.store_recovered_at;
  if (this->on_endpoint_rows) this->on_endpoint_rows(read);
  read.is_snapshot = false;
  read.written.clear();
  read.removed.clear();
}

void StoreViewService::OnRulesConfirmed(base::Instant sent_at) {
  this->confirmed.store(sent_at.time_since_epoch().count());
  this->OnStoreReachable();
}

void StoreViewService::OnReadFailed(std::string_view table,
                                    const base::Error& error) {
  if (!this->store_reachable) return;
  this->store_reachable = false;
  this->unreachable_since = this->clock.now();
  base::LogEvent("store_lost", {{"table", table}, {"reason", error.message}});
}

void StoreViewService::OnStoreReachable() {
  if (this->store_reachable) return;
  this->store_reachable = true;
  const auto now = this->clock.now();
  const auto outage = now - this->unreachable_since;
  base::LogEvent("store_regained", {{"away_ms", ToMillis(outage)}});
  this->next.store_recovered_at = now;
  this->Publish();
}

void StoreViewService::Publish() {
  this->current.Set(std::make_shared<const StoreView>(this->next));
  this->on_change();
}

}  // namespace gypsumtrack::gateway
