#include "client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

#include "gypsumtrack/peer/config_codec.h"

namespace gypsumtrack::ctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr int kHttpVersion11 = 11;

std::optional<asio::ip::tcp::endpoint> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code failure;
  const auto ip = asio::ip::make_address(text.substr(0, colon), failure);
  std::uint16_t port = 0;
  const auto begin = text.data() + colon + 1;
  const auto end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(begin, end, port);
  if (failure || error != std::errc() || stop != end) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

/// One HTTP request and its response under a single deadline. Uses asynchronous
/// operations because the timeout of a tcp_stream doesn't apply to synchronous
/// ones.
class HttpExchange {
 public:
  explicit HttpExchange(const Client& client) : stream(this->context) {
    this->stream.expires_after(client.timeout);
  }

  boost::system::error_code Connect(const asio::ip::tcp::endpoint& endpoint) {
    boost::system::error_code result;
    this->stream.async_connect(
        endpoint,
        [&](const boost::system::error_code& error) { result = error; });
    this->Run();
    return result;
  }

  boost::system::error_code Send(Request& request, Response& response) {
    boost::system::error_code result;
    boost::beast::flat_buffer buffer;
    http::async_write(
        this->stream, request,
        [&](const boost::system::error_code& error, std::size_t /*bytes*/) {
          result = error;
          if (error) return;
          http::async_read(this->stream, buffer, response,
                           [&](const boost::system::error_code& read_error,
                               std::size_t /*bytes*/) { result = read_error; });
        });
    this->Run();
    return result;
  }

 private:
  void Run() {
    this->context.restart();
    this->context.run();
  }

  asio::io_context context;
  boost::beast::tcp_stream stream;
};

/// Converts an error response of the daemon.
base::Error ErrorFromResponse(const Response& response) {
  const auto body = peer::ReadJson(response.body());
  if (body.ok() && body->isObject() && (*body)["error"].isObject()) {
    const auto& error = (*body)["error"];
    return {base::Errc::kInvalid,
            fmt::format("{} ({})", error["message"].asString(),
                        error["code"].asString())};
  }
  return {base::Errc::kInvalid,
          fmt::format("the daemon responded with status {}",
                      response.result_int())};
}

base::Outcome<Json::Value> SendRequest(const Client& client, http::verb verb,
                                       const std::string& target,
                                       std::string body) {
  const auto address = ParseAddress(client.address);
  if (!address) {
    return base::Error(
        base::Errc::kInvalid,
        fmt::format("--address: got \"{}\", expected IP:PORT", client.address));
  }
  HttpExchange exchange(client);
  if (const auto failure = exchange.Connect(*address)) {
    return base::Error(base::Errc::kUnavailable,
                       fmt::format("can't connect to {}: {}", client.address,
                                   failure.message()));
  }
  Request request{verb, target, kHttpVersion11};
  request.set(http::field::host, client.address);
  request.set(http::field::authorization, "Bearer " + client.token);
  request.set(http::field::content_type, "application/json");
  request.set(http::field::connection, "close");
  request.body() = std::move(body);
  request.prepare_payload();
  Response response;
  const auto failure = exchange.Send(request, response);
  // A daemon may close the connection right after the response; a complete
  // response is valid all the same.
  if (failure && failure != http::error::end_of_stream) {
    return base::Error(base::Errc::kUnknown,
                       fmt::format("{} didn't respond: {}", client.address,
                                   failure.message()));
  }
  if (response.result_int() / 100 != 2) return ErrorFromResponse(response);
  return peer::ReadJson(response.body());
}

}  // namespace

base::Outcome<Json::Value> Get(const Client& client,
                               const std::string& target) {
  return SendRequest(client, http::verb::get, target, "");
}

base::Outcome<Json::Value> Post(const Client& client, const std::string& target,
                                const Json::Value& body) {
  return SendRequest(client, http::verb::post, target, peer::WriteJson(body));
}

}  // namespace gypsumtrack::ctl
