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
#include "gypsumtrack/gateway/client_account.h"

/// HTTP/1.1 server for callers and operators.
namespace gypsumtrack::gateway {

/// A header field of a request or response.
struct Header {
  std::string name;
  std::string value;
};

/// The request line and headers of a request.
struct RequestHead {
  std::string method;
  /// Percent-decoded path, without the query.
  std::string path;
  /// The query as received, without the `?`.
  std::string query;
  /// Path and query as received, for forwarding unchanged.
  std::string target;
  std::vector<Header> headers;

  /// Returns the value of the first header with that name, compared without
  /// regard to case; null if there is none.
  const std::string* Find(std::string_view name) const;
};

/// The status and headers of a response.
struct ResponseHead {
  unsigned status = 200;
  std::vector<Header> headers;
};

namespace detail {
class Connection;
}  // namespace detail

/// One request and its response. Not thread-safe: must be used by one coroutine
/// at a time, on the strand of its connection.
class Exchange {
 public:
  /// Precondition: the connection outlives the exchange.
  explicit Exchange(detail::Connection& connection);

  // Queries.

  /// The head of the request.
  const RequestHead& request() const;  // NOLINT
  /// Unique among all daemons; returned to the caller in
  /// HttpServerOptions::request_id_header.
  const std::string& request_id() const;  // NOLINT
  /// Whether sending of the response has begun.
  bool response_started() const;  // NOLINT
  /// When the whole exchange should be over: HttpServerOptions::request_timeout
  /// after the server starts to read the header.
  base::Instant deadline() const;  // NOLINT

  // Commands.

  /// Reads the next part of the body; empty at the end of the body. Errors:
  /// kInvalid (malformed), kTimeout (sent too slowly), kCancelled (the caller
  /// disconnected).
  boost::asio::awaitable<base::Outcome<std::string>> ReadPart();
  /// Reads the whole body. Errors: kInvalid if it is larger than `limit_bytes`,
  /// kOverload if the process has no room for it, and those of ReadPart.
  boost::asio::awaitable<base::Outcome<std::string>> ReadBody(
      std::uint64_t limit_bytes);
  /// Returns whether the process has room for that many bytes more that are
  /// made of the request. They are charged until the exchange ends.
  bool TryHold(std::uint64_t bytes);

  /// Sends a complete response. Precondition: !response_started(). Errors, also
  /// of the other methods that write: kCancelled (the caller disconnected).
  boost::asio::awaitable<base::Status> Send(ResponseHead head,
                                            std::string body);
  /// Sends the head of a response of unknown length. Precondition:
  /// !response_started().
  boost::asio::awaitable<base::Status> BeginStream(ResponseHead head);
  /// Sends a part of the body. Precondition: BeginStream succeeded.
  boost::asio::awaitable<base::Status> WritePart(std::string bytes);
  /// Sends the end mark of the body, which tells the caller that the response
  /// is complete. Precondition: BeginStream succeeded.
  boost::asio::awaitable<base::Status> EndStream();
  /// Calls `handler` at most once, on the strand of the connection, if the
  /// caller is found to have disconnected before the response ended. Null
  /// removes the handler. Precondition: the whole body was read.
  void OnCallerDisconnect(std::function<void()> handler);
  /// Closes the connection without an end mark, so that the caller sees an
  /// incomplete response.
  void Abort();

 private:
  detail::Connection* connection;
};

/// Serves one exchange. If it returns without a response, the server sends 500.
using HttpHandler = std::function<boost::asio::awaitable<void>(Exchange&)>;

/// Selects the handler whose method matches and whose path prefix is the
/// longest match.
class Router {
 public:
  /// Adds a handler; `method` "*" matches any method. Not thread-safe: must be
  /// called before the server starts.
  void Add(std::string method, std::string path_prefix, HttpHandler handler);
  /// Returns null if no handler matches. Thread-safe once the server has
  /// started.
  const HttpHandler* Find(const RequestHead& request) const;

 private:
  struct Entry {
    std::string method;
    std::string path_prefix;
    HttpHandler handler;
  };
  std::vector<Entry> entries;
};

/// Limits on the header size and the idle times of a caller's connection.
struct CallerLimits {
  std::uint64_t max_header_bytes = 16ULL * 1024;
  base::Duration idle_timeout = std::chrono::seconds(60);
  /// Maximum time from the first byte of a request to the end of its header.
  base::Duration header_timeout = std::chrono::seconds(10);
};

/// Settings of an HttpServer.
struct HttpServerOptions {
  /// `ip:port`; port 0 selects a free port.
  std::string address;
  /// Response header that carries the request id; empty for none.
  std::string request_id_header = "X-Request-Id";
  /// Returns limits that may change while the server runs; if null, the fixed
  /// limits below apply. Called for each request, from any thread.
  std::function<CallerLimits()> limits;
  std::uint64_t max_header_bytes = 16ULL * 1024;
  /// A connection that waits for a request is closed in favour of a new one
  /// beyond this number.
  std::uint32_t max_connections = 4096;
  /// Charged for what connections hold; null if nothing limits that.
  std::shared_ptr<ClientAccount> client_account;
  /// Maximum idle time between requests and between parts of a request body,
  /// and maximum time of one write.
  base::Duration idle_timeout = std::chrono::seconds(60);
  /// Sets Exchange::deadline, which handlers enforce.
  base::Duration request_timeout = std::chrono::seconds(120);
  /// Maximum time from the first byte of a request to the end of its header.
  base::Duration header_timeout = std::chrono::seconds(10);
  /// Minimum mean rate of a body after `slow_body_grace`; reading a slower body
  /// fails with kTimeout. 0 disables the check.
  std::uint64_t min_body_bytes_per_second = 512;
  base::Duration slow_body_grace = std::chrono::seconds(5);
  /// How long idle connections and the listener stay open after Drain, so that
  /// requests already in flight are still served.
  base::Duration drain_grace = std::chrono::seconds(1);
};

/// Accepts connections and serves their exchanges on an executor.
class HttpServer {
 public:
  /// Creates a server that doesn't listen yet; see Start.
  HttpServer(const boost::asio::any_io_executor& executor, base::Clock clock,
             HttpServerOptions options, Router router);
  /// Stops the server.
  ~HttpServer();

  /// Binds the address and starts to accept connections. Errors: kInvalid (the
  /// address can't be parsed), kUnavailable (it can't be bound).
  base::Status Start();
  /// The bound `ip:port`. Precondition: Start succeeded. Thread-safe.
  std::string address() const;  // NOLINT
  /// Stops accepting after HttpServerOptions::drain_grace, lets open exchanges
  /// finish, then calls `done` once, on the strand of the server. Thread-safe.
  void Drain(std::function<void()> done);
  /// Closes the listener and all connections, without waiting for exchanges.
  /// Thread-safe.
  void Stop();

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_HTTP_SERVER_H_
