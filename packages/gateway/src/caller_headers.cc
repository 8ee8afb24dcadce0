#include "caller_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/pchars.hpp>

#include "gypsumtrack/gateway/hop_headers.h"

namespace gypsumtrack::gateway {
namespace {

using boost::beast::iequals;

/// Request headers that are never forwarded to an endpoint, besides hop-by-hop
/// headers: credentials, cookies and headers that the gateway sets or handles.
constexpr std::array<std::string_view, 11> kHeadersHiddenFromEndpoints = {
    "Authorization",  "Proxy-Authorization",
    "X-Api-Key",      "Api-Key",
    "X-Auth-Token",   "Cookie",
    "Cookie2",        "Host",
    "Expect",         "X-Request-Id",
    "Idempotency-Key"};

/// Response headers that are never forwarded to a caller, besides hop-by-hop
/// headers: internal state, cookies and headers that the gateway sets.
constexpr std::array<std::string_view, 6> kHeadersHiddenFromCallers = {
    "X-Request-Id", "X-Run-State",        "X-Leaving",
    "Set-Cookie",   "Proxy-Authenticate", "Gypsumtrack-Run"};

/// Query parameters that may contain a key.
constexpr std::array<std::string_view, 9> kCredentialParameters = {
    "key",          "api_key", "apikey", "api-key",      "access_token",
    "access-token", "token",   "auth",   "authorization"};

constexpr std::string_view kBearerPrefix = "Bearer ";

template <std::size_t N>
bool ContainsName(const std::array<std::string_view, N>& names,
                  std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](auto candidate) { return iequals(candidate, name); });
}

/// Percent-decodes once; returns malformed text unchanged.
std::string Decode(std::string_view text) {
  const auto encoded = boost::urls::make_pct_string_view(text);
  return encoded ? encoded->decode() : std::string(text);
}

/// Percent-decodes until nothing changes, as an endpoint might decode more than
/// once.
std::string DecodeFully(std::string_view text) {
  std::string decoded(text);
  for (std::string next = Decode(decoded); next != decoded;
       next = Decode(decoded)) {
    decoded = next;
  }
  return decoded;
}

bool IsCredentialParameter(std::string_view parameter) {
  return ContainsName(kCredentialParameters,
                      DecodeFully(parameter.substr(0, parameter.find('='))));
}

/// Whether the text contains the caller's key. Finds keys in headers and
/// parameters whose names aren't known to carry credentials.
bool ContainsKey(std::string_view text, std::string_view key) {
  return !key.empty() && text.find(key) != std::string_view::npos;
}

}  // namespace

std::string FindCallerKey(const RequestHead& request) {
  if (const auto* value = request.Find("Authorization")) {
    const std::string_view text(*value);
    if (text.size() > kBearerPrefix.size() &&
        iequals(text.substr(0, kBearerPrefix.size()), kBearerPrefix)) {
      return std::string(text.substr(kBearerPrefix.size()));
    }
  }
  const auto* value = request.Find("X-Api-Key");
  return value == nullptr ? std::string() : *value;
}

std::vector<Header> EndpointRequestHeaders(const RequestHead& request) {
  std::vector<Header> result;
  const auto key = FindCallerKey(request);
  const HopByHopHeaders hop_by_hop(request.headers);
  for (const auto& header : request.headers) {
    if (ContainsKey(header.value, key)) continue;
    if (ContainsName(kHeadersHiddenFromEndpoints, header.name)) continue;
    if (hop_by_hop.Contains(header.name)) continue;
    result.push_back(header);
  }
  return result;
}

std::vector<Header> CallerResponseHeaders(const std::vector<Header>& headers) {
  std::vector<Header> result;
  const HopByHopHeaders hop_by_hop(headers);
  for (const auto& header : headers) {
    if (ContainsName(kHeadersHiddenFromCallers, header.name)) continue;
    if (hop_by_hop.Contains(header.name)) continue;
    result.push_back(header);
  }
  return result;
}

std::string StripKeyParameters(std::string_view query, std::string_view key) {
  std::string result;
  std::size_t begin = 0;
  while (begin < query.size()) {
    const auto end = std::min(query.find_first_of("&;", begin), query.size());
    const auto parameter = query.substr(begin, end - begin);
    begin = end + 1;
    if (parameter.empty() || IsCredentialParameter(parameter)) continue;
    if (ContainsKey(DecodeFully(parameter), key)) continue;
    if (!result.empty()) result += '&';
    result += parameter;
  }
  return result;
}

std::string EncodePath(std::string_view path) {
  auto safe = boost::urls::pchars;
  return boost::urls::encode(path, safe + '/');
}

}  // namespace gypsumtrack::gateway
