#include "gypsumtrack/platform/http_pool.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

namespace gypsumtrack::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Serves one request with a body of ten bytes, sent a byte at a time.
class SlowServer {
 public:
  /// Sends only the first `sent` bytes, each after a pause.
  SlowServer(milliseconds pause, std::size_t sent)
      : acceptor(this->context,
                 tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread([this, pause, sent] { this->Serve(pause, sent); }) {}
  ~SlowServer() {
    this->stopping = true;
    this->thread.join();
  }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  void Serve(milliseconds pause, std::size_t sent) {
    auto socket = this->acceptor.accept();
    std::string request;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                     ignored);
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")),
                ignored);
    for (std::size_t i = 0; i < sent; ++i) {
      std::this_thread::sleep_for(pause);
      asio::write(socket, asio::buffer("x", 1), ignored);
    }
    while (!this->stopping) std::this_thread::sleep_for(milliseconds(5));
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

base::Outcome<HttpReply> Get(const std::string& address, milliseconds deadline,
                             std::optional<milliseconds> transfer_deadline) {
  asio::thread_pool threads(1);
  const auto clock = base::SystemClock();
  const auto pool =
      std::make_shared<HttpPool>(threads.get_executor(), address, clock);
  HttpCall call;
  call.method = "GET";
  call.target = "/";
  call.deadline = clock.now() + deadline;
  if (transfer_deadline)
    call.transfer_deadline = clock.now() + *transfer_deadline;
  std::promise<base::Outcome<HttpReply>> done;
  pool->Send(std::move(call), [&](base::Outcome<HttpReply> reply) {
    done.set_value(std::move(reply));
  });
  auto reply = done.get_future().get();
  threads.join();
  return reply;
}

TEST_CASE("a large response on a saturated link outlasts its deadline") {
  SlowServer server(milliseconds(200), 10);
  SECTION("the transfer deadline lets it complete") {
    const auto reply =
        Get(server.Address(), milliseconds(1000), milliseconds(20'000));
    REQUIRE(reply.ok());
    CHECK(reply->body == "xxxxxxxxxx");
  }
  SECTION("without a transfer deadline the call fails") {
    const auto reply = Get(server.Address(), milliseconds(1000), std::nullopt);
    REQUIRE_FALSE(reply.ok());
    CHECK(reply.error().Is(base::Errc::kUnknown));
  }
}

TEST_CASE("a call fails when its response stalls") {
  SlowServer server(milliseconds(10), 5);
  const auto reply =
      Get(server.Address(), milliseconds(1000), milliseconds(20'000));
  CHECK_FALSE(reply.ok());
}

/// Reads requests of two calls. It answers the first one on a connection that
/// stays open, reads the second one there and closes the connection without a
/// response, then answers the attempt on a new connection with `status`.
class ForgetfulServer {
 public:
  explicit ForgetfulServer(std::string status)
      : acceptor(this->context,
                 tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread([this, status = std::move(status)] { this->Serve(status); }) {}
  ~ForgetfulServer() { this->thread.join(); }
  ForgetfulServer(const ForgetfulServer&) = delete;
  ForgetfulServer& operator=(const ForgetfulServer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  static void ReadRequest(tcp::socket& socket) {
    std::string request;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                     ignored);
  }

  static void Respond(tcp::socket& socket, const std::string& status) {
    boost::system::error_code ignored;
    asio::write(
        socket,
        asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"),
        ignored);
  }

  void Serve(const std::string& status) {
    auto kept = this->acceptor.accept();
    ReadRequest(kept);
    Respond(kept, "200 OK");
    ReadRequest(kept);
    kept.close();
    auto fresh = this->acceptor.accept();
    ReadRequest(fresh);
    Respond(fresh, status);
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::thread thread;
};

/// Sends two calls, one after the other, and returns the outcome of the second.
base::Outcome<HttpReply> SendTwice(const std::string& address) {
  asio::thread_pool threads(1);
  const auto clock = base::SystemClock();
  const auto pool =
      std::make_shared<HttpPool>(threads.get_executor(), address, clock);
  const auto send = [&] {
    HttpCall call;
    call.method = "GET";
    call.target = "/";
    call.deadline = clock.now() + milliseconds(20'000);
    std::promise<base::Outcome<HttpReply>> done;
    pool->Send(std::move(call), [&](base::Outcome<HttpReply> reply) {
      done.set_value(std::move(reply));
    });
    return done.get_future().get();
  };
  REQUIRE(send().ok());
  auto second = send();
  threads.join();
  return second;
}

TEST_CASE("a call whose first attempt got no response is sent once more") {
  SECTION("the response to the second attempt is returned") {
    ForgetfulServer server("200 OK");
    CHECK(SendTwice(server.Address()).ok());
  }
  SECTION("so is one that describes what the server holds") {
    ForgetfulServer server("412 Precondition Failed");
    const auto reply = SendTwice(server.Address());
    REQUIRE(reply.ok());
    CHECK(reply->status == 412);
  }
}

// Guards against a change that was reported as refused and takes effect: a
// server that refuses the second attempt says nothing about the first.
TEST_CASE("a refusal of the second attempt leaves the outcome unknown") {
  const std::string status =
      GENERATE("429 Too Many Requests", "503 Service Unavailable",
               "507 Insufficient Storage");
  ForgetfulServer server(status);
  const auto reply = SendTwice(server.Address());
  REQUIRE_FALSE(reply.ok());
  CHECK(reply.error().Is(base::Errc::kUnknown));
}

}  // namespace
}  // namespace gypsumtrack::platform
