#ifndef GYPSUMTRACK_PLATFORM_HTTP_PLATFORM_H_
#define GYPSUMTRACK_PLATFORM_HTTP_PLATFORM_H_

#include <boost/asio/any_io_executor.hpp>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/platform/platform.h"

/// The platform over HTTP with JSON bodies.
namespace gypsumtrack::platform {

/// Hooks that call the platform at `address` (`ip:port`). Thread-safe; handlers
/// run on `executor`, each exactly once and by its deadline. The platform is
/// told the failure domain of its client, if any, with each call.
Platform MakeHttpPlatform(const boost::asio::any_io_executor& executor,
                          std::string address, base::Clock clock,
                          const base::FailureDomain& domain = {});

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_HTTP_PLATFORM_H_
