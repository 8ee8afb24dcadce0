#include "response_head.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cstdlib>
#include <string>

#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/platform/bounded_parser.h"

namespace gypsumtrack::gateway {
namespace {

/// Longer idle timeouts of endpoints count as this one. It is longer than any
/// connection stays idle here.
constexpr unsigned long kMaxKeepAliveSeconds = 3600;

/// Whether the text contains the beginning of a status line.
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  for (auto at = text.find(kVersion); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    const auto code = text.substr(at + kVersion.size(), 1);
    if (!code.empty() && code[0] >= '1' && code[0] <= '5') return true;
  }
  return false;
}

}  // namespace

ResponseHead CopyHead(const boost::beast::http::response_header<>& received) {
  ResponseHead head;
  head.status = received.result_int();
  for (const auto& field : received) {
    head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

bool HasHeader(const ResponseHead& head, std::string_view name,
               std::string_view value) {
  return std::any_of(head.headers.begin(), head.headers.end(),
                     [&](const Header& header) {
                       return boost::beast::iequals(header.name, name) &&
                              boost::beast::iequals(header.value, value);
                     });
}

bool IsResponseStatus(unsigned status) {
  return platform::IsHttpStatus(status) &&
         status != status::kSwitchingProtocols;
}

bool HasInnerStatusLine(const boost::beast::http::response_header<>& received) {
  return ContainsStatusLine(received.reason()) ||
         std::any_of(received.begin(), received.end(), [](const auto& field) {
           return ContainsStatusLine(field.value());
         });
}

std::optional<base::Duration> KeepAliveTimeout(const ResponseHead& head) {
  constexpr std::string_view kTimeout = "timeout=";
  for (const auto& header : head.headers) {
    if (!boost::beast::iequals(header.name, "Keep-Alive")) continue;
    const auto position = header.value.find(kTimeout);
    if (position == std::string::npos) continue;
    const auto* digits = header.value.c_str() + position + kTimeout.size();
    return std::chrono::seconds(
        std::min(std::strtoul(digits, nullptr, 10), kMaxKeepAliveSeconds));
  }
  return std::nullopt;
}

}  // namespace gypsumtrack::gateway
