#ifndef GYPSUMTRACK_GATEWAY_TEST_TEST_CALLER_H_
#define GYPSUMTRACK_GATEWAY_TEST_TEST_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string>
#include <vector>

/// A blocking HTTP client for tests.
namespace gypsumtrack::gateway {

/// The parts of a response that tests check.
struct CallerResponse {
  unsigned status = 0;
  /// The `Gypsumtrack-Run` header.
  std::string run;
  std::string retry_after;
  std::string connection;
  std::string body;
  /// Whether the response was received up to the end of its framing.
  bool complete = false;
};

/// A caller with one connection. Not thread-safe.
class TestCaller {
 public:
  /// Connects to `ip:port`.
  explicit TestCaller(const std::string& address) : socket(this->context) {
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    port);
    this->socket.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)), port});
  }

  /// Sends bytes as they are; errors are ignored, as a server may close early.
  void SendRaw(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  }

  /// Sends a request. `headers` is empty or consists of lines that end with
  /// CRLF.
  void Send(const std::string& method, const std::string& target,
            const std::string& headers, const std::string& body) {
    this->SendRaw(method + " " + target + " HTTP/1.1\r\nHost: gateway\r\n" +
                  headers + "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
  }

  /// Reads the next response, as far as it is received.
  CallerResponse Read() {
    namespace http = boost::beast::http;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    http::read(this->socket, this->buffer, parser, error);
    CallerResponse response;
    response.complete = !error;
    if (!parser.is_header_done()) return response;
    const auto& message = parser.get();
    response.status = message.result_int();
    response.run = std::string(message["Gypsumtrack-Run"]);
    response.retry_after = std::string(message["Retry-After"]);
    response.connection = std::string(message["Connection"]);
    response.body = message.body();
    return response;
  }

  /// Sends a request and reads its response.
  CallerResponse Call(const std::string& method, const std::string& target,
                      const std::string& headers, const std::string& body) {
    this->Send(method, target, headers, body);
    return this->Read();
  }

  /// Closes the connection.
  void Close() {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

 private:
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TEST_TEST_CALLER_H_
