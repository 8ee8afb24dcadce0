#include "gypsumtrack/testing/raw_endpoint.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <tuple>
#include <utility>

#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
/// How long a connection stays open after RawEnd::kFinish.
constexpr base::Duration kFinishedTime = std::chrono::seconds(2);

}  // namespace

/// Acceptor, script and records of the endpoint, kept alive by its coroutines.
class RawEndpoint::State : public std::enable_shared_from_this<State> {
 public:
  explicit State(const asio::any_io_executor& executor)
      : strand(asio::make_strand(executor)), acceptor(this->strand) {}

  base::Status Start() {
    error_code error;
    const tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);
    this->acceptor.open(any_port.protocol(), error);
    if (!error) this->acceptor.bind(any_port, error);
    if (!error) this->acceptor.listen(tcp::acceptor::max_listen_connections);
    if (error) return base::Error(base::Errc::kUnavailable, error.message());
    this->port = this->acceptor.local_endpoint(error).port();
    asio::co_spawn(
        this->strand,
        [self = this->shared_from_this()] { return self->AcceptLoop(); },
        asio::detached);
    return base::Done{};
  }

  void Stop() {
    asio::post(this->strand, [self = this->shared_from_this()] {
      error_code ignored;
      self->acceptor.close(ignored);
    });
  }

  void SetResponses(std::vector<RawResponse> next) {
    const std::lock_guard lock(this->mutex);
    this->responses = std::move(next);
    this->next_response = 0;
    this->responder = nullptr;
  }

  void SetResponder(std::function<RawResponse(const RawRequest&)> next) {
    const std::lock_guard lock(this->mutex);
    this->responder = std::move(next);
  }

  void SetReadPause(base::Duration pause) {
    const std::lock_guard lock(this->mutex);
    this->read_pause = pause;
  }

  void AnswerBeforeBody() { this->answers_before_body = true; }

  std::string address() const {  // NOLINT
    return "127.0.0.1:" + std::to_string(this->port);
  }

  std::vector<RawRequest> requests() const {  // NOLINT
    const std::lock_guard lock(this->mutex);
    return this->received;
  }

  std::uint64_t endless_bytes() const { return this->endless_sent; }  // NOLINT

 private:
  asio::awaitable<void> AcceptLoop() {
    std::uint64_t connections = 0;
    while (this->acceptor.is_open()) {
      auto [error, accepted] =
          co_await this->acceptor.async_accept(this->strand, kAwaitTuple);
      if (error) continue;
      ++connections;
      auto socket = std::make_shared<tcp::socket>(std::move(accepted));
      auto serve = [self = this->shared_from_this(), socket, connections] {
        return self->Serve(socket, connections);
      };
      asio::co_spawn(this->strand, std::move(serve), asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket,
                              std::uint64_t connection) {
    const auto pause = this->ReadPause();
    if (pause > base::Duration::zero()) co_await gateway::Pause(pause);
    boost::beast::flat_buffer buffer;
    bool open = true;
    while (open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      error_code error;
      if (this->answers_before_body) {
        std::tie(error, std::ignore) = co_await http::async_read_header(
            *socket, buffer, parser, kAwaitTuple);
      } else {
        std::tie(error, std::ignore) =
            co_await http::async_read(*socket, buffer, parser, kAwaitTuple);
      }
      if (error) co_return;
      const auto& request = parser.get();
      const auto response =
          this->NextResponse({connection, std::string(request.target()),
                              std::string(request["Last-Event-Id"])});
      open = co_await this->Respond(*socket, response);
      open = open && !this->answers_before_body;
    }
  }

  base::Duration ReadPause() const {
    const std::lock_guard lock(this->mutex);
    return this->read_pause;
  }

  RawResponse NextResponse(RawRequest request) {
    const std::lock_guard lock(this->mutex);
    this->received.push_back(std::move(request));
    if (this->responder) return this->responder(this->received.back());
    if (this->responses.empty()) return {};
    const auto index = this->next_response;
    if (index + 1 < this->responses.size()) ++this->next_response;
    return this->responses[index];
  }

  /// Returns whether the connection can serve another request.
  asio::awaitable<bool> Respond(tcp::socket& socket,
                                const RawResponse& response) {
    auto [error, size] = co_await asio::async_write(
        socket, asio::buffer(response.bytes), kAwaitTuple);
    if (error) co_return false;
    if (!response.endless.empty()) {
      co_await this->SendEndless(socket, response);
      co_return false;
    }
    if (response.end_pause > base::Duration::zero())
      co_await gateway::Pause(response.end_pause);
    if (response.end == RawEnd::kKeepOpen) co_return true;
    if (response.end == RawEnd::kFinish) {
      socket.shutdown(tcp::socket::shutdown_send, error);
      co_await gateway::Pause(kFinishedTime);
    }
    if (response.end == RawEnd::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    socket.close(error);
    co_return false;
  }

  /// Sends until the caller closes the connection.
  asio::awaitable<void> SendEndless(tcp::socket& socket,
                                    const RawResponse& response) {
    error_code error;
    std::uint64_t sent = 0;
    while (!error && sent < kMaxEndlessBytes) {
      if (response.endless_pause > base::Duration::zero())
        co_await gateway::Pause(response.endless_pause);
      std::size_t size = 0;
      std::tie(error, size) = co_await asio::async_write(
          socket, asio::buffer(response.endless), kAwaitTuple);
      sent += size;
      this->endless_sent += size;
    }
    char byte = 0;
    while (!error) {
      std::tie(error, std::ignore) =
          co_await socket.async_read_some(asio::buffer(&byte, 1), kAwaitTuple);
    }
  }

  asio::any_io_executor strand;
  tcp::acceptor acceptor;
  std::uint16_t port = 0;
  std::atomic<std::uint64_t> endless_sent = 0;
  std::atomic<bool> answers_before_body = false;
  mutable std::mutex mutex;
  base::Duration read_pause{0};
  std::vector<RawResponse> responses;
  std::size_t next_response = 0;
  std::function<RawResponse(const RawRequest&)> responder;
  std::vector<RawRequest> received;
};

RawEndpoint::RawEndpoint(const asio::any_io_executor& executor)
    : state(std::make_shared<State>(executor)) {}

RawEndpoint::~RawEndpoint() { this->state->Stop(); }

base::Status RawEndpoint::Start() { return this->state->Start(); }

void RawEndpoint::SetResponses(std::vector<RawResponse> responses) {
  this->state->SetResponses(std::move(responses));
}

void RawEndpoint::SetReadPause(base::Duration pause) {
  this->state->SetReadPause(pause);
}

void RawEndpoint::SetResponder(
    std::function<RawResponse(const RawRequest&)> responder) {
  this->state->SetResponder(std::move(responder));
}

void RawEndpoint::AnswerBeforeBody() { this->state->AnswerBeforeBody(); }

std::string RawEndpoint::address() const { return this->state->address(); }

std::vector<RawRequest> RawEndpoint::requests() const {
  return this->state->requests();
}

std::uint64_t RawEndpoint::endless_bytes() const {
  return this->state->endless_bytes();
}

}  // namespace gypsumtrack::testing
