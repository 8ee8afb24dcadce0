#include "gypsumtrack/testing/platform_server.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/url/pct_string_view.hpp>
#include <chrono>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

#include "gypsumtrack/platform/codec.h"
#include "gypsumtrack/platform/memory_platform.h"

namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kMaxBodyBytes = 256ULL * 1024 * 1024;
constexpr std::string_view kObjectsPrefix = "/objects/";
constexpr std::string_view kControlPrefix = "/control/";

Response Reply(const Request& request, http::status status, std::string body) {
  Response response(status, request.version());
  response.keep_alive(request.keep_alive());
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

Response ReplyStatus(const Request& request, const base::Status& status) {
  if (status.ok()) return Reply(request, http::status::ok, "");
  const auto code = status.error().Is(base::Errc::kConflict)
                        ? http::status::conflict
                        : http::status::bad_request;
  return Reply(request, code, status.error().message);
}

std::string_view Target(const Request& request) {
  return {request.target().data(), request.target().size()};
}

bool IsWrite(const Request& request) {
  if (Target(request) == "/table/commit") return true;
  return Target(request).starts_with(kObjectsPrefix) &&
         request.method() != http::verb::get;
}

std::string ObjectName(const Request& request) {
  const auto encoded = Target(request).substr(kObjectsPrefix.size());
  const auto view = boost::urls::make_pct_string_view(
      boost::core::string_view(encoded.data(), encoded.size()));
  if (!view) return {};
  return view->decode();
}

base::Outcome<PlatformFaults> ParseFaults(const std::string& text) {
  PlatformFaults faults;
  try {
    const auto object = boost::json::parse(text);
    for (const auto& [key, value] : object.as_object()) {
      if (key == "down") {
        faults.down = value.as_bool();
      } else if (key == "silent") {
        faults.silent = value.as_bool();
      } else if (key == "slow_ms") {
        faults.slow_ms = value.to_number<std::uint32_t>();
      } else if (key == "lose_answers") {
        faults.lose_answers = value.to_number<std::uint32_t>();
      } else if (key == "writes_per_second") {
        faults.writes_per_second = value.to_number<std::uint32_t>();
      } else if (key == "refused_domains") {
        for (const auto& domain : value.as_array()) {
          faults.refused_domains.emplace(domain.as_string());
        }
      } else {
        return base::Error(base::Errc::kInvalid, "unknown fault");
      }
    }
  } catch (const std::exception& error) {
    return base::Error(base::Errc::kInvalid, error.what());
  }
  return faults;
}

/// Result of a request. Without a response the connection is closed, unless
/// `silent` keeps it open.
struct RequestResult {
  std::optional<Response> response;
  bool silent = false;
};

}  // namespace

struct PlatformServer::State
    : std::enable_shared_from_this<PlatformServer::State> {
  State(asio::any_io_executor pool, base::Clock server_clock)
      : executor(std::move(pool)),
        acceptor(this->executor),
        clock(std::move(server_clock)) {}

  asio::any_io_executor executor;
  tcp::acceptor acceptor;
  base::Clock clock;
  mutable std::mutex mutex;
  // The members below are guarded by `mutex`.
  platform::MemoryPlatform memory_platform;
  PlatformFaults faults;
  PlatformCounts counts;
  base::Instant rate_window_end = base::Instant::min();
  std::uint32_t writes_in_window = 0;

  asio::awaitable<void> AcceptLoop() {
    for (;;) {
      auto [error, socket] = co_await this->acceptor.async_accept(
          asio::make_strand(this->executor), kAwaitTuple);
      if (error == asio::error::operation_aborted) co_return;
      if (error) continue;
      const auto executor = socket.get_executor();
      asio::co_spawn(
          executor,
          this->shared_from_this()->Serve(beast::tcp_stream(std::move(socket))),
          asio::detached);
    }
  }

  asio::awaitable<void> Serve(beast::tcp_stream stream) {
    const auto self = this->shared_from_this();
    beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      const auto [read_error, read] =
          co_await http::async_read(stream, buffer, parser, kAwaitTuple);
      if (read_error) co_return;
      co_await this->Delay();
      auto result = this->Handle(parser.get());
      if (result.silent) continue;
      if (!result.response) co_return;
      const auto [write_error, written] =
          co_await http::async_write(stream, *result.response, kAwaitTuple);
      if (write_error || !result.response->keep_alive()) co_return;
    }
  }

  asio::awaitable<void> Delay() {
    std::uint32_t millis = 0;
    {
      const std::lock_guard lock(this->mutex);
      millis = this->faults.slow_ms;
    }
    if (millis == 0) co_return;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(millis));
    co_await timer.async_wait(kAwaitTuple);
  }

  RequestResult Handle(const Request& request) {
    const std::lock_guard lock(this->mutex);
    if (Target(request).starts_with(kControlPrefix)) {
      return {this->Control(request), false};
    }
    if (this->faults.silent) return {std::nullopt, true};
    const std::string domain(request["Gypsumtrack-Domain"]);
    const bool refused = this->faults.refused_domains.contains(domain);
    if (this->faults.down || refused) return {};
    const bool is_write = IsWrite(request);
    if (is_write && this->ExceedsWriteRate()) {
      return {Reply(request, http::status::too_many_requests,
                    "write rate limit exceeded"),
              false};
    }
    ++(is_write ? this->counts.writes : this->counts.reads);
    auto response = this->Route(request);
    if (is_write && this->faults.lose_answers > 0) {
      --this->faults.lose_answers;
      return {};
    }
    return {std::move(response), false};
  }

  bool ExceedsWriteRate() {
    if (this->faults.writes_per_second == 0) return false;
    const auto now = this->clock.now();
    if (now >= this->rate_window_end) {
      this->rate_window_end = now + std::chrono::seconds(1);
      this->writes_in_window = 0;
    }
    return ++this->writes_in_window > this->faults.writes_per_second;
  }

  Response Control(const Request& request) {
    const auto route = Target(request).substr(kControlPrefix.size());
    if (route == "counts") {
      return Reply(request, http::status::ok,
                   fmt::format(R"({{"reads":{},"writes":{}}})",
                               this->counts.reads, this->counts.writes));
    }
    if (route == "vms") {
      auto vms = platform::ParseVms(request.body());
      if (!vms.ok()) return ReplyStatus(request, vms.error());
      this->memory_platform.SetVms(std::move(*vms));
      return Reply(request, http::status::ok, "");
    }
    if (route == "faults") {
      auto parsed = ParseFaults(request.body());
      if (!parsed.ok()) return ReplyStatus(request, parsed.error());
      this->faults = std::move(*parsed);
      return Reply(request, http::status::ok, "");
    }
    return Reply(request, http::status::not_found, "no such route");
  }

  Response Route(const Request& request) {
    const auto target = Target(request);
    if (target == "/table/commit") return this->Commit(request);
    if (target == "/table/scan") return this->Scan(request);
    if (target == "/vms") {
      return Reply(request, http::status::ok,
                   platform::FormatVms(this->memory_platform.vms()));
    }
    if (target.starts_with(kObjectsPrefix)) return this->Object(request);
    return Reply(request, http::status::not_found, "no such route");
  }

  Response Commit(const Request& request) {
    const auto commit = platform::ParseCommit(request.body());
    if (!commit.ok()) return ReplyStatus(request, commit.error());
    return ReplyStatus(request, this->memory_platform.Commit(*commit));
  }

  Response Scan(const Request& request) {
    const auto scan = platform::ParseScan(request.body());
    if (!scan.ok()) return ReplyStatus(request, scan.error());
    return Reply(request, http::status::ok,
                 platform::FormatScanReply(this->memory_platform.Scan(*scan)));
  }

  Response Object(const Request& request) {
    const auto name = ObjectName(request);
    if (name.empty()) {
      return Reply(request, http::status::bad_request, "invalid object name");
    }
    if (request.method() == http::verb::put) {
      return ReplyStatus(request,
                         this->memory_platform.PutObject(name, request.body()));
    }
    if (request.method() == http::verb::delete_) {
      this->memory_platform.RemoveObject(name);
      return Reply(request, http::status::ok, "");
    }
    auto object = this->memory_platform.GetObject(name);
    if (object.ok()) {
      return Reply(request, http::status::ok, std::move(*object));
    }
    return Reply(request, http::status::not_found, object.error().message);
  }
};

PlatformServer::PlatformServer(asio::any_io_executor executor,
                               base::Clock clock)
    : state(std::make_shared<State>(std::move(executor), std::move(clock))) {}

PlatformServer::~PlatformServer() { this->Stop(); }

base::Status PlatformServer::Start(const std::string& address) {
  const auto colon = address.rfind(':');
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error || colon == std::string::npos) {
    return base::Error(base::Errc::kInvalid, "invalid address " + address);
  }
  const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
  const tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(port));
  auto& acceptor = this->state->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return base::Error(error, "cannot listen on " + address);
  asio::co_spawn(
      this->state->executor,
      [state = this->state] { return state->AcceptLoop(); }, asio::detached);
  return base::Done{};
}

void PlatformServer::Stop() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

void PlatformServer::SetVms(std::vector<base::ListedVm> vms) {
  const std::lock_guard lock(this->state->mutex);
  this->state->memory_platform.SetVms(std::move(vms));
}

void PlatformServer::SetFaults(const PlatformFaults& faults) {
  const std::lock_guard lock(this->state->mutex);
  this->state->faults = faults;
}

std::string PlatformServer::Address() const {
  boost::system::error_code ignored;
  const auto endpoint = this->state->acceptor.local_endpoint(ignored);
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

PlatformCounts PlatformServer::Counts() const {
  const std::lock_guard lock(this->state->mutex);
  return this->state->counts;
}

}  // namespace gypsumtrack::testing
