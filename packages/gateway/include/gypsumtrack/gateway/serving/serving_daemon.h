#ifndef GYPSUMTRACK_GATEWAY_SERVING_SERVING_DAEMON_H_
#define GYPSUMTRACK_GATEWAY_SERVING_SERVING_DAEMON_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/serving/serving_settings.h"
#include "gypsumtrack/gateway/serving/wire.h"

/// The daemon that serves callers of a deployment. An adapter connects it to
/// the deployment's formats and store.
namespace gypsumtrack::gateway {

/// The deployment-specific parts of a daemon.
struct ServingAdapter {
  Wire wire;
  /// The tables and formats of the rules and the endpoints.
  StoreViewSource store_view_source;
  /// Makes a client of the platform's store that runs on the executor.
  std::function<base::RowStore(const boost::asio::any_io_executor& executor,
                               const base::Clock& clock)>
      make_store;
  /// Reads the settings again. Errors: kInvalid; the old settings then stay in
  /// use.
  std::function<base::Outcome<ServingSettings>()> reload;
};

/// A serving daemon. Not thread-safe.
class ServingDaemon {
 public:
  ServingDaemon(const ServingSettings& settings, ServingAdapter adapter);
  ~ServingDaemon();

  /// Starts to listen and to serve; requests are processed during Run().
  /// Precondition: called once. Errors: kUnavailable if an address can't be
  /// bound; kInvalid if it can't be parsed.
  base::Status Start();
  /// Runs until the process has received SIGTERM or SIGINT and has handed over
  /// its jobs. SIGHUP reloads the settings. Precondition: Start() succeeded.
  void Run();

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_SERVING_DAEMON_H_
