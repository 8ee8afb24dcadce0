#ifndef GYPSUMTRACK_GATEWAY_RUNTIME_H_
#define GYPSUMTRACK_GATEWAY_RUNTIME_H_

#include <boost/asio/any_io_executor.hpp>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/settings.h"
#include "gypsumtrack/peer/peer.h"
#include "gypsumtrack/platform/platform.h"

/// What each part of a daemon is given.
namespace gypsumtrack::gateway {

/// Shared by all parts; outlives them. Immutable after start.
struct Runtime {
  Settings settings;
  base::VmId self;
  base::Clock clock;
  /// A strand. Commands of decision objects run here and nowhere else.
  boost::asio::any_io_executor control;
  /// The thread pool that carries connections.
  boost::asio::any_io_executor pool;
  platform::Platform platform;
  peer::PeerLink peers;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_RUNTIME_H_
