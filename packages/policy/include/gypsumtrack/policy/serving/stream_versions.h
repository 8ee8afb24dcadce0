#ifndef GYPSUMTRACK_POLICY_SERVING_STREAM_VERSIONS_H_
#define GYPSUMTRACK_POLICY_SERVING_STREAM_VERSIONS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"

/// Decides which software version of a service is its default. A stream that
/// nothing is recorded of was begun by the default version of its service, so
/// that only streams of other versions have to be recorded.
namespace gypsumtrack::policy {

/// Age up to which a daemon's list of endpoints counts as current. Longer than
/// the store holds a read of them that finds no change, which is 2 s.
inline constexpr base::Duration kMaxEndpointListAge = std::chrono::seconds(3);

/// Whether a list of endpoints that was read by a call sent at `read_at` is
/// current. In an older one versions may be missing that others use already.
bool IsCurrentEndpointList(base::Instant read_at, base::Instant now);

/// A default version to be written, if its row still has the given version.
struct DefaultVersionChange {
  std::string version;
  /// 0 if there is no row yet.
  std::uint64_t expected_row_version = 0;

  bool operator==(const DefaultVersionChange&) const = default;
};

/// The default versions of all services, as written by one daemon and read by
/// all, and the versions that this daemon has seen. Not thread-safe.
class DefaultVersions {
 public:
  // Commands.

  /// Records the row of a service.
  void ApplyRow(const base::Service& service, const std::string& version,
                std::uint64_t row_version);
  /// Records that the row of a service was removed.
  void ApplyRemoval(const base::Service& service);
  /// Records that there are no rows but those that are applied from now on.
  void ForgetRows();
  /// Records which endpoints of a service are known now. Streams that they
  /// begin now end within `stream_lifetime`, the time of all attempts to take
  /// them up included.
  void Observe(const base::Service& service, const VersionCounts& counts,
               base::Duration stream_lifetime, base::Instant now);

  /// Records that a list of endpoints, read by a call sent at `read_at`, is the
  /// newest one that Observe is given from now on. If the one before was read
  /// longer ago than kMaxEndpointListAge, or this daemon stood still for so
  /// long, versions may have come and gone unseen, as before its start.
  void OnEndpointsRead(base::Instant read_at, base::Duration stream_lifetime,
                       base::Instant now);

  // Queries.

  /// Returns the default version of the service, or none if it isn't known.
  std::optional<std::string> Find(const base::Service& service) const;
  /// Returns the default version that is to be written for a service, if any:
  /// its first one, or another one once no stream of the old one can be
  /// continued. Until then there are streams of the old one without a record.
  std::optional<DefaultVersionChange> DueChange(const base::Service& service,
                                                base::Instant now) const;
  /// Returns the version that began all streams of the service that can still
  /// be continued, if there is only one and this daemon knows it for certain.
  std::optional<std::string> SoleVersion(const base::Service& service,
                                         base::Instant now) const;

 private:
  struct Row {
    std::string version;
    std::uint64_t row_version = 0;
  };
  struct ServiceState {
    VersionCounts counts;
    /// By when all streams have ended that each version began, as far as this
    /// daemon has seen.
    std::map<std::string, base::Instant> streams_end_at;
    /// By when all streams have ended that began before this daemon saw the
    /// service.
    base::Instant unseen_streams_end_at{};
  };

  std::map<base::Service, Row> rows;
  std::map<base::Service, ServiceState> services;
  /// When the newest list of endpoints was read.
  base::Instant endpoints_read_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_STREAM_VERSIONS_H_
