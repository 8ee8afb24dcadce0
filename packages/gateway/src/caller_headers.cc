#include "caller_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/pchars.hpp>

namespace gypsumtrack::gateway {
namespace {

using boost::beast::iequals;

/// Never sent to an endpoint: secrets, hop-by-hop headers and what the gateway
/// sets itself.
constexpr std::array<std::string_view, 19> kKeptFromEndpoints = {
    "Authorization",
    "Proxy-Authorization",
    "X-Api-Key",
    "Api-Key",
    "X-Auth-Token",
    "Cookie",
    "Cookie2",
    "Connection",
    "Proxy-Connection",
    "Keep-Alive",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Host",
    "Expect",
    "X-Request-Id",
    "Idempotency-Key"};

constexpr std::array<std::string_view, 14> kKeptFromCallers = {
    "Connection",
    "Proxy-Connection",
    "Keep-Alive",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "X-Request-Id",
    "X-Run-State",
    "X-Leaving",
    "Set-Cookie",
    "Proxy-Authenticate",
    "Gypsumtrack-Run"};

constexpr std::array<std::string_view, 9> kKeyParameters = {
    "key",          "api_key", "apikey", "api-key",      "access_token",
    "access-token", "token",   "auth",   "authorization"};

constexpr std::string_view kBearer = "Bearer ";

template <std::size_t N>
bool Contains(const std::array<std::string_view, N>& names,
              std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](auto each) { return iequals(each, name); });
}

/// Whether a `Connection` header of the message names the header.
bool IsNamedByConnection(const std::vector<Header>& headers,
                         std::string_view name) {
  for (const auto& header : headers) {
    if (!iequals(header.name, "Connection")) continue;
    if (boost::beast::http::token_list(header.value).exists(name)) return true;
  }
  return false;
}

std::string Decode(std::string_view text) {
  const auto encoded = boost::urls::make_pct_string_view(text);
  return encoded ? encoded->decode() : std::string(text);
}

bool IsKeyParameter(std::string_view parameter) {
  auto name = parameter.substr(0, parameter.find('='));
  // Decoded until nothing changes, as an endpoint might decode twice.
  std::string decoded(name);
  for (std::string next = Decode(decoded); next != decoded;
       next = Decode(decoded)) {
    decoded = next;
  }
  return Contains(kKeyParameters, decoded);
}

}  // namespace

std::string FindCallerKey(const RequestHead& request) {
  if (const auto* value = request.Find("Authorization")) {
    const std::string_view text(*value);
    if (text.size() > kBearer.size() &&
        iequals(text.substr(0, kBearer.size()), kBearer)) {
      return std::string(text.substr(kBearer.size()));
    }
  }
  const auto* value = request.Find("X-Api-Key");
  return value == nullptr ? std::string() : *value;
}

std::vector<Header> EndpointRequestHeaders(const RequestHead& request) {
  std::vector<Header> out;
  for (const auto& header : request.headers) {
    if (Contains(kKeptFromEndpoints, header.name)) continue;
    if (IsNamedByConnection(request.headers, header.name)) continue;
    out.push_back(header);
  }
  return out;
}

std::vector<Header> CallerResponseHeaders(const std::vector<Header>& headers) {
  std::vector<Header> out;
  for (const auto& header : headers) {
    if (Contains(kKeptFromCallers, header.name)) continue;
    if (IsNamedByConnection(headers, header.name)) continue;
    out.push_back(header);
  }
  return out;
}

std::string StripKeyParameters(std::string_view query) {
  std::string out;
  std::size_t begin = 0;
  while (begin < query.size()) {
    const auto end = std::min(query.find_first_of("&;", begin), query.size());
    const auto parameter = query.substr(begin, end - begin);
    begin = end + 1;
    if (parameter.empty() || IsKeyParameter(parameter)) continue;
    if (!out.empty()) out += '&';
    out += parameter;
  }
  return out;
}

std::string EncodePath(std::string_view path) {
  auto safe = boost::urls::pchars;
  return boost::urls::encode(path, safe + '/');
}

}  // namespace gypsumtrack::gateway
