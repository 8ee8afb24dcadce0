#include "gypsumtrack/platform/bounded_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <string>

namespace gypsumtrack::platform {
namespace {

namespace http = boost::beast::http;
using Parser = BoundedResponseParser<http::string_body>;

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead =
    kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n";

/// Parses the whole text. Returns the error, if any.
boost::beast::error_code Parse(Parser& parser, const std::string& text) {
  parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  parser.eager(true);
  boost::beast::error_code error;
  std::size_t at = 0;
  while (at < text.size() && !error && !parser.is_done()) {
    at += parser.put(boost::asio::buffer(text.data() + at, text.size() - at),
                     error);
  }
  return error;
}

std::string Line(std::size_t value_bytes) {
  return "X: " + std::string(value_bytes, 'x') + "\r\n";
}

// Guards against a daemon that ends because the parser throws for a field of
// 64 KB out of a handler of the I/O context.
TEST_CASE("a field that can't be stored is an error") {
  Parser parser;
  SECTION("in a head, over the limit") {
    const auto text = kHead + Line(kMaxFieldBytes + 1) + "\r\n";
    CHECK(Parse(parser, text) == http::error::header_limit);
  }
  SECTION("but not just under it or at it") {
    for (const auto bytes : {kMaxFieldBytes - 1, kMaxFieldBytes}) {
      Parser sound;
      const auto text = kHead + Line(bytes) + "Content-Length: 0\r\n\r\n";
      CHECK_FALSE(Parse(sound, text));
      CHECK(sound.is_done());
      CHECK(sound.get()["X"].size() == bytes);
    }
  }
  SECTION("so is a name") {
    const std::string name(kMaxFieldBytes + 1, 'x');
    CHECK(Parse(parser, kHead + name + ": 1\r\n\r\n") ==
          http::error::header_limit);
  }
}

TEST_CASE("a trailer is read and dropped") {
  Parser parser;
  SECTION("up to its limit, and the body is whole") {
    for (const auto bytes : {std::size_t{1}, kMaxFieldBytes}) {
      Parser sound;
      CHECK_FALSE(Parse(sound, kChunkedHead + Line(bytes) + "\r\n"));
      CHECK(sound.is_done());
      CHECK(sound.get().body() == "text");
      CHECK(sound.get().count("X") == 0);
    }
  }
  SECTION("a field that is too large is an error") {
    const auto text = kChunkedHead + Line(kMaxFieldBytes + 1) + "\r\n";
    CHECK(Parse(parser, text) == http::error::header_limit);
  }
  SECTION("so are many fields that are too large together") {
    const std::size_t line_bytes = 1024;
    const std::size_t bytes_counted = line_bytes + 1;
    const auto lines_allowed = kMaxTrailerBytes / bytes_counted;
    std::string trailer;
    for (std::size_t i = 0; i < lines_allowed; ++i) trailer += Line(line_bytes);
    Parser sound;
    CHECK_FALSE(Parse(sound, kChunkedHead + trailer + "\r\n"));
    CHECK(sound.is_done());
    trailer += Line(line_bytes);
    CHECK(Parse(parser, kChunkedHead + trailer + "\r\n") ==
          http::error::header_limit);
  }
  SECTION("it can't replace a field of the head") {
    CHECK_FALSE(Parse(parser, kHead + "X: head\r\nTransfer-Encoding: chunked"
                                      "\r\n\r\n0\r\nX: trailer\r\n\r\n"));
    CHECK(parser.get()["X"] == "head");
    CHECK(parser.get().count("X") == 1);
  }
}

}  // namespace
}  // namespace gypsumtrack::platform
