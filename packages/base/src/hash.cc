#include "gypsumtrack/base/hash.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace gypsumtrack::base {
namespace {

std::string Hex(const unsigned char* data, std::size_t size) {
  std::string out;
  out.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    fmt::format_to(std::back_inserter(out), "{:02x}", data[i]);
  }
  return out;
}

}  // namespace

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t RendezvousScore(std::string_view key,
                              std::string_view candidate) {
  return Hash64(candidate, Hash64(key));
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return Hex(digest.data(), size);
}

std::string HmacSha256(std::string_view secret, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

std::string HmacSha256Hex(std::string_view secret, std::string_view bytes) {
  const auto digest = HmacSha256(secret, bytes);
  return Hex(reinterpret_cast<const unsigned char*>(digest.data()),
             digest.size());
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  // Keys and ids would be predictable without a working generator.
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) std::abort();
  return Hex(buffer.data(), bytes);
}

}  // namespace gypsumtrack::base
