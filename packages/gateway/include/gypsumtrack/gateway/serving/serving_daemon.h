#ifndef GYPSUMTRACK_GATEWAY_SERVING_SERVING_DAEMON_H_
#define GYPSUMTRACK_GATEWAY_SERVING_SERVING_DAEMON_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/serving/serving_settings.h"
#include "gypsumtrack/gateway/serving/wire.h"

/// A daemon that serves a deployment through an adapter.
namespace gypsumtrack::gateway {

/// What the adapter brings.
struct ServingAdapter {
  Wire wire;
  StoreViewSource store_view_source;
  /// A client of the platform's store that runs on the executor.
  std::function<base::RowStore(const boost::asio::any_io_executor& executor,
                               const base::Clock& clock)>
      make_store;
  /// Reads the settings again. Errors: kInvalid; the old ones stay.
  std::function<base::Outcome<ServingSettings>()> reload;
};

class ServingDaemon {
 public:
  ServingDaemon(const ServingSettings& settings, ServingAdapter adapter);
  ~ServingDaemon();

  /// Listens and begins. Errors: kUnavailable.
  base::Status Start();
  /// Runs until the process is asked to stop (SIGTERM, SIGINT) and has handed
  /// its work over. SIGHUP reads the settings again.
  void Run();

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_SERVING_DAEMON_H_
