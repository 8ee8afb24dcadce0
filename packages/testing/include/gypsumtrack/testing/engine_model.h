#ifndef GYPSUMTRACK_TESTING_ENGINE_MODEL_H_
#define GYPSUMTRACK_TESTING_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gypsumtrack/base/time.h"

/// What a model engine computes and how long that takes, without sockets.
namespace gypsumtrack::testing {

/// Token `index` of the answer to `prompt`: the same each time. Thread-safe.
std::string AnswerToken(std::string_view prompt, std::uint64_t index);

/// The first `tokens` tokens of the answer. Thread-safe.
std::string AnswerText(std::string_view prompt, std::uint64_t tokens);

/// Prompt prefixes that an engine holds in limited memory; the least recently
/// used goes first. Not thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t max_entries);

  /// Bytes of the prompt found in the cache; the prompt is cached from now on.
  std::size_t Use(std::string_view prompt);

 private:
  using Order = std::list<std::uint64_t>;

  void Insert(std::uint64_t block);

  std::size_t max_entries;
  Order recent;
  std::unordered_map<std::uint64_t, Order::iterator> blocks;
};

struct EngineTiming {
  base::Duration prefill_per_kilobyte = std::chrono::milliseconds(2);
  /// A token's time in an engine that runs nothing else.
  base::Duration decode_step = std::chrono::milliseconds(1);
  /// Added for each further request that runs, as a share of decode_step.
  double batch_slowdown = 0.05;

  base::Duration Prefill(std::size_t uncached_bytes) const;
  base::Duration Step(std::uint32_t running) const;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_ENGINE_MODEL_H_
