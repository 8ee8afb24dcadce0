#include "gypsumtrack/gateway/hop_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace gypsumtrack::gateway {
namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 8> kHopByHopHeaders = {
    "Connection", "Proxy-Connection",  "Keep-Alive", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",    "Content-Length"};

}  // namespace

bool IsHopByHop(const std::vector<Header>& message, std::string_view name) {
  const bool is_known =
      std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                  [&](auto candidate) { return iequals(candidate, name); });
  if (is_known) return true;
  return std::any_of(message.begin(), message.end(), [&](const Header& header) {
    return iequals(header.name, "Connection") &&
           boost::beast::http::token_list(header.value).exists(name);
  });
}

}  // namespace gypsumtrack::gateway
