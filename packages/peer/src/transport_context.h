#ifndef GYPSUMTRACK_PEER_SRC_TRANSPORT_CONTEXT_H_
#define GYPSUMTRACK_PEER_SRC_TRANSPORT_CONTEXT_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "gypsumtrack/peer/peer_transport.h"
#include "rpc_server.h"

/// State shared by all connections of a transport.
namespace gypsumtrack::peer {

/// The counters behind TransportCounts. Thread-safe.
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

/// Options, handlers and counters. Only the counters change after the start of
/// the transport.
struct TransportContext {
  TransportOptions options;
  RpcHandlers handlers;
  AtomicCounts counts;
};

/// Parses `ip:port`. Empty if the IP address is invalid or the port is out of
/// range.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& address);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_TRANSPORT_CONTEXT_H_
