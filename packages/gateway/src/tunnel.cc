#include "gypsumtrack/gateway/tunnel.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include "gypsumtrack/gateway/header_syntax.h"
#include "gypsumtrack/gateway/http_status.h"

namespace gypsumtrack::gateway {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr std::string_view kProtocol = "gypsumtrack-tunnel";
constexpr std::string_view kPathPrefix = "/tunnels/";
constexpr std::string_view kBearerPrefix = "Bearer ";
/// Longer ids wouldn't fit in TunnelServerOptions::max_handshake_bytes.
constexpr std::size_t kMaxEndpointIdBytes = 512;

base::Error Invalid(const std::string& what) {
  return {base::Errc::kInvalid,
          "The tunnel request has no valid " + what + "."};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

std::string FormatTarget(const TunnelTarget& target) {
  return std::string(kPathPrefix) +
         boost::urls::encode(target.endpoint.text,
                             boost::urls::unreserved_chars) +
         "/" + std::to_string(target.incarnation);
}

std::optional<TunnelTarget> ParseTarget(std::string_view path) {
  if (!path.starts_with(kPathPrefix)) return std::nullopt;
  path.remove_prefix(kPathPrefix.size());
  const auto slash = path.find('/');
  if (slash == std::string_view::npos || slash == 0) return std::nullopt;
  const auto id = boost::urls::make_pct_string_view(path.substr(0, slash));
  const auto incarnation = ParseNumber(path.substr(slash + 1));
  if (!id || !incarnation) return std::nullopt;
  return TunnelTarget{base::EndpointId(id->decode()), *incarnation};
}

unsigned StatusCode(TunnelStatus status) {
  switch (status) {
    case TunnelStatus::kOpen:
      return status::kSwitchingProtocols;
    case TunnelStatus::kDenied:
      return status::kUnauthorized;
    case TunnelStatus::kUnknownEndpoint:
      return status::kNotFound;
    case TunnelStatus::kEndpointRefused:
    case TunnelStatus::kEndpointUnreachable:
      return status::kBadGateway;
    default:
      return status::kUnavailable;
  }
}

template <typename Message>
std::string ToText(const Message& message) {
  std::ostringstream out;
  out << message;
  return out.str();
}

}  // namespace

base::Outcome<std::string> FormatTunnelRequest(const TunnelRequest& request,
                                               const std::string& host) {
  const auto& id = request.target.endpoint.text;
  if (id.empty() || id.size() > kMaxEndpointIdBytes) return Invalid("endpoint");
  if (!IsSendable({"Host", host})) return Invalid("host");
  if (request.token.empty() || !IsSendableTarget(request.token) ||
      !IsSendable({"Authorization", request.token})) {
    return Invalid("token");
  }
  http::request<http::empty_body> message(
      http::verb::get, FormatTarget(request.target), kHttp11);
  message.set(http::field::host, host);
  message.set(http::field::connection, "Upgrade");
  message.set(http::field::upgrade, kProtocol);
  message.set(http::field::authorization,
              std::string(kBearerPrefix) + request.token);
  return ToText(message);
}

base::Outcome<TunnelRequest> ParseTunnelRequest(std::string_view head) {
  http::request_parser<http::empty_body> parser;
  parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  boost::system::error_code error;
  const auto size =
      parser.put(boost::asio::buffer(head.data(), head.size()), error);
  const bool is_head = !error && parser.is_done() && size == head.size();
  if (!is_head) return Invalid("head");
  const auto& message = parser.get();
  if (message.method() != http::verb::get || message.version() != kHttp11)
    return Invalid("request line");
  if (!boost::beast::iequals(message[http::field::upgrade], kProtocol) ||
      !http::token_list(message[http::field::connection]).exists("upgrade")) {
    return Invalid("protocol");
  }
  const auto target = ParseTarget(message.target());
  if (!target) return Invalid("target");
  const std::string_view authorization = message[http::field::authorization];
  if (!authorization.starts_with(kBearerPrefix)) return Invalid("token");
  return TunnelRequest{*target,
                       std::string(authorization.substr(kBearerPrefix.size()))};
}

std::string FormatTunnelReply(TunnelStatus status) {
  http::response<http::empty_body> message;
  message.version(kHttp11);
  message.result(StatusCode(status));
  if (status == TunnelStatus::kOpen) {
    message.set(http::field::connection, "Upgrade");
    message.set(http::field::upgrade, kProtocol);
  } else {
    message.set(kTunnelRefusalHeader, kTunnelStatusNames.Name(status));
    message.set(http::field::connection, "close");
    message.content_length(0);
  }
  return ToText(message);
}

TunnelStatus ParseTunnelReply(const ResponseHead& head) {
  std::optional<TunnelStatus> refusal;
  bool has_protocol = false;
  for (const auto& header : head.headers) {
    if (boost::beast::iequals(header.name, kTunnelRefusalHeader))
      refusal = kTunnelStatusNames.Parse(header.value);
    if (boost::beast::iequals(header.name, "Upgrade"))
      has_protocol = boost::beast::iequals(header.value, kProtocol);
  }
  if (head.status == status::kSwitchingProtocols && has_protocol && !refusal)
    return TunnelStatus::kOpen;
  const bool is_refusal = head.status >= status::kBadRequest && refusal &&
                          *refusal != TunnelStatus::kOpen;
  return is_refusal ? *refusal : TunnelStatus::kPeerUnreachable;
}

}  // namespace gypsumtrack::gateway
