#ifndef GYPSUMTRACK_POLICY_SERVING_SLOWDOWN_ESTIMATE_H_
#define GYPSUMTRACK_POLICY_SERVING_SLOWDOWN_ESTIMATE_H_

#include "gypsumtrack/base/time.h"

/// How much longer work takes at an endpoint than usual, by what it reports of
/// itself. The reports jump many times a second and arrive late, at different
/// times at each daemon: one of them says little about the run that begins
/// next, and daemons that followed each report would all choose the same
/// endpoint.
namespace gypsumtrack::policy {

/// A smoothed estimate for one endpoint. Not thread-safe.
class SlowdownEstimate {
 public:
  /// Records a report: how long work takes now, as a multiple of the usual
  /// time. Precondition: it is positive.
  void OnReport(double slowdown, base::Instant now);
  /// Returns the expected multiple for a run that begins now. Without recent
  /// reports it tends to 1.
  double Expected(base::Instant now) const;

 private:
  double excess = 0;
  base::Instant updated_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_SLOWDOWN_ESTIMATE_H_
