#ifndef GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_SERVICE_H_

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/gossip_message.h"
#include "gypsumtrack/policy/serving/gossip_plan.h"

/// Sends this daemon's gossip messages over UDP and receives those of its
/// peers.
namespace gypsumtrack::gateway {

/// Intervals of gossip.
struct GossipOptions {
  /// Shortest interval between messages.
  base::Duration tick = std::chrono::milliseconds(100);
  /// The same in a domain that uses collectors, and the length of a time slot.
  /// Longer, because it costs each daemon a datagram or more per tick.
  base::Duration collector_tick = std::chrono::milliseconds(200);
  policy::GossipPlanOptions plan;
};

/// What a message is needed for.
struct GossipDue {
  /// A message must be sent although nothing has changed.
  bool is_due = false;
  /// The message reaches the daemons of all failure domains, so that it may be
  /// a full one.
  bool reaches_all = false;
};

/// Hooks of a GossipService, which calls them on its executor.
struct GossipHooks {
  /// Returns this daemon's current message, or none if it isn't due and nothing
  /// has changed since the last one. `sequence` and the recipients are set by
  /// the service.
  std::function<std::optional<GossipMessage>(const GossipDue&)> make_message;
  /// Called for each message that is newer than all earlier ones of its sender.
  std::function<void(const GossipMessage&)> on_message;
};

/// Exchanges gossip messages with the peers. Not thread-safe; must be used on
/// the thread of its executor.
class GossipService {
 public:
  /// `executor` must run on one thread. `self` describes this daemon.
  GossipService(const boost::asio::any_io_executor& executor, base::Clock clock,
                const PeerDaemon& self, GossipOptions options,
                GossipHooks hooks);

  /// Binds the UDP socket to `listen`, an `ip:port`, and starts to send and
  /// receive. Errors: kUnavailable; kInvalid if the address can't be parsed.
  base::Status Start(const std::string& listen);
  /// Replaces the peers: all live daemons except this one.
  void SetPeers(const std::vector<PeerDaemon>& peers);
  /// Closes the socket.
  void Stop();

 private:
  boost::asio::awaitable<void> SendLoop();
  boost::asio::awaitable<void> ReceiveLoop();
  base::Duration TickPeriod() const;
  policy::GossipTick NextTick();
  /// Returns this daemon's message of the tick, if there is one.
  std::optional<GossipMessage> MakeMessage(const policy::GossipTick& tick);
  /// Sends this daemon's message and the messages to forward to every peer of
  /// the domain, and this daemon's message to the other domains.
  boost::asio::awaitable<void> SendDirectly(policy::GossipTick tick);
  /// Sends this daemon's message to the collector, and what this daemon has
  /// collected to the peers of the domain and to the other domains.
  boost::asio::awaitable<void> SendByCollector(policy::GossipTick tick);
  /// Sends the messages to be forwarded to every peer of the domain.
  boost::asio::awaitable<void> Forward();
  /// Sends every datagram to every recipient, with pauses.
  boost::asio::awaitable<void> SendDatagrams(
      std::vector<std::string> datagrams, std::vector<std::string> recipients);
  void OnDatagram(std::string_view bytes);
  void OnMessage(GossipMessage message);
  /// Keeps the message until it is forwarded at the next tick.
  void Collect(GossipMessage message);

  boost::asio::any_io_executor executor;
  base::Clock clock;
  base::VmId self;
  GossipOptions options;
  GossipHooks hooks;
  boost::asio::ip::udp::socket socket;
  policy::GossipPlan plan;
  /// Keyed by VM name.
  std::unordered_map<std::string, boost::asio::ip::udp::endpoint> addresses;
  /// Messages to forward within this failure domain at the next tick, and those
  /// of this domain to send to the other domains then.
  std::vector<GossipMessage> to_forward;
  std::vector<GossipMessage> to_other_domains;
  /// The newest message of a sender.
  struct Newest {
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
  };
  /// Keyed by VM name.
  std::unordered_map<std::string, Newest> newest_messages;
  std::uint32_t tick_count = 0;
  bool stopped = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_SERVICE_H_
