#ifndef GYPSUMTRACK_PLATFORM_BOUNDED_PARSER_H_
#define GYPSUMTRACK_PLATFORM_BOUNDED_PARSER_H_

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>

/// Parsers of HTTP messages from outside that report what is too large as an
/// error.
namespace gypsumtrack::platform {

/// Beast can't store a longer name or value of a field: it throws, in a handler
/// of the I/O context.
inline constexpr std::size_t kMaxFieldBytes =
    std::numeric_limits<std::uint16_t>::max() - 2;
/// Maximum size of all fields of a trailer.
inline constexpr std::size_t kMaxTrailerBytes = std::size_t{64} * 1024;

/// A parser whose reads never throw for what the other side has sent. A field
/// or a trailer that is too large fails the read with `error::header_limit`.
/// Trailers are dropped: nothing here reads them. Not thread-safe.
template <bool kIsRequest, typename Body>
class BoundedParser : public boost::beast::http::parser<kIsRequest, Body> {
 private:
  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::beast::error_code& error) override {
    bool fits = std::max(name_text.size(), value.size()) <= kMaxFieldBytes;
    const bool is_trailer = this->is_header_done();
    if (is_trailer) {
      this->trailer_bytes += name_text.size() + value.size();
      fits = fits && this->trailer_bytes <= kMaxTrailerBytes;
    }
    if (!fits) {
      error = boost::beast::http::error::header_limit;
    } else if (!is_trailer) {
      this->get().insert(name, name_text, value);
    }
  }

  std::size_t trailer_bytes = 0;
};

/// Whether HTTP has the status. Beast reads any three digits as one. What has
/// another status is no response. Thread-safe.
constexpr bool IsHttpStatus(unsigned status) {
  constexpr unsigned kFirstStatus = 100;
  constexpr unsigned kLastStatus = 599;
  return status >= kFirstStatus && status <= kLastStatus;
}

template <typename Body>
using BoundedRequestParser = BoundedParser<true, Body>;
template <typename Body>
using BoundedResponseParser = BoundedParser<false, Body>;

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_BOUNDED_PARSER_H_
