#ifndef GYPSUMTRACK_GATEWAY_SERVING_SERVING_CONTEXT_H_
#define GYPSUMTRACK_GATEWAY_SERVING_SERVING_CONTEXT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gypsumtrack/base/memory_budget.h"
#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/endpoint_client.h"
#include "gypsumtrack/gateway/serving/planned_stop.h"
#include "gypsumtrack/gateway/serving/serving_settings.h"
#include "gypsumtrack/gateway/serving/store_view_service.h"
#include "gypsumtrack/gateway/serving/wire.h"
#include "gypsumtrack/policy/serving/batch_start_limiter.h"
#include "gypsumtrack/policy/serving/crash_quarantine.h"
#include "gypsumtrack/policy/serving/endpoint_liveness.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"
#include "gypsumtrack/policy/serving/fleet_quota.h"
#include "gypsumtrack/policy/serving/output_origin.h"
#include "gypsumtrack/policy/serving/second_tries.h"
#include "gypsumtrack/telemetry/metrics.h"

/// State that the components of a serving daemon share.
namespace gypsumtrack::gateway {

/// Counters and histograms of a serving daemon. The constructor registers each
/// with its name and help text. Thread-safe.
struct ServingMetrics {
  /// Precondition: `registry` outlives the metrics.
  explicit ServingMetrics(telemetry::Registry& registry);

  telemetry::Counter& requests;
  telemetry::Counter& delivered;
  telemetry::Counter& refused;
  telemetry::Counter& failed;
  telemetry::Counter& aborted;
  telemetry::Counter& disconnected_callers;
  telemetry::Counter& attempts;
  telemetry::Counter& resumed;
  telemetry::Counter& over_quota;
  telemetry::Counter& jobs_accepted;
  telemetry::Counter& jobs_refused;
  telemetry::Counter& items_listed;
  telemetry::Counter& items_yielded;
  telemetry::Counter& outputs_discarded;
  telemetry::Counter& jobs_taken_over;
  telemetry::Counter& crashed_runs;
  telemetry::Counter& tunnelled;
  telemetry::Counter& second_tries;
  telemetry::Counter& quarantined;
  telemetry::Counter& handler_exceptions;
  telemetry::LatencyHistogram& first_byte;
  telemetry::LatencyHistogram& complete_response;
  telemetry::LatencyHistogram& job_acceptance;
};

/// Hooks that tell of the runs of requests and protect endpoints from those
/// that crash them. Empty until the crash service has started.
struct CrashHooks {
  /// Returns the suspect that is in quarantine, if any.
  std::function<std::optional<policy::QuarantinedSuspect>(
      const std::vector<policy::CrashSuspect>& suspects)>
      find_quarantined;
  /// A run with these suspects made progress.
  std::function<void(const std::vector<policy::CrashSuspect>& suspects)>
      on_progress;
  /// The connection of a run closed before these suspects made progress. Runs
  /// of the same request or item have the same `request`.
  std::function<void(const std::vector<policy::CrashSuspect>& suspects,
                     const std::string& request,
                     const policy::EndpointEntry& endpoint)>
      on_lost;
};

/// A record of which endpoints begin a stream.
struct StreamRecord {
  /// Whether the store has confirmed it.
  bool is_written = false;
  /// Whether the store may have written it, or may do so later.
  bool may_be_written = false;
  /// Set by the relay to end further attempts to write it.
  bool is_abandoned = false;
};

/// Hooks that keep streams of different software versions apart. Empty until
/// the stream version service has started.
struct StreamVersionHooks {
  /// Returns the default version of a service, or none if it isn't known.
  /// Streams of any other version must be recorded before their first event.
  std::function<std::optional<std::string>(const base::Service&)>
      default_version;
  /// Whether records are written in time at the moment.
  std::function<bool()> can_record;
  /// Starts to record who begins the stream of a request in an attempt.
  std::function<std::shared_ptr<StreamRecord>(
      const std::string& request, std::uint32_t attempt,
      const policy::OutputOrigin& origin, base::Instant deadline)>
      record;
  /// Finds who began the stream of a request, which is at the default version
  /// of `service` unless recorded otherwise. Errors: those of a read, and
  /// kNotFound if it can't be told.
  std::function<boost::asio::awaitable<base::Outcome<policy::OutputOrigin>>(
      std::string request, base::Service service)>
      find_origin;
};

/// How connections to endpoints are opened.
enum class PathKind {
  kDirect,
  kTunnel,  ///< through a peer: this daemon is cut from all endpoints
  kNone,    ///< not at all: no peer reaches them either
};

/// The way to endpoints at a moment.
struct EndpointPath {
  PathKind kind = PathKind::kDirect;
  /// Set only if the kind is kTunnel.
  TunnelHop hop;
  /// The location from which endpoints are reached: that of this daemon or of
  /// the peer.
  base::Location location;
};

/// Hooks that find the way to endpoints and tell of the connections to them.
/// Empty until the endpoint path service has started: until then all
/// connections are direct.
struct EndpointPathHooks {
  std::function<EndpointPath()> find_path;
  /// A tunnel through the peer couldn't be opened, or a call through it made no
  /// progress.
  std::function<void(const TunnelHop& hop, const base::EndpointId& endpoint,
                     TunnelStatus status)>
      on_tunnel_failed;
  /// Finds out by other endpoints and by peers whether an endpoint whose port
  /// refused a connection has ended, and not this daemon's own path to all
  /// endpoints.
  std::function<boost::asio::awaitable<policy::Liveness>(TunnelTarget endpoint)>
      check_liveness;
  /// A call over a direct connection began.
  std::function<void()> on_call_started;
  /// Such a call ended; `lost` if its connection closed before its response
  /// ended.
  std::function<void(bool lost)> on_call_ended;
  /// Bytes of an endpoint arrived on a direct connection.
  std::function<void()> on_bytes;
  /// An attempt to open a direct connection ended.
  std::function<void(const base::EndpointId& endpoint, bool connected,
                     base::Instant started_at)>
      on_connect;
};

/// Shared state of a serving daemon. Must be used on the thread of `executor`,
/// except for the store, the store view, the client and the metrics, which are
/// thread-safe.
struct ServingContext {
  ServingSettings settings;
  base::VmId self;
  Wire wire;
  base::Clock clock;
  boost::asio::any_io_executor executor;
  const base::RowStore& store;
  const StoreViewService& store_view;
  EndpointClient& client;
  telemetry::Registry& registry;
  ServingMetrics metrics;
  policy::EndpointRegistry endpoints;
  policy::FleetQuota quota;
  policy::BatchStartLimiter batch_starts;
  CrashHooks crash_hooks;
  StreamVersionHooks stream_versions;
  EndpointPathHooks path_hooks;
  std::minstd_rand random;
  policy::SecondTries second_tries{policy::SecondTryOptions{}};
  /// The outputs of items that aren't committed yet.
  std::shared_ptr<base::MemoryBudget> output_memory =
      std::make_shared<base::MemoryBudget>();
  /// Set once the daemon has been asked to stop.
  bool shutting_down = false;
  PlannedStop planned_stop;

  /// Returns a random number of 31 bits.
  std::uint64_t NextRandom() { return this->random(); }
  /// Returns a query for an endpoint of one of the route's services, which is
  /// picked by weight.
  policy::EndpointQuery MakeQuery(const policy::RouteRule& route) {
    return this->MakeQuery(policy::PickService(route, this->NextRandom()));
  }
  /// Returns a query for an endpoint of the service.
  policy::EndpointQuery MakeQuery(const base::Service& service) {
    const auto path = this->FindPath();
    policy::EndpointQuery query;
    query.service = service;
    query.origin = path.location;
    query.random_value = this->NextRandom();
    query.has_idle_connection = [this, path](const std::string& address) {
      const bool is_tunnel = path.kind == PathKind::kTunnel;
      return (is_tunnel ? this->client.idle_count(address, path.hop)
                        : this->client.idle_count(address)) > 0;
    };
    return query;
  }
  /// Returns the way to endpoints now.
  EndpointPath FindPath() const {
    if (this->path_hooks.find_path) return this->path_hooks.find_path();
    return {PathKind::kDirect, {}, this->settings.location};
  }
  /// The same for a request that may be passed on only within the allowed
  /// regions and the one of this daemon, to which its caller has connected.
  EndpointPath FindPath(const policy::RegionLimit& allowed_regions) const {
    auto path = this->FindPath();
    const auto& region = path.location.region;
    const bool leaves_regions = path.kind == PathKind::kTunnel &&
                                region != this->settings.location.region &&
                                !policy::Allows(allowed_regions, region);
    if (leaves_regions) path.kind = PathKind::kNone;
    return path;
  }
  /// Returns the time since the cached rules were confirmed.
  base::Duration StoreViewAge() const {
    return this->clock.now() - this->store_view.confirmed_at();
  }
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_SERVING_CONTEXT_H_
