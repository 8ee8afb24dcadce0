#ifndef GYPSUMTRACK_PLATFORM_HTTP_PLATFORM_H_
#define GYPSUMTRACK_PLATFORM_HTTP_PLATFORM_H_

#include <boost/asio/any_io_executor.hpp>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/platform/platform.h"

/// HTTP client for the platform, with JSON bodies.
namespace gypsumtrack::platform {

/// Returns hooks that call the platform at `address` (`ip:port`). The hooks are
/// thread-safe; each handler runs on `executor`, exactly once and by its
/// deadline. If `domain` isn't empty, each call sends it to the platform as the
/// failure domain of the client.
Platform MakeHttpPlatform(const boost::asio::any_io_executor& executor,
                          std::string address, base::Clock clock,
                          const base::FailureDomain& domain = {});

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_HTTP_PLATFORM_H_
