#include "gypsumtrack/testing/engine_model.h"

#include <fmt/format.h>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::testing {
namespace {

constexpr std::size_t kBlockBytes = 64;
constexpr std::uint64_t kVocabularyTokens = 1 << 20;
constexpr double kBytesPerKilobyte = 1024;

base::Duration Scale(base::Duration duration, double factor) {
  return std::chrono::duration_cast<base::Duration>(duration * factor);
}

}  // namespace

std::string AnswerToken(std::string_view prompt, std::uint64_t index) {
  return fmt::format(" w{:x}", base::Hash64(prompt, index) % kVocabularyTokens);
}

std::string AnswerText(std::string_view prompt, std::uint64_t tokens) {
  std::string text;
  for (std::uint64_t i = 0; i < tokens; ++i) text += AnswerToken(prompt, i);
  return text;
}

PrefixCache::PrefixCache(std::size_t max_entries) : max_entries(max_entries) {}

std::size_t PrefixCache::Use(std::string_view prompt) {
  std::size_t cached_bytes = 0;
  bool contiguous = true;
  std::uint64_t block = 0;
  for (std::size_t end = kBlockBytes; end <= prompt.size();
       end += kBlockBytes) {
    block = base::Hash64(prompt.substr(end - kBlockBytes, kBlockBytes), block);
    contiguous = contiguous && this->blocks.count(block) != 0;
    if (contiguous) cached_bytes = end;
    this->Insert(block);
  }
  return cached_bytes;
}

void PrefixCache::Insert(std::uint64_t block) {
  if (this->max_entries == 0) return;
  const auto entry = this->blocks.find(block);
  if (entry != this->blocks.end()) this->recently_used.erase(entry->second);
  this->recently_used.push_front(block);
  this->blocks[block] = this->recently_used.begin();
  if (this->blocks.size() <= this->max_entries) return;
  this->blocks.erase(this->recently_used.back());
  this->recently_used.pop_back();
}

base::Duration EngineTiming::Prefill(std::size_t uncached_bytes) const {
  return Scale(this->prefill_per_kilobyte,
               static_cast<double>(uncached_bytes) / kBytesPerKilobyte);
}

base::Duration EngineTiming::Step(std::uint32_t running) const {
  const auto others = running > 0 ? running - 1 : 0;
  return Scale(this->decode_step, 1 + this->batch_slowdown * others);
}

}  // namespace gypsumtrack::testing
