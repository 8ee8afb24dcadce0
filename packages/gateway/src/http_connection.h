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
#include "watchdog.h"

namespace gypsumtrack::gateway::detail {

/// What all connections of a server share.
struct ServerContext {
  base::Clock clock;
  HttpServerOptions options;
  Router router;
  /// Makes request ids unique among processes.
  std::string id_prefix;
  std::atomic<std::uint64_t> next_id{0};
  std::atomic<bool> draining{false};
  std::atomic<bool> grace_over{false};

  CallerLimits Limits() const {
    if (this->options.limits) return this->options.limits();
    return {this->options.max_header_bytes, this->options.idle_timeout,
            this->options.header_timeout};
  }
};

/// A caller's connection: one exchange at a time, all on one strand.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket,
             std::shared_ptr<ServerContext> context);
  ~Connection();

  /// Serves exchanges until either side ends the connection.
  boost::asio::awaitable<void> Run();
  /// Answers that there are too many connections.
  boost::asio::awaitable<void> Refuse();
  /// Closes it if it waits for a request. Called on the strand.
  void CloseIfIdle();
  /// Called on the strand.
  void Close();
  boost::asio::any_io_executor strand();  // NOLINT

  const RequestHead& request() const { return this->head; }     // NOLINT
  const std::string& request_id() const { return this->id; }    // NOLINT
  bool response_started() const { return this->started; }       // NOLINT
  base::Instant deadline() const { return this->must_end_by; }  // NOLINT
  boost::asio::awaitable<base::Outcome<std::string>> ReadPart();
  boost::asio::awaitable<base::Status> Send(ResponseHead out, std::string body);
  boost::asio::awaitable<base::Status> BeginStream(ResponseHead out);
  boost::asio::awaitable<base::Status> WritePart(std::string bytes);
  boost::asio::awaitable<base::Status> EndStream();
  void Abort();
  void OnCallerDisconnect(std::function<void()> handler);

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ReadHead();
  boost::asio::awaitable<void> RefuseHead(boost::system::error_code error);
  boost::asio::awaitable<void> RunHandler();
  boost::asio::awaitable<bool> FinishExchange();
  boost::asio::awaitable<void> CloseGently();
  boost::asio::awaitable<boost::system::error_code> WriteContinue();
  void AddRequestId(boost::beast::http::fields& to) const;
  base::Status FromWrite(boost::system::error_code error);
  bool TakeHead();
  bool KeepAlive() const;
  base::Instant BodyDeadline() const;
  void WatchCaller();
  void OnReadable(std::uint64_t exchange);
  void CallerGone();

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<ServerContext> context;
  std::shared_ptr<Watchdog> watchdog;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  RequestHead head;
  std::string id;
  base::Instant must_end_by = base::kNever;
  base::Instant body_began{};
  std::uint64_t body_bytes = 0;
  /// Counts exchanges, so that a late readiness event is told from a new one.
  std::uint64_t exchange_count = 0;
  std::function<void()> on_gone;
  bool continue_pending = false;
  bool waiting = false;
  bool started = false;
  bool streaming = false;
  bool ended = false;
  bool broken = false;
};

}  // namespace gypsumtrack::gateway::detail

#endif  // GYPSUMTRACK_GATEWAY_SRC_HTTP_CONNECTION_H_
