#include "../src/http_connection.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/http_server.h"
#include "test_caller.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

const std::string kRequest = "GET /s HTTP/1.1\r\nHost: g\r\n\r\n";
/// Long enough that a test ends before it on the busiest machine.
constexpr base::Duration kLong = std::chrono::seconds(60);
constexpr base::Duration kShort = std::chrono::milliseconds(20);

/// A server on one thread, which runs only while a test lets it.
class ServerFixture {
 public:
  ServerFixture() {
    this->options.address = "127.0.0.1:0";
    this->options.limits = [this] { return this->limits; };
    this->options.drain_grace = kLong;
    this->limits.idle_timeout = kLong;
    this->limits.header_timeout = kLong;
  }

  ~ServerFixture() {
    this->server->Stop();
    this->RunReady();
  }

  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  /// Starts the server with a handler for all requests.
  void Start(HttpHandler handler) {
    Router router;
    router.Add("*", "/", std::move(handler));
    base::Clock clock = base::SystemClock();
    clock.now = [this] { return this->now; };
    this->server = std::make_unique<HttpServer>(
        this->context.get_executor(), clock, this->options, std::move(router));
    REQUIRE(this->server->Start().ok());
  }

  /// Starts the server with a handler that responds at once.
  void Start() {
    this->Start([](Exchange& exchange) { return Respond(exchange); });
  }

  TestCaller& Connect() {
    this->callers.push_back(
        std::make_unique<TestCaller>(this->server->address()));
    return *this->callers.back();
  }

  /// Runs the server while another thread runs `action`.
  template <typename Action>
  auto RunDuring(Action action) {
    auto pending = std::async(std::launch::async, std::move(action));
    while (pending.wait_for(base::Duration::zero()) !=
           std::future_status::ready) {
      this->context.run_for(std::chrono::milliseconds(1));
    }
    return pending.get();
  }

  /// Runs the server until it has nothing left to do at present.
  void RunReady() {
    while (this->context.run_for(std::chrono::milliseconds(1)) > 0) continue;
  }

  /// Lets timers of kShort fire while the server stands still.
  static void AwaitTimers() { std::this_thread::sleep_for(2 * kShort); }

  /// Returns how many callers get a response to the request that they have
  /// sent.
  std::size_t CountAnswered() {
    return this->RunDuring([this] {
      std::size_t answered = 0;
      for (auto& caller : this->callers) {
        if (caller->Read().status == 200) ++answered;
      }
      return answered;
    });
  }

  static asio::awaitable<void> Respond(Exchange& exchange) {
    ResponseHead head;
    std::string body = "done";
    std::ignore = co_await exchange.Send(std::move(head), std::move(body));
  }

  asio::io_context context;
  base::Instant now{std::chrono::hours(1)};
  CallerLimits limits;
  HttpServerOptions options;
  std::unique_ptr<HttpServer> server;
  std::vector<std::unique_ptr<TestCaller>> callers;
};

// Guards against responses that promise to keep the connection and then end it,
// because the daemon began to drain meanwhile: the next request was discarded.
TEST_CASE("a drain begins while a response is sent") {
  ServerFixture fixture;
  bool is_sending = false;
  bool may_end = false;
  const auto pause = [&]() -> asio::awaitable<void> {
    asio::steady_timer timer(fixture.context);
    is_sending = true;
    while (!may_end) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(asio::use_awaitable);
    }
  };
  const auto stream = [&](Exchange& exchange) -> asio::awaitable<void> {
    ResponseHead head;
    std::ignore = co_await exchange.BeginStream(std::move(head));
    co_await pause();
    std::string part = "part";
    std::ignore = co_await exchange.WritePart(std::move(part));
    std::ignore = co_await exchange.EndStream();
  };
  fixture.Start(stream);
  auto& caller = fixture.Connect();
  caller.SendRaw(kRequest);
  while (!is_sending) fixture.context.run_one();
  fixture.server->Drain([] {});
  fixture.RunDuring([] {});
  may_end = true;
  const auto response = fixture.RunDuring([&] { return caller.Read(); });
  CHECK(response.complete);
  CHECK(response.connection.empty());
  // The caller may send as long as it hasn't seen that the connection ends.
  const auto next = fixture.RunDuring([&] {
    caller.SendRaw(kRequest);
    return caller.Read();
  });
  CHECK(next.status == 200);
  CHECK(next.complete);
  CHECK(next.connection == "close");
}

// Guards against closing connections whose requests have arrived: after a
// standstill of the process all timers are due at once, and the system reports
// the sockets that can be read only a few at a time.
TEST_CASE("requests wait in more sockets than are reported at once") {
  constexpr std::size_t kConnections = 300;
  ServerFixture fixture;
  const auto send_all = [&] {
    for (auto& caller : fixture.callers) caller->SendRaw(kRequest);
  };
  SECTION("while the idle timeout of their connections passes") {
    fixture.limits.idle_timeout = kShort;
    fixture.Start();
    for (std::size_t i = 0; i < kConnections; ++i) fixture.Connect();
    fixture.RunReady();
    ServerFixture::AwaitTimers();
    send_all();
    fixture.now += kShort;
    CHECK(fixture.CountAnswered() == kConnections);
    SECTION("which still closes the connections without one") {
      fixture.now += kShort;
      CHECK_FALSE(fixture.RunDuring(
          [&] { return fixture.callers.front()->Read().complete; }));
    }
  }
  SECTION("while the time for their header passes") {
    fixture.limits.header_timeout = kShort;
    fixture.Start();
    for (std::size_t i = 0; i < kConnections; ++i)
      fixture.Connect().SendRaw("GET /s HTTP/1.1\r\n");
    fixture.RunReady();
    ServerFixture::AwaitTimers();
    for (auto& caller : fixture.callers) caller->SendRaw("Host: g\r\n\r\n");
    fixture.now += kShort;
    CHECK(fixture.CountAnswered() == kConnections);
  }
  SECTION("while the time for their body passes") {
    fixture.options.slow_body_grace = kShort;
    fixture.Start([](Exchange& exchange) -> asio::awaitable<void> {
      constexpr std::uint64_t kMaxBytes = 100;
      const auto body = co_await exchange.ReadBody(kMaxBytes);
      if (body.ok()) co_await ServerFixture::Respond(exchange);
    });
    for (std::size_t i = 0; i < kConnections; ++i) {
      fixture.Connect().SendRaw(
          "POST /s HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\na");
    }
    fixture.RunReady();
    ServerFixture::AwaitTimers();
    for (auto& caller : fixture.callers) caller->SendRaw("b");
    fixture.now += kShort;
    CHECK(fixture.CountAnswered() == kConnections);
  }
  SECTION("while the grace period of a drain ends") {
    fixture.options.drain_grace = kShort;
    fixture.Start();
    for (std::size_t i = 0; i < kConnections; ++i) fixture.Connect();
    fixture.RunReady();
    fixture.server->Drain([] {});
    fixture.context.poll();
    ServerFixture::AwaitTimers();
    send_all();
    CHECK(fixture.CountAnswered() == kConnections);
  }
  SECTION("of connections that weren't accepted when the grace period ended") {
    fixture.options.drain_grace = {};
    fixture.Start();
    for (std::size_t i = 0; i < kConnections; ++i) fixture.Connect();
    send_all();
    fixture.server->Drain([] {});
    CHECK(fixture.CountAnswered() == kConnections);
  }
}

// Guards against closing a connection after an idle timeout that is no longer
// in force: a caller who knows the longer one sends its next request on it.
TEST_CASE("the idle timeout changes while a connection is idle") {
  using std::chrono::seconds;
  ServerFixture fixture;
  fixture.limits.idle_timeout = kShort;
  fixture.Start();
  auto& caller = fixture.Connect();
  fixture.RunReady();
  const auto pass_time = [&](base::Duration duration) {
    fixture.now += duration;
    ServerFixture::AwaitTimers();
    fixture.RunReady();
  };
  SECTION("to a longer one, which applies") {
    fixture.limits.idle_timeout = seconds(10);
    pass_time(seconds(8));
    caller.SendRaw(kRequest);
    CHECK(fixture.CountAnswered() == 1);
  }
  SECTION("to a shorter one, and the connection is closed") {
    fixture.limits.idle_timeout = kShort / 2;
    pass_time(kShort);
    caller.SendRaw(kRequest);
    CHECK(fixture.CountAnswered() == 0);
  }
}

// Guards against refusals that never reach the caller, because the timeout
// closes the connection before they are sent.
TEST_CASE("a request arrives too slowly") {
  constexpr unsigned kRequestTimeout = 408;
  ServerFixture fixture;
  fixture.limits.header_timeout = kShort;
  fixture.options.slow_body_grace = kShort;
  std::string error;
  fixture.Start([&error](Exchange& exchange) -> asio::awaitable<void> {
    constexpr std::uint64_t kMaxBytes = 100;
    const auto body = co_await exchange.ReadBody(kMaxBytes);
    if (!body.ok()) error = body.error().message;
    ResponseHead head;
    head.status = body.ok() ? 200 : kRequestTimeout;
    std::ignore = co_await exchange.Send(std::move(head), std::string());
  });
  auto& caller = fixture.Connect();
  const auto pass_time = [&] {
    fixture.RunReady();
    fixture.now += kShort;
    ServerFixture::AwaitTimers();
  };
  const auto read = [&] { return caller.Read(); };
  const std::string start = "POST /s HTTP/1.1\r\nHost: g\r\n";
  const std::string body_start = start + "Content-Length: 4\r\n\r\nab";
  SECTION("and is refused if its header isn't complete") {
    caller.SendRaw(start);
    pass_time();
    const auto response = fixture.RunDuring(read);
    CHECK(response.status == kRequestTimeout);
    CHECK(response.connection == "close");
    CHECK(error.empty());
  }
  SECTION("and is refused if its body isn't complete") {
    caller.SendRaw(body_start);
    pass_time();
    const auto response = fixture.RunDuring(read);
    CHECK(response.status == kRequestTimeout);
    CHECK(response.connection == "close");
    CHECK(error == "The body came too slowly.");
  }
  SECTION("and is served if the rest has arrived as the timeout expires") {
    caller.SendRaw(body_start);
    pass_time();
    caller.SendRaw("cd");
    CHECK(fixture.RunDuring(read).status == 200);
  }
}

// Guards against a body that never ends and that holds its request for as long
// as bytes go on arriving, because each timeout finds some that are unread.
TEST_CASE("a body goes on arriving without getting anywhere") {
  constexpr int kMaxParts = 200;
  ServerFixture fixture;
  fixture.options.slow_body_grace = kShort;
  fixture.options.min_body_bytes_per_second = std::uint64_t{1} << 40;
  std::string error;
  std::atomic<bool> is_over = false;
  fixture.Start([&](Exchange& exchange) -> asio::awaitable<void> {
    for (int i = 0; i < kMaxParts && error.empty(); ++i) {
      const auto part = co_await exchange.ReadPart();
      if (!part.ok()) error = part.error().message;
      fixture.now += kShort;
      ServerFixture::AwaitTimers();
    }
    is_over = true;
    ResponseHead head;
    head.status = 408;
    std::ignore = co_await exchange.Send(std::move(head), std::string());
  });
  auto& caller = fixture.Connect();
  caller.SendRaw(
      "POST /s HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::string chunks;
  const std::string extension(10'000, 'a');
  for (int i = 0; i < 100; ++i) chunks += "1;" + extension + "\r\nx\r\n";
  fixture.RunDuring([&] {
    while (!is_over) caller.SendRaw(chunks);
  });
  CHECK(error == "The body came too slowly.");
}

// Guards against responses that promise to keep a connection that is then
// closed, because too much of the request's body is left to discard.
TEST_CASE("a request is refused before its body is read") {
  constexpr std::size_t kSmallBytes = std::size_t{64} * 1024;
  constexpr std::size_t kLargeBytes = std::size_t{1024} * 1024;
  ServerFixture fixture;
  fixture.Start();
  auto& caller = fixture.Connect();
  const auto call = [&](std::size_t body_bytes) {
    const std::string body(body_bytes, 'x');
    return fixture.RunDuring(
        [&] { return caller.Call("POST", "/s", "", body); });
  };
  SECTION("a small body is discarded and the connection kept") {
    CHECK(call(kSmallBytes).connection.empty());
    CHECK(call(kSmallBytes).status == 200);
  }
  SECTION("a large one ends the connection, as the response says") {
    const auto response = call(kLargeBytes);
    CHECK(response.status == 200);
    CHECK(response.connection == "close");
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
