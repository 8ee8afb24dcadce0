#include "socket_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <sstream>

namespace gypsumtrack::gateway {

base::Outcome<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    const std::string& text) {
  const base::Error invalid(base::Errc::kInvalid,
                            "`" + text + "` isn't a valid `ip:port` address.");
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return invalid;
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return invalid;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error) return invalid;
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string FormatSocketAddress(
    const boost::asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream out;
  out << endpoint;
  return out.str();
}

}  // namespace gypsumtrack::gateway
