#ifndef GYPSUMTRACK_GATEWAY_HOP_HEADERS_H_
#define GYPSUMTRACK_GATEWAY_HOP_HEADERS_H_

#include <boost/beast/core/string.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/gateway/http_server.h"

/// Hop-by-hop headers, which apply to a single connection.
namespace gypsumtrack::gateway {

/// The names of the headers of a message that must not be forwarded: those that
/// are hop-by-hop by definition, frame the body (`Content-Length`,
/// `Transfer-Encoding`), or are listed in a `Connection` header. Immutable.
class HopByHopHeaders {
 public:
  /// Looks through the message once. Thread-safe.
  explicit HopByHopHeaders(const std::vector<Header>& message);

  /// Whether the header of that name must not be forwarded. Thread-safe.
  bool Contains(std::string_view name) const;

 private:
  /// Names in `Connection` headers, in any case of letters.
  std::set<std::string, boost::beast::iless> listed;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_HOP_HEADERS_H_
