#ifndef GYPSUMTRACK_GATEWAY_SERVING_PLANNED_STOP_H_
#define GYPSUMTRACK_GATEWAY_SERVING_PLANNED_STOP_H_

#include <functional>
#include <list>
#include <memory>

#include "gypsumtrack/base/time.h"

/// What a daemon that was asked to stop still does for its callers.
namespace gypsumtrack::gateway {

/// Decides which requests a stopping daemon still takes, and ends those that
/// run at the end of its grace period. Must be used on one thread.
class PlannedStop {
 public:
  /// Keeps a request registered for as long as it lives.
  using Registration = std::shared_ptr<void>;

  // Commands.

  /// Begins the stop. Callers have to have their answers at `answers_until`; a
  /// request that is taken is expected to need `usual_time`. Precondition:
  /// called once.
  void Begin(base::Instant answers_until, base::Duration usual_time);
  /// Registers a request in progress. `end` makes it answer at once; it is
  /// called once at most, by EndRequests, while the registration lives, which
  /// may be longer than this object.
  [[nodiscard]] Registration Register(std::function<void()> end);
  /// Ends all registered requests.
  void EndRequests();

  // Queries.

  /// Whether a request that may take up to `max_time` can't be expected to be
  /// answered in time, so that it is better refused before it is passed on.
  bool ComesTooLate(base::Instant now, base::Duration max_time) const;
  /// kNever before the stop begins.
  base::Instant answers_until() const { return this->until; }  // NOLINT

 private:
  base::Instant until = base::kNever;
  base::Duration usual_time{0};
  using Requests = std::list<std::function<void()>>;
  /// Shared with the registrations: requests that are cut off by the end of the
  /// event loop are destroyed after this object.
  std::shared_ptr<Requests> requests = std::make_shared<Requests>();
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_PLANNED_STOP_H_
