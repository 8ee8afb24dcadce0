#ifndef GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_SERVICE_H_

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/gossip_message.h"
#include "gypsumtrack/policy/serving/gossip_plan.h"

/// Sends this daemon's gossip messages over UDP and receives those of its
/// peers.
namespace gypsumtrack::gateway {

/// Intervals of gossip.
struct GossipOptions {
  /// Interval between messages to peers in the same failure domain.
  base::Duration tick = std::chrono::milliseconds(100);
  policy::GossipPlanOptions plan;
};

/// Hooks of a GossipService, which calls them on its executor.
struct GossipHooks {
  /// Returns this daemon's current message; `sequence` is set by the service.
  std::function<GossipMessage()> make_message;
  /// Called for each message that is newer than all earlier ones of its sender.
  std::function<void(const GossipMessage&)> on_message;
};

/// Exchanges gossip messages with the peers. Not thread-safe; must be used on
/// the thread of its executor.
class GossipService {
 public:
  /// `executor` must run on one thread.
  GossipService(const boost::asio::any_io_executor& executor, base::VmId self,
                base::Location location, GossipOptions options,
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
  /// Sends this daemon's message and the messages to forward.
  void SendMessages(GossipMessage own);
  void SendDatagrams(const std::vector<std::string>& datagrams,
                     const std::vector<std::string>& recipients);
  void OnDatagram(std::string_view bytes);
  void OnMessage(GossipMessage message);

  boost::asio::any_io_executor executor;
  base::Duration tick;
  GossipHooks hooks;
  boost::asio::ip::udp::socket socket;
  policy::GossipPlan plan;
  /// Keyed by VM name.
  std::map<std::string, boost::asio::ip::udp::endpoint> addresses;
  /// Messages to forward within this failure domain at the next tick.
  std::vector<GossipMessage> to_forward;
  /// Sequence number of the newest message of each sender.
  std::map<base::VmId, std::uint32_t> newest_sequences;
  std::uint32_t tick_count = 0;
  bool stopped = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_SERVICE_H_
