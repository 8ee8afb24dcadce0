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

/// A load report as of a moment.
struct LoadSample {
  base::Instant at{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// An endpoint's state, shared by its connections. Thread-safe.
class EndpointCore {
 public:
  explicit EndpointCore(EndpointServerOptions options);

  const EndpointServerOptions options;  // NOLINT
  const base::Clock clock;              // NOLINT

  std::uint64_t OpenConnection();
  void SilenceOpen();
  bool IsSilenced(std::uint64_t connection) const;
  void SetFault(FaultPlan plan);
  /// The fault that befalls the request received now.
  FaultPlan TakeFault();
  void Record(const std::string& bytes);
  void CountExecution(const std::string& request_id);
  void Count(std::uint64_t EndpointFacts::*counter, std::uint64_t by = 1);
  /// Bytes of the prompt that must be computed.
  std::size_t UsePrompt(const std::string& prompt);
  /// Running and waiting change by these.
  std::uint32_t ChangeLoad(int running, int waiting);
  /// As it was `report_lag` ago.
  LoadSample LaggingLoad();
  /// The highest fencing number seen if the order is refused, else 0.
  std::uint64_t ApplyOrder(const boost::json::object& order);
  EndpointFacts facts() const;  // NOLINT
  bool HasRoom() const;

 private:
  mutable std::mutex mutex;
  EndpointFacts seen;
  FaultPlan plan;
  PrefixCache cache;
  std::uint64_t silenced_up_to = 0;
  std::uint64_t highest_fencing = 0;
  std::deque<LoadSample> samples;
  LoadSample current;
};

/// One connection of an endpoint.
class EndpointSession : public std::enable_shared_from_this<EndpointSession> {
 public:
  EndpointSession(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<EndpointCore> core);

  boost::asio::awaitable<void> Run();
  void Close();
  boost::asio::any_io_executor strand();  // NOLINT

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> Refuse(bool leaving);
  boost::asio::awaitable<bool> Generate(const FaultPlan& fault);
  boost::asio::awaitable<bool> StreamTokens(const FaultPlan& fault,
                                            const std::string& prompt,
                                            std::uint64_t from,
                                            std::uint64_t until);
  boost::asio::awaitable<bool> RunPlain(const FaultPlan& fault);
  boost::asio::awaitable<bool> Control();
  boost::asio::awaitable<bool> Reply(unsigned status, std::string body,
                                     std::size_t cut_bytes = 0);
  boost::asio::awaitable<bool> WriteEvent(std::string data);
  boost::asio::awaitable<bool> WriteRaw(std::string bytes);
  boost::asio::awaitable<bool> WaitForSlot();
  boost::asio::awaitable<void> Sleep(base::Duration duration);
  /// Until the caller closes the connection.
  boost::asio::awaitable<void> StandStill();
  bool CallerGone();
  std::string EventJson(const std::string& text, const char* finish);
  std::string HeaderText() const;

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<EndpointCore> core;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  std::uint64_t number = 0;
  Request request;
  std::string request_id;
  bool chat = false;
};

}  // namespace gypsumtrack::testing::detail

#endif  // GYPSUMTRACK_TESTING_SRC_ENDPOINT_SESSION_H_
