#ifndef GYPSUMTRACK_POLICY_SERVING_SECOND_TRIES_H_
#define GYPSUMTRACK_POLICY_SERVING_SECOND_TRIES_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"

/// Decides when a request whose response is late is taken from its endpoint and
/// sent to another one, and how many requests may be: each costs an endpoint
/// the work that is thrown away.
namespace gypsumtrack::policy {

/// Limits of second tries.
struct SecondTryOptions {
  /// Largest share of the requests of a route that get one; 0 for none.
  double max_share = 0;
  /// Second tries that a lull may save for later.
  double max_saved = 3;
  /// Quantile of the recent times to the first event after which a response
  /// counts as late.
  double late_quantile = 0.97;
  /// Shorter times aren't late.
  base::Duration min_delay = std::chrono::milliseconds(40);
  /// Responses that must be known before any counts as late.
  std::uint32_t min_samples = 60;
  /// While more responses than this are late, the cause isn't one endpoint, and
  /// a second try would only add to the load.
  double max_late_share = 0.25;
};

/// Whether a request gets a second try.
enum class SecondTry {
  kGranted,
  kOff,           ///< the operators allow none
  kUnknownTimes,  ///< too few responses are known
  kNotLate,       ///< the response may still come in its usual time
  kManyLate,      ///< many responses are late at once
  kOverBudget,    ///< the share is used up
};

/// Names in log events.
inline constexpr auto kSecondTryNames = base::MakeEnumTable<SecondTry>({
    {SecondTry::kGranted, "granted"},
    {SecondTry::kOff, "off"},
    {SecondTry::kUnknownTimes, "unknown-times"},
    {SecondTry::kNotLate, "not-late"},
    {SecondTry::kManyLate, "many-late"},
    {SecondTry::kOverBudget, "over-budget"},
});

/// The second tries of one daemon, by route. Not thread-safe.
class SecondTries {
 public:
  explicit SecondTries(SecondTryOptions options);

  // Commands.

  /// Counts a request toward the budget of its route.
  void OnRequest(const std::string& route);
  /// Records the time from the start of an attempt to its first event.
  void OnFirstEvent(const std::string& route, base::Duration took);
  /// Decides about a request that has waited for its first event that long, and
  /// uses up a part of the budget if it is granted.
  SecondTry Take(const std::string& route, base::Duration waited);

  // Queries.

  /// Returns the time after which a response of the route is late; none while
  /// second tries are off or too few responses are known.
  std::optional<base::Duration> LateAfter(const std::string& route) const;

 private:
  /// Times are counted in buckets whose bounds grow by an eighth.
  static constexpr std::size_t kBuckets = 96;

  struct Route {
    std::array<std::uint32_t, kBuckets> counts{};
    std::uint32_t total = 0;
    double budget = 0;
    /// Recent share of late responses.
    double late_share = 0;
  };

  static std::size_t BucketOf(base::Duration took);
  static base::Duration UpperBound(std::size_t bucket);
  std::optional<base::Duration> LateAfter(const Route& route) const;

  SecondTryOptions options;
  std::map<std::string, Route> routes;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_SECOND_TRIES_H_
