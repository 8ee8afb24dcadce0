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
/// After this many datagrams in a row the sender pauses, so that they don't
/// overflow the socket's buffer or the VM's link.
constexpr int kMaxDatagramsInRow = 40;
constexpr base::Duration kSendPause = std::chrono::milliseconds(2);

std::vector<std::string> EncodeOne(GossipMessage message) {
  return EncodeGossip({std::move(message)});
}

}  // namespace

GossipService::GossipService(const asio::any_io_executor& run_on,
                             base::Clock system_clock,
                             const PeerDaemon& own_daemon,
                             GossipOptions gossip_options,
                             GossipHooks gossip_hooks)
    : executor(run_on),
      clock(std::move(system_clock)),
      self(own_daemon.vm),
      options(gossip_options),
      hooks(std::move(gossip_hooks)),
      socket(run_on),
      plan({own_daemon.vm, own_daemon.location, own_daemon.cores},
           gossip_options.plan) {}

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
  std::set<std::string> senders;
  std::vector<policy::GossipPeer> peers;
  this->addresses.clear();
  for (const auto& daemon : daemons) {
    senders.insert(daemon.vm.name);
    const auto address = ParseSocketAddress(daemon.gossip_address);
    if (!address.ok()) {
      base::LogEvent(
          "gossip_address_unreadable",
          {{"vm", daemon.vm.name}, {"address", daemon.gossip_address}});
      continue;
    }
    this->addresses[daemon.vm.name] =
        udp::endpoint(address->address(), address->port());
    peers.push_back({daemon.vm, daemon.location, daemon.cores});
  }
  std::erase_if(this->newest_messages, [&](const auto& each) {
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
    const auto tick = this->NextTick();
    if (this->plan.UsesCollectors()) {
      co_await this->SendByCollector(tick);
    } else {
      co_await this->SendDirectly(tick);
    }
    const auto next_at = tick.now + this->TickPeriod();
    const auto now = this->clock.now();
    if (now < next_at) co_await Pause(next_at - now);
  }
}

base::Duration GossipService::TickPeriod() const {
  return this->plan.UsesCollectors() ? this->options.collector_tick
                                     : this->options.tick;
}

policy::GossipTick GossipService::NextTick() {
  policy::GossipTick tick;
  tick.number = ++this->tick_count;
  tick.slot = static_cast<std::uint64_t>(this->clock.wall().time_since_epoch() /
                                         this->options.collector_tick);
  tick.now = this->clock.now();
  return tick;
}

std::optional<GossipMessage> GossipService::MakeMessage(
    const policy::GossipTick& tick) {
  GossipDue due;
  due.is_due = this->plan.IsDue(tick);
  due.reaches_all = this->plan.IsForOtherDomains(tick);
  auto message = this->hooks.make_message(due);
  if (message) message->sequence = tick.number;
  return message;
}

asio::awaitable<void> GossipService::SendDirectly(policy::GossipTick tick) {
  auto own = this->MakeMessage(tick);
  if (own && this->plan.IsForOtherDomains(tick)) {
    auto datagrams = EncodeOne(*own);
    co_await this->SendDatagrams(std::move(datagrams),
                                 this->plan.RemotePeers(tick));
  }
  if (own) this->to_forward.push_back(std::move(*own));
  // A peer that knows of more daemons of the domain may use collectors already.
  // Its next message for other domains reaches another collector.
  this->to_other_domains.clear();
  co_await this->Forward();
}

asio::awaitable<void> GossipService::SendByCollector(policy::GossipTick tick) {
  auto own = this->MakeMessage(tick);
  if (own) {
    own->to_other_domains = this->plan.IsForOtherDomains(tick);
    if (own->to_other_domains) this->plan.OnSentToOtherDomains(tick);
    const auto collector = this->plan.Collector(tick);
    if (collector == this->self.name) {
      this->Collect(std::move(*own));
    } else {
      own->to_relay = true;
      auto datagrams = EncodeOne(std::move(*own));
      std::vector<std::string> recipients(1, collector);
      co_await this->SendDatagrams(std::move(datagrams), std::move(recipients));
    }
  }
  auto for_others = std::exchange(this->to_other_domains, {});
  if (!for_others.empty()) {
    auto datagrams = EncodeGossip(for_others);
    co_await this->SendDatagrams(std::move(datagrams),
                                 this->plan.RemotePeers(tick));
  }
  co_await this->Forward();
}

asio::awaitable<void> GossipService::Forward() {
  const auto messages = std::exchange(this->to_forward, {});
  if (messages.empty()) co_return;
  auto datagrams = EncodeGossip(messages);
  co_await this->SendDatagrams(std::move(datagrams), this->plan.DomainPeers());
}

asio::awaitable<void> GossipService::SendDatagrams(
    std::vector<std::string> datagrams, std::vector<std::string> recipients) {
  int sent_in_row = 0;
  for (const auto& name : recipients) {
    const auto found = this->addresses.find(name);
    if (found == this->addresses.end()) continue;
    const auto address = found->second;
    for (const auto& datagram : datagrams) {
      // Errors are ignored: the next message repeats the contents.
      error_code ignored;
      this->socket.send_to(asio::buffer(datagram), address, 0, ignored);
      if (++sent_in_row % kMaxDatagramsInRow == 0) co_await Pause(kSendPause);
      if (this->stopped) co_return;
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
  if (message.sender.name == this->self.name) return;
  auto& newest = this->newest_messages[message.sender.name];
  // Incarnations of a VM aren't ordered, because its clock may be set back.
  const bool is_restarted = newest.incarnation != message.sender.incarnation;
  if (!is_restarted && message.sequence <= newest.sequence) return;
  newest = {message.sender.incarnation, message.sequence};
  this->plan.OnMessageFrom(message.sender.name, this->clock.now());
  this->hooks.on_message(message);
  const bool forwards =
      !message.forwarded &&
      this->plan.ShouldForward(message.sender, message.to_relay);
  if (forwards) this->Collect(std::move(message));
}

void GossipService::Collect(GossipMessage message) {
  message.to_relay = false;
  if (std::exchange(message.to_other_domains, false)) {
    this->to_other_domains.push_back(message);
  }
  message.forwarded = true;
  this->to_forward.push_back(std::move(message));
}

}  // namespace gypsumtrack::gateway
