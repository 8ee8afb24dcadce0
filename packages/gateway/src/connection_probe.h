#ifndef GYPSUMTRACK_GATEWAY_SRC_CONNECTION_PROBE_H_
#define GYPSUMTRACK_GATEWAY_SRC_CONNECTION_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "gypsumtrack/base/time.h"

/// Finds out whether a process listens at an address.
namespace gypsumtrack::gateway {

/// What an attempt to open a connection showed.
enum class ProbeResult {
  kOpened,
  kRefused,      ///< nothing listens there, or the path rejects connections
  kUnreachable,  ///< no answer in time, or another error
};

/// Opens a connection to `address` (`ip:port`) and closes it. Must run on a
/// strand.
boost::asio::awaitable<ProbeResult> ProbeConnection(std::string address,
                                                    base::Clock clock,
                                                    base::Duration timeout);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_CONNECTION_PROBE_H_
