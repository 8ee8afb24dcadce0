#include "gypsumtrack/gateway/serving/gossip_service.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <set>
#include <utility>

#include "../socket_address.h"
#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// Larger than kMaxDatagramBytes, so that no datagram of a daemon is truncated.
constexpr std::size_t kReceiveBufferBytes = 2048;

}  // namespace

GossipService::GossipService(const asio::any_io_executor& run_on,
                             base::VmId self, base::Location location,
                             GossipOptions options, GossipHooks gossip_hooks)
    : executor(run_on),
      tick(options.tick),
      hooks(std::move(gossip_hooks)),
      socket(run_on),
      plan(std::move(self), std::move(location), options.plan) {}

base::Status GossipService::Start(const std::string& listen) {
  const auto address = ParseSocketAddress(listen);
  if (!address.ok()) return address.error();
  const udp::endpoint endpoint(address->address(), address->port());
  error_code error;
  this->socket.open(endpoint.protocol(), error);
  if (!error) this->socket.bind(endpoint, error);
  if (!error) this->socket.non_blocking(true, error);
  if (error) {
    return base::Error(
        base::Errc::kUnavailable,
        "can't bind UDP address " + listen + " (" + error.message() + ")");
  }
  asio::co_spawn(
      this->executor, [this] { return this->SendLoop(); }, asio::detached);
  asio::co_spawn(
      this->executor, [this] { return this->ReceiveLoop(); }, asio::detached);
  return base::Done{};
}

void GossipService::SetPeers(const std::vector<PeerDaemon>& daemons) {
  std::set<base::VmId> senders;
  std::vector<policy::GossipPeer> peers;
  this->addresses.clear();
  for (const auto& daemon : daemons) {
    senders.insert(daemon.vm);
    const auto address = ParseSocketAddress(daemon.gossip_address);
    if (!address.ok()) {
      base::LogEvent(
          "gossip_address_unreadable",
          {{"vm", daemon.vm.name}, {"address", daemon.gossip_address}});
      continue;
    }
    this->addresses[daemon.vm.name] =
        udp::endpoint(address->address(), address->port());
    peers.push_back({daemon.vm, daemon.location});
  }
  std::erase_if(this->newest_sequences, [&](const auto& each) {
    return !senders.contains(each.first);
  });
  this->plan.SetPeers(peers);
}

void GossipService::Stop() {
  this->stopped = true;
  error_code ignored;
  this->socket.close(ignored);
}

asio::awaitable<void> GossipService::SendLoop() {
  while (!this->stopped) {
    ++this->tick_count;
    auto own = this->hooks.make_message();
    own.sequence = this->tick_count;
    this->SendMessages(std::move(own));
    co_await Pause(this->tick);
  }
}

void GossipService::SendMessages(GossipMessage own) {
  std::vector<GossipMessage> messages{std::move(own)};
  const auto remotes = this->plan.RemotePeers(this->tick_count);
  if (!remotes.empty()) this->SendDatagrams(EncodeGossip(messages), remotes);
  std::move(this->to_forward.begin(), this->to_forward.end(),
            std::back_inserter(messages));
  this->to_forward.clear();
  this->SendDatagrams(EncodeGossip(messages), this->plan.DomainPeers());
}

void GossipService::SendDatagrams(const std::vector<std::string>& datagrams,
                                  const std::vector<std::string>& recipients) {
  for (const auto& name : recipients) {
    const auto& address = this->addresses.at(name);
    for (const auto& datagram : datagrams) {
      // Errors are ignored: the next message repeats the contents.
      error_code ignored;
      this->socket.send_to(asio::buffer(datagram), address, 0, ignored);
    }
  }
}

asio::awaitable<void> GossipService::ReceiveLoop() {
  std::array<char, kReceiveBufferBytes> buffer{};
  udp::endpoint sender;
  while (!this->stopped) {
    const auto [error, size] = co_await this->socket.async_receive_from(
        asio::buffer(buffer), sender, asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::operation_aborted) co_return;
    if (!error) this->OnDatagram(std::string_view(buffer.data(), size));
  }
}

void GossipService::OnDatagram(std::string_view bytes) {
  auto messages = DecodeGossip(bytes);
  if (!messages) {
    base::LogEvent("gossip_unreadable", {{"bytes", bytes.size()}});
    return;
  }
  for (auto& message : *messages) this->OnMessage(std::move(message));
}

void GossipService::OnMessage(GossipMessage message) {
  auto& newest_sequence = this->newest_sequences[message.sender];
  if (message.sequence <= newest_sequence) return;
  newest_sequence = message.sequence;
  this->hooks.on_message(message);
  if (message.forwarded || !this->plan.ShouldForward(message.sender)) return;
  message.forwarded = true;
  this->to_forward.push_back(std::move(message));
}

}  // namespace gypsumtrack::gateway
