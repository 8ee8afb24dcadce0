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

/// Larger than any message that is sent.
constexpr std::size_t kReceiveBytes = 2048;

}  // namespace

GossipService::GossipService(const asio::any_io_executor& run_on,
                             base::VmId self, base::Place place,
                             GossipOptions options, GossipHooks gossip_hooks)
    : executor(run_on),
      tick(options.tick),
      hooks(std::move(gossip_hooks)),
      socket(run_on),
      plan(std::move(self), std::move(place), options.plan) {}

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
        "Can't listen on UDP " + listen + ": " + error.message() + ".");
  }
  asio::co_spawn(
      this->executor, [this] { return this->SendLoop(); }, asio::detached);
  asio::co_spawn(
      this->executor, [this] { return this->ReceiveLoop(); }, asio::detached);
  return base::Done{};
}

void GossipService::SetPeers(const std::vector<PeerDaemon>& next) {
  std::set<base::VmId> known;
  std::vector<policy::GossipPeer> peers;
  this->addresses.clear();
  for (const auto& peer : next) {
    known.insert(peer.vm);
    const auto address = ParseSocketAddress(peer.gossip_address);
    if (!address.ok()) {
      base::LogEvent("gossip_address_unreadable",
                     {{"vm", peer.vm.name}, {"address", peer.gossip_address}});
      continue;
    }
    this->addresses[peer.vm.name] =
        udp::endpoint(address->address(), address->port());
    peers.push_back({peer.vm, peer.location});
  }
  std::erase_if(this->newest,
                [&](const auto& each) { return !known.contains(each.first); });
  this->plan.SetPeers(peers);
}

void GossipService::Stop() {
  this->stopped = true;
  error_code ignored;
  this->socket.close(ignored);
}

asio::awaitable<void> GossipService::SendLoop() {
  while (!this->stopped) {
    ++this->ticks;
    auto own = this->hooks.collect();
    own.sequence = this->ticks;
    this->SendAll(std::move(own));
    co_await Pause(this->tick);
  }
}

void GossipService::SendAll(GossipMessage own) {
  std::vector<GossipMessage> messages{std::move(own)};
  const auto outside = this->plan.RemotePeers(this->ticks);
  if (!outside.empty()) this->Send(EncodeGossip(messages), outside);
  std::move(this->to_pass_on.begin(), this->to_pass_on.end(),
            std::back_inserter(messages));
  this->to_pass_on.clear();
  this->Send(EncodeGossip(messages), this->plan.DomainPeers());
}

void GossipService::Send(const std::vector<std::string>& datagrams,
                         const std::vector<std::string>& to) {
  for (const auto& name : to) {
    const auto& address = this->addresses.at(name);
    for (const auto& datagram : datagrams) {
      error_code ignored;  // The next message says it all again.
      this->socket.send_to(asio::buffer(datagram), address, 0, ignored);
    }
  }
}

asio::awaitable<void> GossipService::ReceiveLoop() {
  std::array<char, kReceiveBytes> buffer{};
  udp::endpoint sender;
  while (!this->stopped) {
    const auto [error, size] = co_await this->socket.async_receive_from(
        asio::buffer(buffer), sender, asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::operation_aborted) co_return;
    if (!error) this->TakeDatagram(std::string_view(buffer.data(), size));
  }
}

void GossipService::TakeDatagram(std::string_view bytes) {
  auto messages = DecodeGossip(bytes);
  if (!messages) {
    base::LogEvent("gossip_unreadable", {{"bytes", bytes.size()}});
    return;
  }
  for (auto& message : *messages) this->TakeMessage(std::move(message));
}

void GossipService::TakeMessage(GossipMessage message) {
  auto& last = this->newest[message.sender];
  if (message.sequence <= last) return;
  last = message.sequence;
  this->hooks.on_message(message);
  if (message.passed_on || !this->plan.ShouldForward(message.sender)) return;
  message.passed_on = true;
  this->to_pass_on.push_back(std::move(message));
}

}  // namespace gypsumtrack::gateway
