#ifndef GYPSUMTRACK_BASE_HASH_H_
#define GYPSUMTRACK_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Fast hashes for distributing keys, and cryptographic digests.
namespace gypsumtrack::base {

/// XXH3 hash for distributing keys; not cryptographic. Thread-safe.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Score of `candidate` for `key` in rendezvous hashing. The candidate with the
/// highest score owns the key, so that removing a candidate reassigns only the
/// keys that it owned. Thread-safe.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

/// SHA-256 in lower-case hex. Thread-safe.
std::string Sha256Hex(std::string_view bytes);

/// HMAC-SHA-256 as 32 bytes. Thread-safe.
std::string HmacSha256(std::string_view secret, std::string_view bytes);

/// HMAC-SHA-256 in lower-case hex. Thread-safe.
std::string HmacSha256Hex(std::string_view secret, std::string_view bytes);

/// Compares secrets in time that depends only on their lengths. Thread-safe.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Returns `bytes` cryptographically secure random bytes in lower-case hex.
/// Aborts the process if the generator fails. Thread-safe.
std::string RandomHex(std::size_t bytes);

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_HASH_H_
