#ifndef GYPSUMTRACK_GATEWAY_SERVING_STORE_VIEW_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_STORE_VIEW_SERVICE_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "gypsumtrack/gateway/serving/wire.h"
#include "gypsumtrack/policy/serving/endpoint_liveness.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// A daemon's cached view of the rules and the endpoints in the platform's
/// store. It is kept up to date on one thread and read on all others.
namespace gypsumtrack::gateway {

/// An immutable snapshot of the rules and the endpoints.
struct StoreView {
  /// Null until rules have been read.
  std::shared_ptr<const policy::ServingRules> rules;
  /// Failure domains that the operators evacuate.
  std::set<base::FailureDomain> evacuated_domains;
  std::vector<policy::EndpointEntry> endpoints;
  /// Whether the endpoints have been read.
  bool has_endpoints = false;
  /// When the store became reachable again after its last outage; the epoch if
  /// there was none.
  base::Instant store_recovered_at{};
};

/// Follows the tables of the rules and the endpoints and publishes a new
/// snapshot after each change.
class StoreViewService {
 public:
  using ChangeHook = std::function<void()>;
  /// Called with the rows of the endpoints after each read of them, also if
  /// none has changed or only by a heartbeat.
  using EndpointRowsHook = std::function<void(const policy::EndpointRowsRead&)>;

  /// The hooks are called on `executor`, which must run on one thread;
  /// `on_change` after each change of the snapshot. `on_endpoint_rows` may be
  /// empty. Precondition: `store` outlives the service.
  StoreViewService(const boost::asio::any_io_executor& executor,
                   base::Clock clock, const base::RowStore& store,
                   StoreViewSource source, ChangeHook on_change,
                   EndpointRowsHook on_endpoint_rows);

  // Commands.

  /// Starts following the tables. Precondition: called once. Thread-safe.
  void Start();
  /// Stops following the tables. Must be called on the executor.
  void Stop();

  // Queries. Thread-safe.

  /// Returns the current snapshot, never null. Wait-free except for a reference
  /// count.
  std::shared_ptr<const StoreView> Current() const {
    return this->current.Get();
  }
  /// Returns when the newest successful read of the rules was sent: the rules
  /// of the snapshot were in force then, or are newer. Wait-free.
  base::Instant confirmed_at() const;  // NOLINT
  /// The same for the endpoints.
  base::Instant endpoints_confirmed_at() const;  // NOLINT

 private:
  /// `is_snapshot` states whether the rows are the whole table.
  void ApplyOperatorRows(const std::vector<base::VersionedRow>& rows,
                         bool is_snapshot);
  /// Returns whether the row changed the rules.
  bool ApplyRules(const base::VersionedRow& row);
  /// Returns whether the row began or ended an evacuation.
  bool ApplyEvacuation(const base::VersionedRow& row);
  /// Ends the evacuations that a snapshot of the table doesn't contain. Returns
  /// whether there are any.
  bool EndMissingEvacuations(const std::vector<base::VersionedRow>& rows);
  /// As for ApplyOperatorRows.
  void ApplyEndpoints(const std::vector<base::VersionedRow>& rows,
                      bool is_snapshot);
  /// Returns whether the row changed an entry.
  bool ApplyEndpoint(const base::VersionedRow& row);
  /// Must be called after the rows of a read were applied.
  void OnEndpointsConfirmed(base::Instant sent_at);
  void OnRulesConfirmed(base::Instant sent_at);
  void OnReadFailed(std::string_view table, const base::Error& error);
  void OnStoreReachable();
  void Publish();

  base::Clock clock;
  StoreViewSource source;
  ChangeHook on_change;
  EndpointRowsHook on_endpoint_rows;
  RcuCell<StoreView> current;
  /// Value of confirmed_at() as a duration since the epoch.
  std::atomic<base::Duration::rep> confirmed{0};
  /// The same of endpoints_confirmed_at().
  std::atomic<base::Duration::rep> endpoints_confirmed{0};
  /// The next snapshot to publish. Used on the executor only, as are all
  /// members below.
  StoreView next;
  /// Keyed by row key.
  std::map<std::string, policy::EndpointEntry> entries;
  /// The rows of the current read, for `on_endpoint_rows`.
  policy::EndpointRowsRead endpoint_rows;
  bool store_reachable = true;
  base::Instant unreachable_since{};
  std::shared_ptr<TableFollower> rules_follower;
  std::shared_ptr<TableFollower> endpoints_follower;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_STORE_VIEW_SERVICE_H_
