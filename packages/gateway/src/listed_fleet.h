#ifndef GYPSUMTRACK_GATEWAY_SRC_LISTED_FLEET_H_
#define GYPSUMTRACK_GATEWAY_SRC_LISTED_FLEET_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"

/// The fleet as the platform's list has it, read once a second.
namespace gypsumtrack::gateway {

class ListedFleet {
 public:
  /// Precondition: `runtime` outlives it, and its pool has stopped before it
  /// is destroyed.
  explicit ListedFleet(const Runtime& runtime);

  /// Thread-safe, as are those below.
  void Start();
  void Stop();
  std::shared_ptr<const policy::FleetView> View() const;

 private:
  void Poll();
  void Wait();
  void Take(const base::Outcome<std::vector<base::ListedVm>>& listed);

  const Runtime& runtime;
  boost::asio::steady_timer timer;
  bool stopped = false;
  RcuCell<policy::FleetView> view;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_LISTED_FLEET_H_
