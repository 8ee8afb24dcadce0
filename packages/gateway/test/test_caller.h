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

/// A blocking caller for tests.
namespace gypsumtrack::gateway {

struct CallerResponse {
  unsigned status = 0;
  std::string run;
  std::string retry_after;
  std::string connection;
  std::string body;
  /// Whether the answer ended as its framing says it must.
  bool complete = false;
};

class TestCaller {
 public:
  explicit TestCaller(const std::string& address) : socket(this->context) {
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    port);
    this->socket.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)), port});
  }

  void SendRaw(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  }

  void Send(const std::string& method, const std::string& target,
            const std::string& headers, const std::string& body) {
    this->SendRaw(method + " " + target + " HTTP/1.1\r\nHost: gateway\r\n" +
                  headers + "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
  }

  CallerResponse Read() {
    namespace http = boost::beast::http;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    http::read(this->socket, this->buffer, parser, error);
    CallerResponse answer;
    answer.complete = !error;
    if (!parser.is_header_done()) return answer;
    const auto& message = parser.get();
    answer.status = message.result_int();
    answer.run = std::string(message["Gypsumtrack-Run"]);
    answer.retry_after = std::string(message["Retry-After"]);
    answer.connection = std::string(message["Connection"]);
    answer.body = message.body();
    return answer;
  }

  CallerResponse Call(const std::string& method, const std::string& target,
                      const std::string& headers, const std::string& body) {
    this->Send(method, target, headers, body);
    return this->Read();
  }

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
