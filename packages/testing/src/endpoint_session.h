#ifndef GYPSUMTRACK_TESTING_SRC_ENDPOINT_SESSION_H_
#define GYPSUMTRACK_TESTING_SRC_ENDPOINT_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gypsumtrack/testing/endpoint_server.h"

namespace gypsumtrack::testing::detail {

/// The load of an endpoint at one time.
struct LoadSample {
  base::Instant at{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// State of an endpoint, shared by its connections. Thread-safe.
class EndpointCore {
 public:
  /// Starts with the models of `options` loaded.
  explicit EndpointCore(EndpointServerOptions options);

  const EndpointServerOptions options;  // NOLINT
  const base::Clock clock;              // NOLINT

  /// Counts a new connection and returns its number, from 1.
  std::uint64_t OpenConnection();
  /// Marks the connections opened so far as silenced.
  void SilenceOpenConnections();
  /// Whether this connection gets no more responses.
  bool IsSilenced(std::uint64_t connection) const;
  /// Replaces the fault to inject.
  void SetFault(FaultPlan plan);
  /// The fault to inject into the current request; counts it down.
  FaultPlan TakeFault();
  /// Counts a request and adds its bytes to the transcript.
  void RecordRequest(const std::string& bytes);
  /// Counts an execution of a request.
  void CountExecution(const std::string& request_id);
  /// Increments a counter.
  void Count(std::uint64_t EndpointFacts::*counter,
             std::uint64_t increment = 1);
  /// Caches the prompt and returns the number of its bytes not cached before.
  std::size_t CachePrompt(const std::string& prompt);
  /// Adds to the running and waiting requests; returns those running.
  std::uint32_t ChangeLoad(int running, int waiting);
  /// The load as of `report_lag` ago.
  LoadSample DelayedLoad();
  /// Returns 0, or the highest fencing number received if the order is
  /// rejected.
  std::uint64_t ApplyOrder(const boost::json::object& order);
  /// A copy of the counters and records.
  EndpointFacts facts() const;  // NOLINT
  /// Whether one more request can run.
  bool HasFreeSlot() const;

 private:
  mutable std::mutex mutex;
  EndpointFacts recorded;
  FaultPlan plan;
  PrefixCache cache;
  std::uint64_t last_silenced_connection = 0;
  std::uint64_t highest_fencing = 0;
  std::deque<LoadSample> load_history;
  LoadSample current_load;
};

/// A connection to an endpoint. Runs on its own strand.
class EndpointSession : public std::enable_shared_from_this<EndpointSession> {
 public:
  /// Takes over an accepted socket.
  EndpointSession(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<EndpointCore> core);

  /// Serves requests until the connection closes.
  boost::asio::awaitable<void> Run();
  /// Closes the connection. Must be called on the strand.
  void Close();
  /// The strand that the session runs on.
  boost::asio::any_io_executor strand();  // NOLINT

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  // Returns of bool: whether the connection can serve another request.

  /// Reads a request and responds to it.
  boost::asio::awaitable<bool> ServeOne();
  /// Responds 503 without running the request.
  boost::asio::awaitable<bool> Refuse(bool draining);
  /// Runs a completion request once a slot is free.
  boost::asio::awaitable<bool> Generate(const FaultPlan& fault);
  /// Streams the tokens [first_token, end_token) and the end of the response.
  boost::asio::awaitable<bool> StreamTokens(const FaultPlan& fault,
                                            const std::string& prompt,
                                            std::uint64_t first_token,
                                            std::uint64_t end_token);
  /// Executes a request to the plain service.
  boost::asio::awaitable<bool> RunPlainService(const FaultPlan& fault);
  /// Handles /load, /orders and the routes under /control.
  boost::asio::awaitable<bool> HandleControl();
  /// Sends a JSON response without its last `cut_bytes` bytes.
  boost::asio::awaitable<bool> Reply(unsigned status, std::string body,
                                     std::size_t cut_bytes = 0);
  /// Returns whether the event was written.
  boost::asio::awaitable<bool> WriteEvent(std::string data);
  /// Returns whether the bytes were written.
  boost::asio::awaitable<bool> WriteRaw(std::string bytes);
  /// Waits for a free slot; false if the caller disconnects first.
  boost::asio::awaitable<bool> WaitForSlot();
  /// Returns at once if `duration` is not positive.
  boost::asio::awaitable<void> Sleep(base::Duration duration);
  /// Reads and discards bytes until the caller closes the connection.
  boost::asio::awaitable<void> DiscardInput();
  /// Checks without blocking whether the caller has closed the connection.
  bool CallerDisconnected();
  /// A streamed event; `finish` is its finish_reason, or null.
  std::string EventJson(const std::string& text, const char* finish);
  /// Request line, headers and body, for the transcript.
  std::string HeaderText() const;

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<EndpointCore> core;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  std::uint64_t connection_number = 0;
  Request request;
  std::string request_id;
  bool chat = false;
};

}  // namespace gypsumtrack::testing::detail

#endif  // GYPSUMTRACK_TESTING_SRC_ENDPOINT_SESSION_H_
