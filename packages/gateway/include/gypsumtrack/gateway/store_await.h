#ifndef GYPSUMTRACK_GATEWAY_STORE_AWAIT_H_
#define GYPSUMTRACK_GATEWAY_STORE_AWAIT_H_

#include <boost/asio/awaitable.hpp>
#include <string>
#include <utility>

#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/await.h"
#include "gypsumtrack/platform/platform.h"

/// The store interface of the platform as coroutines. Each resumes on the
/// executor of its caller.
namespace gypsumtrack::gateway {

/// Commits once, without a retry. The errors are those of the platform.
inline boost::asio::awaitable<base::Status> CommitOnce(
    const platform::Platform& platform, base::TableCommit commit,
    base::Instant deadline) {
  return AwaitHandler<base::Status>(
      [&platform, commit = std::move(commit), deadline](auto handler) {
        platform.table.commit(commit, deadline, handler);
      });
}

/// Reads rows of the table.
inline boost::asio::awaitable<base::Outcome<base::ScanReply>> ScanTable(
    const platform::Platform& platform, base::TableScan scan,
    base::Instant deadline) {
  return AwaitHandler<base::Outcome<base::ScanReply>>(
      [&platform, scan = std::move(scan), deadline](auto handler) {
        platform.table.scan(scan, deadline, handler);
      });
}

/// Stores an object.
inline boost::asio::awaitable<base::Status> PutObject(
    const platform::Platform& platform, std::string name, std::string bytes,
    base::Instant deadline) {
  return AwaitHandler<base::Status>([&platform, name = std::move(name),
                                     bytes = std::move(bytes),
                                     deadline](auto handler) {
    platform.objects.put(name, bytes, deadline, handler);
  });
}

/// Reads an object.
inline boost::asio::awaitable<base::Outcome<std::string>> GetObject(
    const platform::Platform& platform, std::string name,
    base::Instant deadline) {
  return AwaitHandler<base::Outcome<std::string>>(
      [&platform, name = std::move(name), deadline](auto handler) {
        platform.objects.get(name, deadline, handler);
      });
}

/// Commits, and retries under the same operation id until the result is known
/// or the deadline is near. Errors: kConflict; kUnavailable (nothing was
/// changed); kUnknown (the commit may have been applied, as a response was
/// lost).
boost::asio::awaitable<base::Status> CommitWithRetries(
    const platform::Platform& platform, const base::Clock& clock,
    base::TableCommit commit, base::Instant deadline);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_STORE_AWAIT_H_
