#include "soak_http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <tuple>
#include <utility>

namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr const char* kHost = "h1";

http::request<http::string_body> MakeMessage(CallRequest request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, kHost);
  for (const auto& header : request.headers) {
    message.insert(header.name, header.value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

}  // namespace

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  std::uint16_t port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                  port);
  return {asio::ip::make_address(address.substr(0, colon)), port};
}

CallConnection::CallConnection(const asio::any_io_executor& executor,
                               std::string server)
    : address(std::move(server)), stream(executor) {}

void CallConnection::Close() { this->stream.close(); }

asio::awaitable<bool> CallConnection::Connect(base::Duration timeout) {
  this->stream.expires_after(timeout);
  const auto endpoint = ParseEndpoint(this->address);
  const auto [error] = co_await this->stream.async_connect(endpoint, kAwait);
  co_return !error;
}

asio::awaitable<CallResponse> CallConnection::Call(CallRequest request,
                                                   base::Duration timeout) {
  CallResponse response;
  const auto message = MakeMessage(std::move(request));
  this->stream.expires_after(timeout);
  const auto [write_error, written] =
      co_await http::async_write(this->stream, message, kAwait);
  if (write_error) co_return response;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  const auto [read_error, read] =
      co_await http::async_read(this->stream, this->buffer, parser, kAwait);
  if (!parser.is_header_done()) co_return response;
  response.complete = !read_error;
  response.status = parser.get().result_int();
  response.keep_alive = response.complete && parser.keep_alive();
  response.body = std::move(parser.get().body());
  response.headers = std::move(parser.get().base());
  co_return response;
}

asio::awaitable<void> CallConnection::CallAndDisconnect(
    CallRequest request, base::Duration disconnect_after) {
  const auto message = MakeMessage(std::move(request));
  this->stream.expires_after(disconnect_after);
  std::ignore = co_await http::async_write(this->stream, message, kAwait);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(disconnect_after);
  std::ignore = co_await timer.async_wait(kAwait);
  this->Close();
}

asio::awaitable<CallResponse> CallOnce(std::string address, CallRequest request,
                                       base::Duration timeout) {
  CallConnection connection(co_await asio::this_coro::executor,
                            std::move(address));
  CallResponse response;
  const bool open = co_await connection.Connect(timeout);
  if (open) response = co_await connection.Call(std::move(request), timeout);
  co_return response;
}

}  // namespace gypsumtrack::testing
