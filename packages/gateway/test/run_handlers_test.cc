#include "../src/run_handlers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/throw_exception.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <new>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Socket = asio::local::stream_protocol::socket;

/// Reads one response with a parser that throws for a long field.
asio::awaitable<void> ReadResponse(std::shared_ptr<Socket> socket,
                                   std::string& body) {
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  co_await http::async_read(*socket, buffer, parser, asio::use_awaitable);
  body = parser.get().body();
}

asio::awaitable<void> WriteAll(std::shared_ptr<Socket> socket,
                               std::string bytes) {
  co_await asio::async_write(*socket, asio::buffer(bytes),
                             asio::as_tuple(asio::use_awaitable));
}

// Guards against a daemon that ends, with all its requests, because one handler
// throws.
TEST_CASE("an exception of a library ends one operation") {
  asio::io_context context;
  std::vector<std::string> reasons;
  const auto run = [&] {
    RunHandlers(context,
                [&](const auto& reason) { reasons.push_back(reason); });
  };
  SECTION("other handlers of the same thread go on") {
    int handled = 0;
    for (int i = 0; i < 3; ++i) {
      asio::post(context,
                 [] { BOOST_THROW_EXCEPTION(std::length_error("too long")); });
      asio::post(context, [&] { ++handled; });
    }
    run();
    CHECK(handled == 3);
    CHECK(reasons == std::vector<std::string>(3, "too long"));
  }
  SECTION("its connection is closed, and another one served") {
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0"
        "\r\n";
    const auto trailer = "X: " + std::string(66'000, 'x') + "\r\n";
    std::vector<std::shared_ptr<Socket>> endpoints;
    std::vector<std::string> bodies(2);
    for (auto& body : bodies) {
      auto reader = std::make_shared<Socket>(context);
      endpoints.push_back(std::make_shared<Socket>(context));
      asio::local::connect_pair(*reader, *endpoints.back());
      asio::co_spawn(context, ReadResponse(std::move(reader), body),
                     asio::detached);
    }
    asio::co_spawn(context, WriteAll(endpoints[0], head + trailer + "\r\n"),
                   asio::detached);
    asio::co_spawn(context, WriteAll(endpoints[1], head + "\r\n"),
                   asio::detached);
    run();
    CHECK(reasons == std::vector<std::string>{"field value too large"});
    CHECK(bodies == std::vector<std::string>{"", "text"});
    char byte = 0;
    boost::system::error_code error;
    asio::read(*endpoints[0], asio::buffer(&byte, 1), error);
    CHECK(error);
  }
  SECTION("lack of memory is not hidden") {
    asio::post(context, [] { BOOST_THROW_EXCEPTION(std::bad_alloc()); });
    CHECK_THROWS_AS(run(), std::bad_alloc);
    CHECK(reasons.empty());
  }
  SECTION("neither is a broken invariant") {
    asio::post(context, [] { std::ignore = std::vector<int>().at(0); });
    CHECK_THROWS_AS(run(), std::out_of_range);
    CHECK(reasons.empty());
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
