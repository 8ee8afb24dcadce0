#ifndef GYPSUMTRACK_TESTING_ENGINE_MODEL_H_
#define GYPSUMTRACK_TESTING_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gypsumtrack/base/time.h"

/// Output and timing of a simulated model engine, without sockets.
namespace gypsumtrack::testing {

/// Token `index` of the response to `prompt`; deterministic. Thread-safe.
std::string AnswerToken(std::string_view prompt, std::uint64_t index);

/// The first `tokens` tokens of the response. Thread-safe.
std::string AnswerText(std::string_view prompt, std::uint64_t tokens);

/// An LRU cache of prompt prefixes, in blocks of fixed size. Not thread-safe.
class PrefixCache {
 public:
  /// Holds at most `max_entries` blocks; 0 disables the cache.
  explicit PrefixCache(std::size_t max_entries);

  /// Returns the bytes of the longest cached prefix and caches the prompt.
  std::size_t Use(std::string_view prompt);

 private:
  using RecencyList = std::list<std::uint64_t>;

  /// Makes a block the most recently used one and evicts the oldest if needed.
  void Insert(std::uint64_t block);

  std::size_t max_entries;
  RecencyList recently_used;
  std::unordered_map<std::uint64_t, RecencyList::iterator> blocks;
};

/// Durations of prefill and decoding.
struct EngineTiming {
  base::Duration prefill_per_kilobyte = std::chrono::milliseconds(2);
  /// Time per token of a request that runs alone.
  base::Duration decode_step = std::chrono::milliseconds(1);
  /// Added per further running request, as a fraction of decode_step.
  double batch_slowdown = 0.05;

  /// Time to process the uncached bytes of a prompt.
  base::Duration Prefill(std::size_t uncached_bytes) const;
  /// Time per token with `running` concurrent requests.
  base::Duration Step(std::uint32_t running) const;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_ENGINE_MODEL_H_
