#ifndef GYPSUMTRACK_PEER_SRC_FRAME_H_
#define GYPSUMTRACK_PEER_SRC_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gypsumtrack/base/names.h"

/// Frames on a peer connection: a length, then type, call id, body and tag. The
/// tag is an HMAC over the direction's key, a running number and the content,
/// so a frame can't be forged, repeated, dropped or reordered unseen.
namespace gypsumtrack::peer {

enum class FrameType : std::uint8_t {
  kCall = 1,
  kReply,
  kNotices,
  kPing,
  kPong,
};

struct Frame {
  FrameType type = FrameType::kPing;
  std::uint32_t call = 0;
  std::string body;
};

inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kFrameHeaderBytes = 5;
inline constexpr std::size_t kTagBytes = 16;

std::string EncodeLength(std::size_t length);
std::size_t DecodeLength(std::string_view bytes);

/// One direction of a connection.
class FrameCipher {
 public:
  explicit FrameCipher(std::string direction_key);

  // Commands.

  /// The frame with its length, ready to send.
  std::string Seal(const Frame& frame);

  /// `bytes` without the length. Empty if it isn't the next frame of the
  /// holder of the key; no later frame opens then.
  std::optional<Frame> Open(std::string_view bytes);

 private:
  std::string Tag(std::string_view content);

  std::string key;
  std::uint64_t next = 0;
};

/// What either end says first, in clear.
struct Hello {
  std::uint32_t version = 0;
  base::VmId vm;
  std::string nonce;
  /// Of the answer only: proof that the sender has the secret.
  std::string proof;
};

/// The protocol that this build speaks; others are refused.
inline constexpr std::uint32_t kProtocolVersion = 1;
inline constexpr std::size_t kMaxHelloBytes = 1024;

std::string EncodeHello(const Hello& hello);
std::optional<Hello> DecodeHello(const std::string& text);

/// The answer's proof over both hellos.
std::string HelloProof(std::string_view secret, const Hello& caller,
                       const Hello& callee);

enum class Direction { kToCallee, kToCaller };

/// A key that no other connection has, since both nonces go in.
std::string DirectionKey(std::string_view secret, Direction direction,
                         const Hello& caller, const Hello& callee);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_FRAME_H_
