#ifndef GYPSUMTRACK_GATEWAY_SRC_CONNECTION_PROBE_H_
#define GYPSUMTRACK_GATEWAY_SRC_CONNECTION_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "gypsumtrack/base/time.h"

/// Tells an ended process from a network fault.
namespace gypsumtrack::gateway {

/// Opens a connection to `address` (`ip:port`) and closes it. Returns whether
/// it was refused, which shows that nothing listens there. False if the
/// connection opened, failed in another way or took longer than `timeout`. Must
/// run on a strand.
boost::asio::awaitable<bool> RefusesConnections(std::string address,
                                                base::Clock clock,
                                                base::Duration timeout);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_CONNECTION_PROBE_H_
