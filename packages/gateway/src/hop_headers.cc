#include "gypsumtrack/gateway/hop_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>

namespace gypsumtrack::gateway {
namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 8> kHopByHopHeaders = {
    "Connection", "Proxy-Connection",  "Keep-Alive", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",    "Content-Length"};

}  // namespace

HopByHopHeaders::HopByHopHeaders(const std::vector<Header>& message) {
  for (const auto& header : message) {
    if (!iequals(header.name, "Connection")) continue;
    for (const auto token : boost::beast::http::token_list(header.value))
      this->listed.emplace(token);
  }
}

bool HopByHopHeaders::Contains(std::string_view name) const {
  const bool is_known =
      std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                  [&](auto candidate) { return iequals(candidate, name); });
  return is_known || this->listed.contains(std::string(name));
}

}  // namespace gypsumtrack::gateway
