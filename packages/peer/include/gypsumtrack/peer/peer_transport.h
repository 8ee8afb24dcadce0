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

/// JSON-RPC 2.0 between daemons over TCP, signed with the fleet's secret.
namespace gypsumtrack::peer {

struct TransportOptions {
  base::VmId self;
  /// `ip:port`; port 0 takes a free one.
  std::string listen;
  std::string fleet_secret;
  base::Clock clock;
  /// Carries the connections; handlers run here, one at a time a sender.
  boost::asio::any_io_executor executor;

  /// Most bytes of a frame and of what waits to be written on a connection.
  std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;
  /// A connection that answers nothing for so long is asked, then replaced.
  base::Duration ping_after = std::chrono::seconds(2);
  base::Duration replace_after = std::chrono::seconds(3);
  /// A connection without calls or notices for so long is closed.
  base::Duration idle_timeout = std::chrono::seconds(30);
  base::Duration connect_timeout = std::chrono::seconds(2);
  base::Duration first_backoff = std::chrono::milliseconds(100);
  base::Duration last_backoff = std::chrono::seconds(5);
  /// Notices wait so long to be sent together.
  base::Duration batch_window = std::chrono::milliseconds(2);
};

/// Totals since start.
struct TransportCounts {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t connects = 0;
  std::uint64_t connect_failures = 0;
  /// Connections closed because they had gone silent.
  std::uint64_t replaced = 0;
  /// Connections closed because a frame or hello was not signed as it must be.
  std::uint64_t unauthenticated = 0;
  std::uint64_t wrong_version = 0;
  std::uint64_t oversized = 0;
  std::uint64_t malformed = 0;
  /// Notices and calls that found the queue full.
  std::uint64_t overflowed = 0;
};

/// One per daemon. Link() works before Start for registering handlers only.
class PeerTransport {
 public:
  explicit PeerTransport(const TransportOptions& options);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Commands.

  /// Listens, and accepts calls from now on. Precondition: called once, after
  /// all handlers are registered.
  base::Status Start();

  /// Closes all connections: calls in flight end with kUnknown. Thread-safe.
  void Stop();

  // Queries.

  /// Hooks that stay valid after the transport is gone. Thread-safe.
  PeerLink Link() const;

  /// Precondition: started. The `ip:port` that it listens on.
  std::string Address() const;

  /// Thread-safe.
  TransportCounts Counts() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_PEER_TRANSPORT_H_
