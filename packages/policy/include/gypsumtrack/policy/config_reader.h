#ifndef GYPSUMTRACK_POLICY_CONFIG_READER_H_
#define GYPSUMTRACK_POLICY_CONFIG_READER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gypsumtrack/base/time.h"

/// When a daemon reads the table's log by itself, and how recent its knowledge
/// of the head is.
namespace gypsumtrack::policy {

struct ReadTiming {
  /// Time between two reads of a domain's first VM.
  base::Duration poll = std::chrono::milliseconds(1000);
  /// Age of the head's confirmation above which any VM reads by itself.
  base::Duration max_confirmation_age = std::chrono::milliseconds(2500);
  /// Deadline of a call to the table.
  base::Duration timeout = std::chrono::milliseconds(1000);
  /// Wait after the first failed read; doubles up to the longest.
  base::Duration backoff = std::chrono::milliseconds(250);
  base::Duration longest_backoff = std::chrono::milliseconds(1000);
};

/// Not thread-safe.
class ConfigReader {
 public:
  /// `seed` spreads the reads of VMs that fail together.
  ConfigReader(ReadTiming timing, std::uint64_t seed)
      : timing(timing), seed(seed) {}

  // Commands.

  void OnSent(base::Instant now);
  /// The read that was sent last found all that there is.
  void OnCaughtUp();
  /// It found a part; the next one is due at once.
  void OnPart();
  void OnFailed(base::Instant now);
  /// Another VM confirms the head as of `as_of`. Returns whether that is news.
  bool OnConfirmed(base::Instant as_of);
  /// An operator's request waits for the head.
  void Hurry();

  // Queries.

  bool in_flight() const { return this->sent_at.has_value(); }  // NOLINT
  /// When to read next; kNever while a read is in flight. A VM that isn't eager
  /// reads only when the head wasn't confirmed for long.
  base::Instant NextRead(bool eager) const;
  /// When the table was last known to hold no newer revision.
  std::optional<base::Instant> confirmed() const {  // NOLINT
    return this->as_of;
  }
  bool IsSilent(base::Instant now) const;
  /// Whether the last read was answered.
  bool reachable() const { return this->answered; }        // NOLINT
  std::uint32_t failures() const { return this->failed; }  // NOLINT

 private:
  base::Duration Jitter(base::Duration span) const;

  ReadTiming timing;
  std::uint64_t seed;
  std::optional<base::Instant> sent_at;
  std::optional<base::Instant> as_of;
  /// No read before this.
  base::Instant held_until{};
  base::Instant last_read{};
  bool hurried = true;
  bool answered = false;
  std::uint32_t failed = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_READER_H_
