#ifndef GYPSUMTRACK_PEER_PEER_TRANSPORT_H_
#define GYPSUMTRACK_PEER_PEER_TRANSPORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/peer/peer.h"

/// JSON-RPC 2.0 between daemons over TCP. Frames are authenticated with keys
/// derived from the fleet secret, but not encrypted.
namespace gypsumtrack::peer {

/// Settings of a transport. The defaults suit production.
struct TransportOptions {
  /// The VM that this daemon runs as, sent to peers in the handshake.
  base::VmId self;
  /// `ip:port` to listen on; port 0 takes a free port.
  std::string listen;
  /// Secret that all daemons of the fleet share.
  std::string fleet_secret;
  base::Clock clock;
  /// Runs all connections and handlers. Handlers of one connection run one at a
  /// time.
  boost::asio::any_io_executor executor;

  /// Limit on the size of a frame.
  std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
  /// Limit on the frames queued for writing on a connection.
  std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;
  /// A ping is sent when frames have gone unanswered for this long.
  base::Duration ping_after = std::chrono::seconds(2);
  /// The connection is closed when frames have gone unanswered for this long;
  /// the next call or notice opens a new one. Must be above `ping_after`.
  base::Duration replace_after = std::chrono::seconds(3);
  /// A connection without calls and notices for this long is closed.
  base::Duration idle_timeout = std::chrono::seconds(30);
  /// Limit on connecting and the handshake together.
  base::Duration connect_timeout = std::chrono::seconds(2);
  /// Delay after a first failure to connect. Doubles with each further failure,
  /// and is shortened by a jitter of up to a half.
  base::Duration initial_backoff = std::chrono::milliseconds(100);
  /// Upper limit of the backoff.
  base::Duration max_backoff = std::chrono::seconds(5);
  /// Time for which notices are held back so that they share a frame.
  base::Duration batch_window = std::chrono::milliseconds(2);
};

/// Totals since the start of the transport, over all its connections.
struct TransportCounts {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Outgoing connections whose handshake succeeded.
  std::uint64_t connects = 0;
  /// Outgoing connections that failed to connect or to complete the handshake.
  std::uint64_t connect_failures = 0;
  /// Connections closed because the peer was unresponsive.
  std::uint64_t replaced = 0;
  /// Connections closed because a frame or handshake failed authentication.
  std::uint64_t unauthenticated = 0;
  /// Handshakes refused because the peer uses another protocol version.
  std::uint64_t wrong_version = 0;
  /// Frames and texts refused because they exceed a size limit.
  std::uint64_t oversized = 0;
  /// Handshakes, calls, replies and notices that couldn't be parsed or that
  /// name no known method, and frames of an unexpected type.
  std::uint64_t malformed = 0;
  /// Calls refused because the queue of a connection was full, notices dropped
  /// because it was full or the connection was in backoff or closed, and
  /// incoming connections closed because their replies weren't read.
  std::uint64_t overflowed = 0;
};

/// Sends and serves the calls and notices of one daemon. Connections to peers
/// are opened on first use and kept until they are idle.
class PeerTransport {
 public:
  explicit PeerTransport(const TransportOptions& options);
  /// Stops the transport.
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Commands.

  /// Listens and starts to accept connections. Precondition: called once, after
  /// all handlers are registered. Errors: kInvalid if the address is invalid,
  /// otherwise the error of the operating system.
  base::Status Start();

  /// Closes all connections. Pending calls fail with kUnknown if they were
  /// sent, else with kUnavailable. Thread-safe.
  void Stop();

  // Queries.

  /// The functions of this transport. They may be called after the transport is
  /// destroyed; calls fail then. Before Start, use it only to register
  /// handlers. Thread-safe.
  PeerLink Link() const;

  /// The `ip:port` that the transport listens on. Precondition: started.
  std::string Address() const;

  /// Thread-safe. The counters are read one by one, not as one snapshot.
  TransportCounts Counts() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_PEER_TRANSPORT_H_
