#ifndef GYPSUMTRACK_PEER_SRC_TRANSPORT_CONTEXT_H_
#define GYPSUMTRACK_PEER_SRC_TRANSPORT_CONTEXT_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "gypsumtrack/peer/peer_transport.h"
#include "rpc_server.h"

/// What the connections of a transport share.
namespace gypsumtrack::peer {

struct AtomicCounts {
  std::atomic<std::uint64_t> frames_sent{0};
  std::atomic<std::uint64_t> frames_received{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> connects{0};
  std::atomic<std::uint64_t> connect_failures{0};
  std::atomic<std::uint64_t> replaced{0};
  std::atomic<std::uint64_t> unauthenticated{0};
  std::atomic<std::uint64_t> wrong_version{0};
  std::atomic<std::uint64_t> oversized{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> overflowed{0};
};

/// Immutable after start but for the counts.
struct TransportContext {
  TransportOptions options;
  RpcHandlers handlers;
  AtomicCounts counts;
};

/// Empty if `address` isn't `ip:port`.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& address);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_TRANSPORT_CONTEXT_H_
