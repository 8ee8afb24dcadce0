#ifndef GYPSUMTRACK_BASE_HASH_H_
#define GYPSUMTRACK_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Hashes for placement and digests for identity.
namespace gypsumtrack::base {

/// Fast, not secret: for placement. Thread-safe.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Score of `candidate` for `key` by rendezvous hashing: the candidate with the
/// highest score owns the key, and a lost candidate moves only its own keys.
/// Thread-safe.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

/// SHA-256 in lower-case hex. Thread-safe.
std::string Sha256Hex(std::string_view bytes);

/// HMAC-SHA-256 as 32 bytes. Thread-safe.
std::string HmacSha256(std::string_view secret, std::string_view bytes);

/// HMAC-SHA-256 in lower-case hex. Thread-safe.
std::string HmacSha256Hex(std::string_view secret, std::string_view bytes);

/// Compares in time that depends on the lengths only. Thread-safe.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// `bytes` random bytes from the system's generator in hex. Thread-safe.
std::string RandomHex(std::size_t bytes);

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_HASH_H_
