#ifndef GYPSUMTRACK_TESTING_SOAK_SOAK_HTTP_H_
#define GYPSUMTRACK_TESTING_SOAK_SOAK_HTTP_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/time.h"

/// A minimal HTTP client for the callers of the soak test.
namespace gypsumtrack::testing {

/// Parses a socket address. Precondition: `address` is `ip:port`.
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

/// A header field of a request.
struct CallHeader {
  std::string name;
  std::string value;
};

/// A request to send.
struct CallRequest {
  std::string method;
  std::string target;
  std::vector<CallHeader> headers;
  std::string body;
};

/// What was received of a response.
struct CallResponse {
  /// 0 if no complete header was received.
  unsigned status = 0;
  boost::beast::http::fields headers;
  std::string body;
  /// The body was received to the end that its framing defines.
  bool complete = false;
  /// The connection can carry another request.
  bool keep_alive = false;
};

/// A connection that carries several requests, one after another. Not
/// thread-safe: runs on the thread of its executor.
class CallConnection {
 public:
  /// Precondition: `address` is `ip:port`.
  CallConnection(const boost::asio::any_io_executor& executor,
                 std::string address);

  /// Connects within `timeout`. Returns false if that fails.
  boost::asio::awaitable<bool> Connect(base::Duration timeout);
  /// Sends a request and reads the response within `timeout`. An error leaves
  /// `complete` false. Precondition: connected.
  boost::asio::awaitable<CallResponse> Call(CallRequest request,
                                            base::Duration timeout);
  /// Sends a request and closes the connection `disconnect_after` later without
  /// reading the response.
  boost::asio::awaitable<void> CallAndDisconnect(
      CallRequest request, base::Duration disconnect_after);
  /// Closes the connection.
  void Close();

 private:
  std::string address;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

/// Sends one request on a new connection; connecting and the call each have
/// `timeout`.
boost::asio::awaitable<CallResponse> CallOnce(std::string address,
                                              CallRequest request,
                                              base::Duration timeout);

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SOAK_SOAK_HTTP_H_
