#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <stdexcept>

namespace review {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr milliseconds kSendTimeout(10'000);
constexpr milliseconds kIdleTimeout(60'000);
constexpr std::size_t kClientHeadBytes = 64 * 1024;

sockaddr_in ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

/// Waits for an event; returns whether it came in time.
bool Wait(int fd, short events, Clock::time_point until) {
  pollfd waited{fd, events, 0};
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
  return poll(&waited, 1, static_cast<int>(std::max<long>(left, 0))) > 0;
}

int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  return (digit | 0x20) - 'a' + 10;
}

std::string Decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      out += text[i];
      continue;
    }
    out +=
        static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
    i += 2;
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> out;
  std::size_t begin = 0;
  while (begin < query.size()) {
    const auto end = std::min(query.find('&', begin), query.size());
    const auto part = query.substr(begin, end - begin);
    const auto equals = std::min(part.find('='), part.size());
    out[Decode(part.substr(0, equals))] =
        equals < part.size() ? Decode(part.substr(equals + 1)) : "";
    begin = end + 1;
  }
  return out;
}

template <typename Message>
Headers CopyHeaders(const Message& message) {
  Headers headers;
  for (const auto& field : message)
    headers.emplace_back(field.name_string(), field.value());
  return headers;
}

/// Reads one message. `bytes` holds what was read beyond it. Returns false if
/// it isn't whole.
template <typename Parser>
bool ReadMessage(Socket& socket, std::string& bytes, Parser& parser,
                 Clock::time_point until) {
  parser.eager(true);
  boost::system::error_code error;
  while (!parser.is_done()) {
    if (!bytes.empty()) {
      const auto used = parser.put(boost::asio::buffer(bytes), error);
      bytes.erase(0, used);
      if (error && error != http::error::need_more) return false;
      if (used > 0) continue;
    }
    if (socket.Receive(bytes, until)) continue;
    if (!parser.got_some()) return false;
    parser.put_eof(error);
    return !error && parser.is_done();
  }
  return true;
}

}  // namespace

std::string HeaderValue(const Headers& headers, const std::string& name) {
  for (const auto& [each, value] : headers)
    if (boost::beast::iequals(each, name)) return value;
  return {};
}

std::string Request::Parameter(const std::string& name) const {
  const auto found = this->query.find(name);
  return found == this->query.end() ? std::string() : found->second;
}

Socket::~Socket() { close(this->fd); }

std::unique_ptr<Socket> Socket::Connect(const std::string& address,
                                        milliseconds timeout,
                                        int receive_buffer) {
  const auto target = ParseAddress(address);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  fcntl(fd, F_SETFL, O_NONBLOCK);
  auto connected = std::make_unique<Socket>(fd);
  const auto* raw = reinterpret_cast<const sockaddr*>(&target);
  if (connect(fd, raw, sizeof(target)) == 0) return connected;
  if (errno != EINPROGRESS) return nullptr;
  if (!Wait(fd, POLLOUT, Clock::now() + timeout)) return nullptr;
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return nullptr;
  return connected;
}

bool Socket::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = send(this->fd, bytes.data() + sent, bytes.size() - sent,
                            MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN && errno != EINTR) {
      return false;
    } else if (!Wait(this->fd, POLLOUT, Clock::now() + kSendTimeout)) {
      return false;
    }
  }
  return true;
}

bool Socket::Receive(std::string& buffer, Clock::time_point until) {
  if (!Wait(this->fd, POLLIN, until)) return false;
  const auto before = buffer.size();
  buffer.resize(before + kReadBytes);
  const auto count = recv(this->fd, buffer.data() + before, kReadBytes, 0);
  buffer.resize(before + static_cast<std::size_t>(std::max<long>(count, 0)));
  return count > 0;
}

bool Socket::HasEnded() const {
  char byte = 0;
  const auto count = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void Socket::ResetOnClose() const {
  const linger reset{1, 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

namespace {

std::string FormatHead(const std::string& first_line, const Headers& headers) {
  std::string head = first_line + "\r\n";
  for (const auto& [name, value] : headers) {
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
  }
  return head;
}

}  // namespace

bool Respond(Socket& socket, unsigned status, const Headers& headers,
             const std::string& body) {
  return socket.Send(FormatHead(fmt::format("HTTP/1.1 {} -", status), headers) +
                     fmt::format("Content-Length: {}\r\n\r\n", body.size()) +
                     body);
}

std::string ChunkedHead(unsigned status, const Headers& headers) {
  return FormatHead(fmt::format("HTTP/1.1 {} -", status), headers) +
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

Server::Server(Handler handler, std::size_t max_head_bytes)
    : shared(std::make_shared<Shared>(
          Shared{std::move(handler), max_head_bytes})) {
  this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = ParseAddress("127.0.0.1:0");
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  const bool listens = bind(this->fd, raw, size) == 0 &&
                       listen(this->fd, SOMAXCONN) == 0 &&
                       getsockname(this->fd, raw, &size) == 0;
  if (!listens) throw std::runtime_error("a stand-in can't listen");
  this->listen_address = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
  this->thread = std::thread([this] { this->Accept(); });
}

Server::~Server() {
  this->stopped = true;
  shutdown(this->fd, SHUT_RDWR);
  this->thread.join();
  close(this->fd);
}

void Server::Accept() {
  while (!this->stopped) {
    const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    std::thread([shared = this->shared, accepted] {
      Serve(shared, accepted);
    }).detach();
  }
}

void Server::Serve(const std::shared_ptr<Shared>& shared, int descriptor) {
  Socket socket(descriptor);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string bytes;
  bool open = true;
  while (open) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(shared->max_head_bytes));
    parser.body_limit(boost::none);
    if (!ReadMessage(socket, bytes, parser, Clock::now() + kIdleTimeout)) {
      if (parser.is_header_done() || bytes.empty()) return;
      Respond(socket, 431, {{"Connection", "close"}}, "");
      return;
    }
    auto message = parser.release();
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    const auto mark = std::min(request.target.find('?'), request.target.size());
    request.path = Decode(request.target.substr(0, mark));
    if (mark < request.target.size())
      request.query = ParseQuery(request.target.substr(mark + 1));
    request.headers = CopyHeaders(message);
    request.body = std::move(message.body());
    open = shared->handler(request, socket);
  }
}

std::string FormatRequest(const std::string& method, const std::string& target,
                          const Headers& headers, const std::string& body) {
  return FormatHead(fmt::format("{} {} HTTP/1.1", method, target), headers) +
         fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
}

Reply Call(const std::string& address, const std::string& method,
           const std::string& target, const Headers& headers,
           const std::string& body, milliseconds timeout) {
  Reply reply;
  const auto until = Clock::now() + timeout;
  auto socket = Socket::Connect(address, timeout);
  if (!socket) return reply;
  if (!socket->Send(FormatRequest(method, target, headers, body))) return reply;
  http::response_parser<http::string_body> parser;
  parser.header_limit(kClientHeadBytes);
  parser.body_limit(boost::none);
  std::string bytes;
  reply.complete = ReadMessage(*socket, bytes, parser, until);
  if (!parser.is_header_done()) return reply;
  auto message = parser.release();
  reply.status = message.result_int();
  reply.headers = CopyHeaders(message);
  reply.body = std::move(message.body());
  return reply;
}

}  // namespace review
