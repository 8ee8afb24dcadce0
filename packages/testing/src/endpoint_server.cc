#include "gypsumtrack/testing/endpoint_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <sstream>
#include <utility>
#include <vector>

#include "endpoint_session.h"

namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

/// Acceptor and sessions of the server, kept alive by its coroutines.
class EndpointServer::State : public std::enable_shared_from_this<State> {
 public:
  State(const asio::any_io_executor& executor, EndpointServerOptions options)
      : executor(executor),
        strand(asio::make_strand(executor)),
        acceptor(this->strand),
        core(std::make_shared<detail::EndpointCore>(std::move(options))) {}

  base::Status Start() {
    const auto& text = this->core->options.address;
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    if (colon == std::string::npos ||
        std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
      return base::Error(base::Errc::kInvalid, "invalid address " + text);
    }
    error_code error;
    const auto ip = asio::ip::make_address(text.substr(0, colon), error);
    const tcp::endpoint endpoint(ip, port);
    if (!error) this->acceptor.open(endpoint.protocol(), error);
    if (!error) {
      this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) this->acceptor.bind(endpoint, error);
    if (!error)
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return base::Error(base::Errc::kUnavailable,
                         "cannot listen on " + text + ": " + error.message());
    }
    std::ostringstream out;
    out << this->acceptor.local_endpoint(error);
    this->bound_address = out.str();
    asio::co_spawn(
        this->strand,
        [self = this->shared_from_this()] { return self->AcceptLoop(); },
        asio::detached);
    return base::Done{};
  }

  void Stop() {
    asio::post(this->strand, [self = this->shared_from_this()] {
      error_code ignored;
      self->acceptor.close(ignored);
      for (const auto& weak : self->sessions) {
        const auto session = weak.lock();
        if (!session) continue;
        asio::post(session->strand(), [session] { session->Close(); });
      }
    });
  }

  const std::string& address() const { return this->bound_address; }  // NOLINT
  detail::EndpointCore& shared() { return *this->core; }              // NOLINT

 private:
  asio::awaitable<void> AcceptLoop() {
    while (this->acceptor.is_open()) {
      auto [error, socket] = co_await this->acceptor.async_accept(
          asio::make_strand(this->executor), kAwaitTuple);
      if (error) continue;
      auto session = std::make_shared<detail::EndpointSession>(
          std::move(socket), this->core);
      std::erase_if(this->sessions,
                    [](const auto& weak) { return weak.expired(); });
      this->sessions.push_back(session);
      asio::co_spawn(
          session->strand(), [session] { return session->Run(); },
          asio::detached);
    }
  }

  asio::any_io_executor executor;
  asio::any_io_executor strand;
  tcp::acceptor acceptor;
  std::shared_ptr<detail::EndpointCore> core;
  std::vector<std::weak_ptr<detail::EndpointSession>> sessions;
  std::string bound_address;
};

EndpointServer::EndpointServer(const asio::any_io_executor& executor,
                               EndpointServerOptions options)
    : state(std::make_shared<State>(executor, std::move(options))) {}

EndpointServer::~EndpointServer() { this->Stop(); }

base::Status EndpointServer::Start() { return this->state->Start(); }

void EndpointServer::Stop() { this->state->Stop(); }

void EndpointServer::SetFault(FaultPlan plan) {
  this->state->shared().SetFault(plan);
}

void EndpointServer::SilenceOpenConnections() {
  this->state->shared().SilenceOpenConnections();
}

std::string EndpointServer::address() const { return this->state->address(); }

EndpointFacts EndpointServer::facts() const {
  return this->state->shared().facts();
}

}  // namespace gypsumtrack::testing
