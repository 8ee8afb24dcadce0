#ifndef GYPSUMTRACK_GATEWAY_HTTP_SERVER_H_
#define GYPSUMTRACK_GATEWAY_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// HTTP/1.1 for callers and operators.
namespace gypsumtrack::gateway {

struct Header {
  std::string name;
  std::string value;
};

struct RequestHead {
  std::string method;
  /// Decoded path, without the query.
  std::string path;
  std::string query;
  /// Path and query as they came, for sending on unchanged.
  std::string target;
  std::vector<Header> headers;

  /// The first header of that name, in any case; null if there is none.
  const std::string* Find(std::string_view name) const;
};

struct ResponseHead {
  unsigned status = 200;
  std::vector<Header> headers;
};

namespace detail {
class Connection;
}  // namespace detail

/// One request and its response. Used by one coroutine at a time.
class Exchange {
 public:
  explicit Exchange(detail::Connection& connection);

  // Queries.

  const RequestHead& request() const;  // NOLINT
  /// Unique in the fleet; returned to the caller as `X-Request-Id`.
  const std::string& request_id() const;  // NOLINT
  /// Whether a byte of the response was sent.
  bool response_started() const;  // NOLINT
  /// The caller's deadline for the whole exchange.
  base::Instant deadline() const;  // NOLINT

  // Commands.

  /// The next part of the body, empty at its end. Errors: kInvalid, kTimeout,
  /// kCancelled (the caller is gone).
  boost::asio::awaitable<base::Outcome<std::string>> ReadPart();
  /// The whole body. Errors: kInvalid if it is above `limit_bytes`, and those
  /// of ReadPart.
  boost::asio::awaitable<base::Outcome<std::string>> ReadBody(
      std::uint64_t limit_bytes);

  /// Sends a whole response. Precondition: !response_started().
  boost::asio::awaitable<base::Status> Send(ResponseHead head,
                                            std::string body);
  /// Begins a response of unknown length. Precondition: !response_started().
  boost::asio::awaitable<base::Status> BeginStream(ResponseHead head);
  /// Precondition: BeginStream succeeded.
  boost::asio::awaitable<base::Status> WritePart(std::string bytes);
  /// Ends the stream, so that the caller knows the response is whole.
  boost::asio::awaitable<base::Status> EndStream();
  /// Calls `handler` at most once, on the exchange's strand, when the caller is
  /// seen to have gone before the response ended; null stops watching.
  /// Precondition: the whole body was read.
  void OnCallerDisconnect(std::function<void()> handler);
  /// Closes the connection without an end mark: the response is broken.
  void Abort();

 private:
  detail::Connection* connection;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(Exchange&)>;

/// Chooses a handler by method and the longest matching path prefix.
class Router {
 public:
  /// `method` "*" matches any. Not thread-safe; before the server starts.
  void Add(std::string method, std::string path_prefix, HttpHandler handler);
  /// Null if nothing matches. Thread-safe.
  const HttpHandler* Find(const RequestHead& request) const;

 private:
  struct Entry {
    std::string method;
    std::string path_prefix;
    HttpHandler handler;
  };
  std::vector<Entry> entries;
};

/// What a caller's connection may send and how long it may take or stay idle.
struct CallerLimits {
  std::uint64_t max_header_bytes = 16ULL * 1024;
  base::Duration idle_timeout = std::chrono::seconds(60);
  /// From a request's first byte to the end of its header.
  base::Duration header_timeout = std::chrono::seconds(10);
};

struct HttpServerOptions {
  /// `ip:port`; port 0 takes a free one.
  std::string address;
  /// Header of each response that holds its request id; empty for none.
  std::string request_id_header = "X-Request-Id";
  /// Limits that change while the server runs; null keeps those below. Called
  /// for each request, from any thread.
  std::function<CallerLimits()> limits;
  std::uint64_t max_header_bytes = 16ULL * 1024;
  std::uint32_t max_connections = 4096;
  base::Duration idle_timeout = std::chrono::seconds(60);
  base::Duration request_timeout = std::chrono::seconds(120);
  /// From a request's first byte to the end of its header.
  base::Duration header_timeout = std::chrono::seconds(10);
  /// Slower bodies are dropped once `slow_body_grace` is over.
  std::uint64_t min_body_bytes_per_second = 512;
  base::Duration slow_body_grace = std::chrono::seconds(5);
  /// How long idle connections and the listener stay open once draining, for
  /// requests that are already on their way.
  base::Duration drain_grace = std::chrono::seconds(1);
};

/// Accepts connections and runs their exchanges on `executor`.
class HttpServer {
 public:
  HttpServer(const boost::asio::any_io_executor& executor, base::Clock clock,
             HttpServerOptions options, Router router);
  ~HttpServer();

  /// Binds and accepts. Errors: kUnavailable.
  base::Status Start();
  /// The bound `ip:port`. Precondition: Start succeeded. Thread-safe.
  std::string address() const;  // NOLINT
  /// Accepts no more, lets each open exchange end, then calls `done` once.
  /// Thread-safe.
  void Drain(std::function<void()> done);
  /// Closes all connections at once. Thread-safe.
  void Stop();

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_HTTP_SERVER_H_
