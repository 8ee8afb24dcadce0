#ifndef GYPSUMTRACK_GATEWAY_SERVING_STORE_VIEW_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_STORE_VIEW_SERVICE_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "gypsumtrack/gateway/serving/wire.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// What a daemon believes of the rules and the endpoints, followed in the
/// platform's store on a thread of its own and read by all others.
namespace gypsumtrack::gateway {

/// An immutable snapshot.
struct StoreView {
  /// Null until rules were read.
  std::shared_ptr<const policy::ServingRules> rules;
  std::vector<policy::EndpointEntry> endpoints;
  /// Whether the endpoints were read.
  bool has_endpoints = false;
  /// When the store was reached again after an outage.
  base::Instant store_back_at{};
};

class StoreViewService {
 public:
  using ChangeHook = std::function<void()>;

  /// `on_change` is called on `executor` after each change of the snapshot.
  /// Precondition: `store` outlives it.
  StoreViewService(const boost::asio::any_io_executor& executor,
                   base::Clock clock, const base::RowStore& store,
                   StoreViewSource source, ChangeHook on_change);

  // Commands.

  /// Precondition: called once.
  void Start();
  /// Called on the executor.
  void Stop();

  // Queries. Thread-safe, wait-free but for a reference count.

  std::shared_ptr<const StoreView> Current() const { return this->cell.Get(); }
  /// The rules were in force at this moment, or are newer.
  base::Instant confirmed_at() const;  // NOLINT

 private:
  void TakeRules(const std::vector<base::VersionedRow>& rows);
  void TakeEndpoints(const std::vector<base::VersionedRow>& rows,
                     bool is_snapshot);
  bool TakeEndpoint(const base::VersionedRow& row);
  void OnConfirmed(base::Instant sent_at);
  void OnFailure(std::string_view table, const base::Error& error);
  void OnContact();
  void Publish();

  base::Clock clock;
  StoreViewSource source;
  ChangeHook on_change;
  RcuCell<StoreView> cell;
  std::atomic<base::Duration::rep> confirmed{0};
  /// On the executor, as is all below.
  StoreView next;
  std::map<std::string, policy::EndpointEntry> entries;
  bool in_contact = true;
  base::Instant lost_at{};
  std::shared_ptr<TableFollower> rules_follower;
  std::shared_ptr<TableFollower> endpoints_follower;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_STORE_VIEW_SERVICE_H_
