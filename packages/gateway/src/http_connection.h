#ifndef GYPSUMTRACK_GATEWAY_SRC_HTTP_CONNECTION_H_
#define GYPSUMTRACK_GATEWAY_SRC_HTTP_CONNECTION_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gypsumtrack/gateway/error_reply.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/platform/bounded_parser.h"
#include "watchdog.h"

/// Connections of the HTTP server.
namespace gypsumtrack::gateway::detail {

/// State that all connections of a server share.
struct ServerContext {
  base::Clock clock;
  HttpServerOptions options;
  Router router;
  /// Random prefix that makes request ids unique among processes.
  std::string id_prefix;
  std::atomic<std::uint64_t> next_id{0};
  /// Set by HttpServer::Drain: responses don't keep connections alive.
  std::atomic<bool> draining{false};
  /// Set at the end of `drain_grace`: connections don't wait for more requests.
  std::atomic<bool> drain_grace_over{false};

  /// Returns the current limits. Thread-safe.
  CallerLimits Limits() const {
    if (this->options.limits) return this->options.limits();
    return {this->options.max_header_bytes, this->options.idle_timeout,
            this->options.header_timeout};
  }
};

/// A caller's connection. Serves one exchange at a time, on its own strand.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket,
             std::shared_ptr<ServerContext> context);
  ~Connection();

  /// Makes a connection that is charged to the account of the options.
  static std::shared_ptr<Connection> Make(
      boost::asio::ip::tcp::socket socket,
      std::shared_ptr<ServerContext> context);

  /// Serves exchanges until either side ends the connection.
  boost::asio::awaitable<void> Run();
  /// Responds that there are too many connections, and closes.
  boost::asio::awaitable<void> Refuse();
  /// Closes the connection if it waits for a request and none has arrived. Must
  /// be called on the strand.
  void CloseIfIdle();
  /// Closes the connection if it still waits for the rest of a head. Must be
  /// called on the strand.
  void CloseIfAwaitsHead();
  /// Since when it has waited for a whole head, or kNever if it serves a
  /// request or was chosen to be closed. Thread-safe.
  base::Instant awaits_head_since() const {  // NOLINT
    return base::Instant(base::Duration(this->head_awaited_since.load()));
  }
  /// Excludes the connection from further choices. Thread-safe.
  void OnChosenToClose() { this->SetAwaitsHead(base::kNever); }
  /// Closes the connection. Must be called on the strand.
  void Close();
  /// The strand on which the connection runs.
  boost::asio::any_io_executor strand();  // NOLINT

  // Implementation of the methods of Exchange with the same names.

  const RequestHead& request() const { return this->head; }           // NOLINT
  const std::string& request_id() const { return this->id; }          // NOLINT
  bool response_started() const { return this->started; }             // NOLINT
  base::Instant deadline() const { return this->exchange_deadline; }  // NOLINT
  boost::asio::awaitable<base::Outcome<std::string>> ReadPart();
  bool TryHold(std::uint64_t bytes);
  /// Waits a moment for room for a part of the body. Returns whether there is.
  boost::asio::awaitable<bool> HoldBody(std::uint64_t bytes);
  /// The length of the body by the head of the request; none if it is in
  /// chunks.
  std::optional<std::uint64_t> DeclaredBodyBytes() const;
  boost::asio::awaitable<base::Status> Send(ResponseHead response_head,
                                            std::string body);
  boost::asio::awaitable<base::Status> BeginStream(ResponseHead response_head);
  boost::asio::awaitable<base::Status> WritePart(std::string bytes);
  boost::asio::awaitable<base::Status> EndStream();
  void Abort();
  void OnCallerDisconnect(std::function<void()> handler);

 private:
  using Parser =
      platform::BoundedRequestParser<boost::beast::http::buffer_body>;

  /// What the connection waits for.
  enum class Awaited {
    kRequest,  ///< the first byte of a request
    kInput,    ///< more bytes of a request
    kOther,
  };

  void OnTimeout();
  /// When the connection has been idle too long, by the limits in force now.
  base::Instant IdleDeadline() const;
  /// Sets when input is too late. Once that has passed, what had arrived by
  /// then is read until `late_input_until`, which later input doesn't move.
  void SetInputDeadline(base::Instant deadline);
  /// Whether to read on: until the body is too slow, and then what had arrived.
  bool MayReadBody();
  /// Whether the caller has sent bytes that aren't read yet.
  bool HasUnreadInput() const;

  /// Serves one exchange; returns whether the connection stays open.
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ReadHead();
  boost::asio::awaitable<void> RefuseHead(boost::system::error_code error);
  boost::asio::awaitable<void> RunHandler();
  boost::asio::awaitable<bool> FinishExchange();
  boost::asio::awaitable<void> LingeringClose();
  boost::asio::awaitable<boost::system::error_code> WriteContinue();
  void AddRequestId(boost::beast::http::fields& fields) const;
  void SetAwaitsHead(base::Instant since) {
    this->head_awaited_since.store(since.time_since_epoch().count());
  }
  /// Frees what was held for the last request.
  void ReleaseRequest();
  /// Returns whether there is room for the head and charges it if so.
  bool HoldHead();
  /// Waits until the caller has sent something.
  boost::asio::awaitable<boost::system::error_code> WaitForInput();
  /// Sends a refusal to a request whose head finds no room.
  boost::asio::awaitable<void> RefuseForMemory();
  /// Sends a refusal and closes.
  boost::asio::awaitable<void> RefuseAndClose(ErrorReply error);
  /// Prepares to write that many bytes that the caller may not read.
  void BeginWrite(std::uint64_t bytes);
  /// Disables the watchdog and converts the result of a write.
  base::Status HandleWriteResult(boost::system::error_code error);
  /// Fills in `head`; returns false if the target is invalid.
  bool ParseHead();
  /// Prepares to read input, with the deadline of the watchdog.
  void BeginRead();
  /// Whether a response that begins now may say that the connection stays open.
  bool MayKeepAlive() const;
  /// Returns when the body is too slow, if no more of it is received.
  base::Instant BodyDeadline() const;
  void WatchForDisconnect();
  /// Reads ahead, or finds that the caller disconnected.
  void OnReadable(std::uint64_t exchange);
  void HandleCallerDisconnect();

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<ServerContext> context;
  std::shared_ptr<Watchdog> watchdog;
  boost::beast::flat_buffer buffer;
  std::optional<ClientAccount::Holder> held;
  std::atomic<base::Duration::rep> head_awaited_since{
      base::kNever.time_since_epoch().count()};
  std::optional<Parser> parser;
  RequestHead head;
  std::string id;
  base::Instant exchange_deadline = base::kNever;
  base::Instant body_started_at{};
  /// When it began to wait for a request.
  base::Instant idle_since{};
  /// Set once the deadline of input has passed while some was unread.
  std::optional<base::Instant> late_input_until;
  std::uint64_t body_bytes = 0;
  /// Incremented when an exchange begins and ends, so that a late readiness
  /// event of an earlier exchange is recognised and ignored.
  std::uint64_t exchange_number = 0;
  std::function<void()> on_caller_disconnect;
  /// Whether the caller expects `100 Continue` before it sends the body.
  bool continue_pending = false;
  Awaited awaited = Awaited::kOther;
  /// Whether the head of the current request was read, or its reading failed.
  bool has_head = false;
  /// Whether input that the connection read for came too slowly.
  bool input_timed_out = false;
  /// Whether sending of the response has begun.
  bool started = false;
  /// Whether the response was begun by BeginStream.
  bool streaming = false;
  /// Whether the response was sent or aborted.
  bool ended = false;
  /// Whether the head of the response says that the connection stays open. A
  /// drain that begins later doesn't change it: the caller may send its next
  /// request at once.
  bool keeps_alive = false;
  /// Whether the connection can't be kept alive after this exchange.
  bool must_close = false;
};

}  // namespace gypsumtrack::gateway::detail

#endif  // GYPSUMTRACK_GATEWAY_SRC_HTTP_CONNECTION_H_
