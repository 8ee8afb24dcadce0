#include "gypsumtrack/gateway/tunnel.h"

#include <rapidcheck/catch.h>

#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

namespace gypsumtrack::gateway {
namespace {

namespace http = boost::beast::http;

const TunnelRequest kRequest{{base::EndpointId("e/1 ü"), 7}, "s3cret"};

std::string FormatRequest() {
  return *FormatTunnelRequest(kRequest, "127.0.0.1:80");
}

/// Replaces the first `from` in the text.
std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const auto position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

ResponseHead ParseHead(const std::string& bytes) {
  http::response_parser<http::empty_body> parser;
  boost::system::error_code error;
  parser.put(boost::asio::buffer(bytes), error);
  REQUIRE_FALSE(error);
  REQUIRE(parser.is_done());
  ResponseHead head;
  head.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

TEST_CASE("a daemon asks a peer for a tunnel") {
  SECTION("the request is an HTTP upgrade") {
    CHECK(FormatRequest() ==
          "GET /tunnels/e%2F1%20%C3%BC/7 HTTP/1.1\r\n"
          "Host: 127.0.0.1:80\r\nConnection: Upgrade\r\n"
          "Upgrade: gypsumtrack-tunnel\r\nAuthorization: Bearer s3cret\r\n"
          "\r\n");
  }
  SECTION("the peer reads what was asked") {
    const auto parsed = ParseTunnelRequest(FormatRequest());
    REQUIRE(parsed.ok());
    CHECK(*parsed == kRequest);
  }
  SECTION("a request that can't be sent is an error") {
    const auto bad_token =
        GENERATE(std::string(), std::string("a\r\nX-B: b"), std::string("a b"),
                 std::string(70000, 'x'));
    CHECK_FALSE(
        FormatTunnelRequest({kRequest.target, bad_token}, "127.0.0.1:80").ok());
    const auto bad_host =
        GENERATE(std::string("a\r\nX-B: b"), std::string(70000, 'x'));
    CHECK_FALSE(FormatTunnelRequest(kRequest, bad_host).ok());
    const auto bad_id = GENERATE(std::string(), std::string(513, 'x'));
    CHECK_FALSE(FormatTunnelRequest({{base::EndpointId(bad_id), 7}, "s3cret"},
                                    "127.0.0.1:80")
                    .ok());
  }
}

TEST_CASE("a peer refuses requests that aren't for a tunnel") {
  const auto valid = FormatRequest();
  const auto request = GENERATE_COPY(
      std::string(), std::string("\r\n\r\n"), valid.substr(0, valid.size() - 1),
      valid + "x", valid + valid, Replace(valid, "GET", "POST"),
      Replace(valid, "HTTP/1.1", "HTTP/1.0"),
      Replace(valid, "HTTP/1.1", "HTTP/2"), Replace(valid, "/7", "/"),
      Replace(valid, "/7", "/-7"), Replace(valid, "/7", "/7x"),
      Replace(valid, "/7", "/7/8"), Replace(valid, "/7", "/7?a=b"),
      Replace(valid, "/7", "/18446744073709551616"), Replace(valid, "/7", ""),
      Replace(valid, "e%2F1%20%C3%BC", ""), Replace(valid, "%2F", "%2g"),
      Replace(valid, "%2F", "%zz"), Replace(valid, "tunnels", "tunnel"),
      Replace(valid, "gypsumtrack-tunnel", "websocket"),
      Replace(valid, "Upgrade: gypsumtrack-tunnel\r\n", ""),
      Replace(valid, "Connection: Upgrade", "Connection: close"),
      Replace(valid, "Authorization: Bearer s3cret\r\n", ""),
      Replace(valid, "Bearer", "Basic"),
      Replace(valid, "Host", "Content-Length: 4\r\nHost"),
      Replace(valid, "Host", "Transfer-Encoding: chunked\r\nHost"),
      Replace(valid, "Host: ", "Ho st: "));
  CAPTURE(request);
  CHECK_FALSE(ParseTunnelRequest(request).ok());
}

TEST_CASE("a peer replies to the request for a tunnel") {
  SECTION("each status reads as it was sent") {
    for (const auto& entry : kTunnelStatusNames.entries) {
      CAPTURE(entry.name);
      CHECK(ParseTunnelReply(ParseHead(FormatTunnelReply(entry.value))) ==
            entry.value);
    }
  }
  SECTION("a tunnel is open only after a switch to its protocol") {
    const auto open = FormatTunnelReply(TunnelStatus::kOpen);
    const auto reply = GENERATE_COPY(
        Replace(open, "101 Switching Protocols", "200 OK"),
        Replace(open, "101", "100"),
        Replace(open, "gypsumtrack-tunnel", "websocket"),
        Replace(open, "Upgrade: gypsumtrack-tunnel\r\n", ""),
        Replace(open, "Upgrade:", "Tunnel-Refusal: open\r\nUpgrade:"));
    CHECK(ParseTunnelReply(ParseHead(
              Replace(reply, "\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"))) ==
          TunnelStatus::kPeerUnreachable);
  }
  SECTION("a refusal without a known name is no valid reply") {
    const auto refusal = FormatTunnelReply(TunnelStatus::kPeerBusy);
    const auto reply =
        GENERATE_COPY(Replace(refusal, "peer_busy", "open"),
                      Replace(refusal, "peer_busy", "unheard_of"),
                      Replace(refusal, "peer_busy", ""),
                      Replace(refusal, "Tunnel-Refusal: peer_busy\r\n", ""),
                      Replace(refusal, "503", "200"));
    CHECK(ParseTunnelReply(ParseHead(reply)) == TunnelStatus::kPeerUnreachable);
  }
}

TEST_CASE("handshakes of tunnels survive any input") {
  rc::prop("a request reads as it was sent", [] {
    TunnelRequest request;
    request.target.endpoint.text =
        *rc::gen::suchThat<std::string>([](const std::string& text) {
          return !text.empty() && text.size() <= 512;
        });
    request.target.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    request.token = *rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~')));
    const auto head = FormatTunnelRequest(request, "[::1]:80");
    RC_ASSERT(head.ok());
    const auto parsed = ParseTunnelRequest(*head);
    RC_ASSERT(parsed.ok());
    RC_ASSERT(*parsed == request);
  });
  rc::prop("a request with one wrong byte names no other endpoint by accident",
           [](char wrong) {
             auto head = FormatRequest();
             const auto position =
                 *rc::gen::inRange<std::size_t>(0, head.size());
             head[position] = wrong;
             const auto parsed = ParseTunnelRequest(head);
             const bool in_path = position > 4 && position < head.find(" HTTP");
             if (parsed.ok() && !in_path) {
               RC_ASSERT(parsed->target == kRequest.target);
             }
           });
  rc::prop("any bytes are parsed without harm", [](const std::string& bytes) {
    RC_ASSERT_FALSE(ParseTunnelRequest(bytes).ok());
  });
}

}  // namespace
}  // namespace gypsumtrack::gateway
