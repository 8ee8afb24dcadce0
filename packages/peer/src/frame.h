#ifndef GYPSUMTRACK_PEER_SRC_FRAME_H_
#define GYPSUMTRACK_PEER_SRC_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumtrack/base/names.h"

/// The frame format of peer connections: length, type, call id, body and tag.
/// The tag is a truncated HMAC-SHA-256 of a sequence number and the content,
/// keyed for the direction, so that forged, replayed, dropped and reordered
/// frames are detected.
namespace gypsumtrack::peer {

/// The type byte of a frame.
enum class FrameType : std::uint8_t {
  kCall = 1,
  kReply,
  kNotices,
  kPing,
  kPong,
};

/// A decoded frame.
struct Frame {
  FrameType type = FrameType::kPing;
  /// Chosen by the caller and copied into the reply; 0 for notices and pings.
  std::uint32_t call_id = 0;
  std::string body;
};

inline constexpr std::size_t kLengthBytes = 4;
/// Type and call id.
inline constexpr std::size_t kFrameHeaderBytes = 5;
inline constexpr std::size_t kTagBytes = 16;

/// Encodes a length as 32 bits in big-endian order.
std::string EncodeLength(std::size_t length);
/// Decodes a length. Precondition: `bytes` has at least kLengthBytes.
std::size_t DecodeLength(std::string_view bytes);

/// Signs or verifies the frames of one direction of a connection. An instance
/// does only one of both. Not thread-safe.
class FrameAuthenticator {
 public:
  explicit FrameAuthenticator(std::string direction_key);

  // Commands.

  /// Returns the encoded frame with its length prefix and tag.
  std::string Sign(const Frame& frame);

  /// Decodes `bytes`, a frame without its length prefix. Empty if it isn't the
  /// next frame signed with this key; the connection must be closed then, since
  /// the sequence number may have advanced.
  std::optional<Frame> Verify(std::string_view bytes);

 private:
  /// Computes the tag and advances the sequence number.
  std::string Tag(std::string_view content);

  std::string key;
  std::uint64_t next_sequence = 0;
};

/// The first message of each side of a connection, in plain text.
struct Hello {
  std::uint32_t version = 0;
  base::VmId vm;
  /// Random, so that each connection has its own keys.
  std::string nonce;
  /// Only in the callee's hello: proves that the callee has the fleet secret.
  std::string proof;
};

/// The protocol version of this build. Peers with another version are refused.
inline constexpr std::uint32_t kProtocolVersion = 1;
inline constexpr std::size_t kMaxHelloBytes = 1024;

/// Encodes a hello as JSON.
std::string EncodeHello(const Hello& hello);
/// Decodes a hello. Empty if it is malformed.
std::optional<Hello> DecodeHello(const std::string& text);

/// Computes the callee's proof: an HMAC of both hellos, in hexadecimal.
std::string HelloProof(std::string_view secret, const Hello& caller,
                       const Hello& callee);

/// The direction of the frames of a connection.
enum class Direction { kToCallee, kToCaller };

/// Derives the signing key of a direction. It is unique to the connection since
/// it depends on both nonces.
std::string DirectionKey(std::string_view secret, Direction direction,
                         const Hello& caller, const Hello& callee);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_FRAME_H_
